package pool

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is the state of one pool, as dumped for operators. InDoubt is the
// number of suspect connections, Waiting that of queued requests, and Allowance
// the connection limit. The counters are totals since the pool was made:
// ClosedIdle counts connections that the server closed while they were idle,
// Silent requests without an answer within the silence timeout, Condemned
// suspect connections that were closed because the test connection brought an
// answer, and Lifted how often suspect connections became usable again.
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

// KindState is the baseline latency of one kind of request. Patience is the
// silence timeout.
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
		InDoubt:           len(p.suspects),
		Waiting:           len(p.waiters),
		Allowance:         p.set.maxConns(p.address),
		Opened:            p.counts.opened,
		OpenFailed:        p.counts.openFailed,
		ClosedIdle:        p.counts.closedIdle,
		Silent:            p.counts.silent,
		Condemned:         p.counts.suspectsClosed,
		Lifted:            p.counts.suspectsRestored,
		ServerClosesAfter: p.serverIdleTimeout,
	}
	for k, b := range p.baselines {
		s.Kinds = append(s.Kinds, KindState{
			Kind:     k,
			Mean:     time.Duration(b.mean),
			Patience: b.silenceTimeout(),
			Samples:  b.samples,
		})
	}
	slices.SortFunc(s.Kinds, func(a, b KindState) int { return strings.Compare(a.Kind, b.Kind) })
	return s
}
