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
	if s.Wake != nil {
		defer s.Wake()
	}
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

// Hear takes what the VM from learned. An own good answer of later outranks it.
func (s *Set) Hear(now time.Time, from netip.AddrPort, ns []News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	for _, n := range ns {
		if v := s.find(n.Server); v != nil {
			s.hear(v, from, n)
		}
	}
}

func (s *Set) hear(v *server, from netip.AddrPort, n News) {
	at := s.now.Add(-max(n.Age, 0))
	switch n.State {
	case StateCold:
		if s.stated {
			v.start.coldUntil(at, at.Add(s.coldFor))
		} else {
			v.start.cold(at)
		}
	case StateDown:
		s.hearDown(v, from, at)
		return
	case StateDraining:
		if v.heard.Before(at) {
			v.drain.hear(at)
		}
	case StateBack:
		if v.drain.at.Before(at) {
			v.drain = drain{}
		}
		if v.start.bounded() && v.start.since.Before(at) {
			s.rise(v)
			v.health.until = s.now
		}
	case StateNone:
		return
	}
	v.told = n.State
}

// rumor is a VM's word that a server is down.
type rumor struct {
	from netip.AddrPort
	at   time.Time
}

// rumorFor is how long a rumor waits for a second VM to say the same.
const rumorFor = time.Second

// hearDown believes that a server is down when two VMs say so, unless half of
// the servers would then be in doubt: a VM that is itself cut off must not
// empty the service for the others.
func (s *Set) hearDown(v *server, from netip.AddrPort, at time.Time) {
	if !v.answered.Before(at) || v.start.bounded() {
		return
	}
	r := v.rumor
	v.rumor = rumor{from: from, at: s.now}
	if !r.from.IsValid() || r.from == from || s.now.Sub(r.at) > rumorFor {
		return
	}
	if 2*(s.bounded()+1) > len(s.servers) {
		return
	}
	v.start.doubt(at)
	v.told = StateDown
}

// bounded returns how many servers get work only by the cold allowance.
func (s *Set) bounded() int {
	n := 0
	for _, v := range s.servers {
		if v.start.bounded() {
			n++
		}
	}
	return n
}

func (s *Set) find(a netip.AddrPort) *server {
	for _, v := range s.servers {
		if v.address == a {
			return v
		}
	}
	return nil
}
