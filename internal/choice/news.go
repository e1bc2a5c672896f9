package choice

import (
	"net/netip"
	"time"
)

// State is what entry VMs tell each other of a server.
type State int

// States that are told.
const (
	StateNone State = iota
	StateCold
	StateDraining
	StateDown
	StateBack
)

// News is what a VM learned of a server.
type News struct {
	Server netip.AddrPort
	State  State
	// Age is how long ago it was learned.
	Age time.Duration
}

// Bounds of the news that one VM tells of one service.
const (
	newsMost  = 64
	newsRate  = 4.0
	newsBurst = 32.0
)

// news holds what is still to be told.
type news struct {
	waiting []notice
	tokens  float64
	filled  time.Time
	dropped uint64
}

type notice struct {
	server *server
	state  State
	at     time.Time
}

// tell notes a state that the other VMs have not heard.
func (s *Set) tell(v *server, t State) {
	if v.told == t {
		return
	}
	v.told = t
	w := &s.news.waiting
	for i := range *w {
		if (*w)[i].server == v {
			(*w)[i].state = t
			(*w)[i].at = s.now
			return
		}
	}
	if len(*w) >= newsMost {
		s.news.dropped++
		return
	}
	*w = append(*w, notice{server: v, state: t, at: s.now})
}

// News returns what the other VMs are to be told now, in bounded numbers.
func (s *Set) News(now time.Time) []News {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	n := &s.news
	if n.filled.IsZero() {
		n.tokens, n.filled = newsBurst, s.now
	}
	n.tokens = min(newsBurst, n.tokens+newsRate*s.now.Sub(n.filled).Seconds())
	n.filled = s.now
	var r []News
	for len(n.waiting) > 0 && n.tokens >= 1 {
		w := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.tokens--
		r = append(r, News{Server: w.server.address, State: w.state, Age: s.now.Sub(w.at)})
	}
	return r
}

// Standing returns what a VM that just came is to be told.
func (s *Set) Standing(now time.Time) []News {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	var r []News
	for _, v := range s.servers {
		switch {
		case v.start.phase == phaseCold:
			r = append(r, News{Server: v.address, State: StateCold, Age: s.now.Sub(v.start.since)})
		case v.start.phase == phaseDoubt:
			r = append(r, News{Server: v.address, State: StateDown, Age: s.now.Sub(v.start.since)})
		case v.drains(s.now):
			r = append(r, News{Server: v.address, State: StateDraining, Age: s.now.Sub(v.drain.at)})
		}
	}
	return r
}

// Hear takes what another VM learned. An own good answer of later outranks it.
func (s *Set) Hear(now time.Time, ns []News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	for _, n := range ns {
		if v := s.find(n.Server); v != nil {
			s.hear(v, n)
		}
	}
}

func (s *Set) hear(v *server, n News) {
	at := s.now.Add(-max(n.Age, 0))
	switch n.State {
	case StateCold:
		if v.start.phase != phaseCold {
			v.start.cold(at)
		}
	case StateDown:
		if v.answered.Before(at) {
			v.start.doubt(at)
		}
	case StateDraining:
		if v.heard.Before(at) {
			v.drain.hear(at)
		}
	case StateBack:
		if v.start.bounded() && v.start.since.Before(at) {
			v.start.ramp(s.now, s.Rand.Float64())
			v.health.until = s.now
		}
	case StateNone:
		return
	}
	v.told = n.State
}

func (s *Set) find(a netip.AddrPort) *server {
	for _, v := range s.servers {
		if v.address == a {
			return v
		}
	}
	return nil
}
