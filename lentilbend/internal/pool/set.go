package pool

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// DefaultSweepInterval is the default time between two sweeps.
const DefaultSweepInterval = 20 * time.Millisecond

// Set holds one pool for each backend server. Set the exported fields before
// use.
type Set struct {
	// MaxConns returns how many connections this VM may have open to a
	// server.
	MaxConns func(server netip.AddrPort) int
	// Now returns the time; time.Now unless a test replaces it.
	Now func() time.Time
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a request.
	IdleTimeout time.Duration
	// SweepInterval is the time between two sweeps.
	SweepInterval time.Duration
	// MinIdle is how many idle connections a pool keeps ready while requests
	// come.
	MinIdle int

	pools sync.Map

	mu            sync.Mutex
	removedCounts counts
}

// New returns a set with the default times and the given limit of connections.
func New(maxConns func(server netip.AddrPort) int) *Set {
	return &Set{
		MaxConns:      maxConns,
		Now:           time.Now,
		DialTimeout:   500 * time.Millisecond,
		IdleTimeout:   30 * time.Second,
		MinIdle:       1,
		SweepInterval: DefaultSweepInterval,
	}
}

// Pool returns the pool of a server, which it creates on first use.
func (s *Set) Pool(server netip.AddrPort) *Pool {
	if p, ok := s.pools.Load(server); ok {
		return p.(*Pool)
	}
	n := &Pool{
		set:       s,
		address:   server,
		host:      server.String(),
		transport: newTransport(s.Now),
		busy:      map[*Conn]struct{}{},
		baselines: map[string]*baseline{},
		lastUsed:  s.Now(),
	}
	p, _ := s.pools.LoadOrStore(server, n)
	return p.(*Pool)
}

func (s *Set) maxConns(server netip.AddrPort) int {
	return s.MaxConns(server)
}

// Sweep checks for silent requests, closes connections that were idle for too
// long, and removes unused pools. Run calls it every SweepInterval.
func (s *Set) Sweep(now time.Time) {
	s.pools.Range(func(k, v any) bool {
		p := v.(*Pool)
		for _, f := range p.sweep(now) {
			f()
		}
		if p.unused(now) {
			s.pools.Delete(k)
			p.shutDown()
			s.addRemoved(p)
		}
		return true
	})
}

// Run sweeps until ctx ends, then closes all idle connections.
func (s *Set) Run(ctx context.Context) error {
	t := time.NewTicker(s.SweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.shutDown()
			return nil
		case <-t.C:
			s.Sweep(s.Now())
		}
	}
}

// addRemoved adds the totals of a removed pool, so that the counters never
// decrease.
func (s *Set) addRemoved(p *Pool) {
	p.mu.Lock()
	c := p.counts
	p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removedCounts.add(c)
}

// removedPoolCounts returns the totals of the removed pools.
func (s *Set) removedPoolCounts() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removedCounts
}

func (s *Set) shutDown() {
	s.pools.Range(func(k, v any) bool {
		s.pools.Delete(k)
		v.(*Pool).shutDown()
		return true
	})
}
