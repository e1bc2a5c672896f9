package choice

import (
	"net/netip"
	"time"
)

// State is the state of a server that entry VMs gossip. The values are those of
// peerpb.ServerState.
type State int

// Gossiped states.
const (
	StateNone State = iota
	StateCold
	StateDraining
	// StateDown means that a connection to the server broke.
	StateDown
	// StateBack means that the server no longer drains, or that it answered
	// after it was cold or down.
	StateBack
)

// StateUpdate is an observation of a server's state by a VM.
type StateUpdate struct {
	Server netip.AddrPort
	State  State
	// Age is the time since the observation.
	Age time.Duration
}

// Limits of the state updates that one VM sends of one service.
const (
	maxPendingUpdates = 64
	updateRate        = 4.0 // per second
	updateBurst       = 32.0
)

// updateQueue holds the state updates to send and the token bucket that limits
// them.
type updateQueue struct {
	pending  []pendingUpdate
	tokens   float64
	refilled time.Time
	dropped  uint64
}

type pendingUpdate struct {
	server *server
	state  State
	at     time.Time
}

// queueUpdate queues a state of v for the other VMs unless they know it. It
// replaces a pending update of the same server.
func (s *Set) queueUpdate(v *server, t State) {
	if v.gossipedState == t {
		return
	}
	v.gossipedState = t
	if s.Wake != nil {
		defer s.Wake()
	}
	q := &s.updates.pending
	for i := range *q {
		if (*q)[i].server == v {
			(*q)[i].state = t
			(*q)[i].at = s.now
			return
		}
	}
	if len(*q) >= maxPendingUpdates {
		s.updates.dropped++
		return
	}
	*q = append(*q, pendingUpdate{server: v, state: t, at: s.now})
}

// TakeUpdates removes and returns the state updates to send to the other VMs
// now, within the rate limit.
func (s *Set) TakeUpdates(now time.Time) []StateUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	q := &s.updates
	if q.refilled.IsZero() {
		q.tokens, q.refilled = updateBurst, s.now
	}
	q.tokens = min(updateBurst, q.tokens+updateRate*s.now.Sub(q.refilled).Seconds())
	q.refilled = s.now
	var r []StateUpdate
	for len(q.pending) > 0 && q.tokens >= 1 {
		w := q.pending[0]
		q.pending = q.pending[1:]
		q.tokens--
		r = append(r, StateUpdate{Server: w.server.address, State: w.state, Age: s.now.Sub(w.at)})
	}
	return r
}

// CurrentStates returns the states of all servers that are cold, suspect or
// draining, for a VM that just joined.
func (s *Set) CurrentStates(now time.Time) []StateUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	var r []StateUpdate
	for _, v := range s.servers {
		switch {
		case v.coldStart.phase == phaseCold:
			r = append(r, StateUpdate{Server: v.address, State: StateCold, Age: s.now.Sub(v.coldStart.since)})
		case v.coldStart.phase == phaseSuspect:
			r = append(r, StateUpdate{Server: v.address, State: StateDown, Age: s.now.Sub(v.coldStart.since)})
		case v.draining(s.now):
			r = append(r, StateUpdate{Server: v.address, State: StateDraining, Age: s.now.Sub(v.drain.at)})
		}
	}
	return r
}

// ApplyUpdates applies state updates received from the VM from. It ignores an
// update that a server is draining if the server answered this VM later, and one
// that it is down if it gave this VM a good answer later.
func (s *Set) ApplyUpdates(now time.Time, from netip.AddrPort, updates []StateUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	for _, n := range updates {
		if v := s.find(n.Server); v != nil {
			s.applyUpdate(v, from, n)
		}
	}
}

func (s *Set) applyUpdate(v *server, from netip.AddrPort, n StateUpdate) {
	at := s.now.Add(-max(n.Age, 0))
	switch n.State {
	case StateCold:
		if s.coldStated {
			v.coldStart.beginUntil(at, at.Add(s.coldFor))
		} else {
			v.coldStart.begin(at)
		}
	case StateDown:
		s.applyDown(v, from, at)
		return
	case StateDraining:
		if v.lastContact.Before(at) {
			v.drain.addAnnouncement(at)
		}
	case StateBack:
		if v.drain.at.Before(at) {
			v.drain = drain{}
		}
		if v.coldStart.needsAllowance() && v.coldStart.since.Before(at) {
			s.beginSlowStart(v)
			v.health.ejectedUntil = s.now
		}
	case StateNone:
		return
	}
	v.gossipedState = n.State
}

// downReport is the last update of another VM that a server is down.
type downReport struct {
	from netip.AddrPort
	at   time.Time // when this VM received it
}

// downReportTTL is how long a report that a server is down waits for a second
// VM to report the same.
const downReportTTL = time.Second

// applyDown marks a server as suspect when two VMs report it as down, unless
// more than half of the servers would then be cold or suspect. Without these
// rules a VM with a network failure of its own could take all servers from the
// others.
func (s *Set) applyDown(v *server, from netip.AddrPort, at time.Time) {
	if !v.answeredAt.Before(at) || v.coldStart.needsAllowance() {
		return
	}
	r := v.downReport
	v.downReport = downReport{from: from, at: s.now}
	if !r.from.IsValid() || r.from == from || s.now.Sub(r.at) > downReportTTL {
		return
	}
	if 2*(s.countNeedingAllowance()+1) > len(s.servers) {
		return
	}
	v.coldStart.markSuspect(at)
	v.gossipedState = StateDown
}

// countNeedingAllowance returns the number of cold or suspect servers.
func (s *Set) countNeedingAllowance() int {
	n := 0
	for _, v := range s.servers {
		if v.coldStart.needsAllowance() {
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
