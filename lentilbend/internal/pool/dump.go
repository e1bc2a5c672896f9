package pool

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is what one pool shows of itself.
type State struct {
	Server                         netip.AddrPort
	Idle, Busy, Opening, InDoubt   int
	Waiting, Allowance             int
	Opened, OpenFailed, ClosedIdle uint64
	Silent, Condemned, Lifted      uint64
	// ServerClosesAfter is the shortest idle time after which the server
	// closed a connection; 0 when unknown.
	ServerClosesAfter time.Duration
	Kinds             []KindState
}

// KindState is what a pool knows of one kind of request.
type KindState struct {
	Kind     string
	Mean     time.Duration
	Patience time.Duration
	Samples  int
}

// States returns the state of every pool, ordered by server.
func (s *Set) States() []State {
	var ss []State
	s.pools.Range(func(_, v any) bool {
		ss = append(ss, v.(*Pool).state())
		return true
	})
	slices.SortFunc(ss, func(a, b State) int { return a.Server.Compare(b.Server) })
	return ss
}

func (p *Pool) state() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := State{
		Server:            p.address,
		Idle:              len(p.idle),
		Busy:              len(p.busy),
		Opening:           p.opening,
		InDoubt:           len(p.doubtful),
		Waiting:           len(p.waiters),
		Allowance:         p.set.allowance(p.address),
		Opened:            p.counts.opened,
		OpenFailed:        p.counts.failed,
		ClosedIdle:        p.counts.closedIdle,
		Silent:            p.counts.silent,
		Condemned:         p.counts.condemned,
		Lifted:            p.counts.lifted,
		ServerClosesAfter: p.lived,
	}
	for k, u := range p.usual {
		s.Kinds = append(s.Kinds, KindState{
			Kind:     k,
			Mean:     time.Duration(u.mean),
			Patience: u.patience(),
			Samples:  u.samples,
		})
	}
	slices.SortFunc(s.Kinds, func(a, b KindState) int { return strings.Compare(a.Kind, b.Kind) })
	return s
}
