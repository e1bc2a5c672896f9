package pool

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// SweepInterval is the time between looks for silent connections.
const SweepInterval = 20 * time.Millisecond

// Set holds one pool for each backend server. Set the exported fields before
// use.
type Set struct {
	// Allowance returns how many connections to a server may be open here.
	Allowance func(server netip.AddrPort) int
	// Now returns the time; time.Now unless a test replaces it.
	Now func() time.Time
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a request.
	IdleTimeout time.Duration
	// SweepEvery is the time between looks for silent connections.
	SweepEvery time.Duration
	// Ahead is how many idle connections are held ready while requests come.
	Ahead int

	pools sync.Map

	mu   sync.Mutex
	gone counts
}

// New returns a set with the default times and the given allowance.
func New(allowance func(server netip.AddrPort) int) *Set {
	return &Set{
		Allowance:   allowance,
		Now:         time.Now,
		DialTimeout: 500 * time.Millisecond,
		IdleTimeout: 30 * time.Second,
		Ahead:       1,
		SweepEvery:  SweepInterval,
	}
}

// Pool returns the pool of a server.
func (s *Set) Pool(server netip.AddrPort) *Pool {
	if p, ok := s.pools.Load(server); ok {
		return p.(*Pool)
	}
	n := &Pool{
		set:      s,
		address:  server,
		host:     server.String(),
		client:   newTransport(s.Now),
		busy:     map[*Conn]struct{}{},
		usual:    map[string]*usual{},
		lastUsed: s.Now(),
	}
	p, _ := s.pools.LoadOrStore(server, n)
	return p.(*Pool)
}

func (s *Set) allowance(server netip.AddrPort) int {
	return s.Allowance(server)
}

// Sweep looks for silent requests and forgets pools that are not used. Call
// it every SweepInterval.
func (s *Set) Sweep(now time.Time) {
	s.pools.Range(func(k, v any) bool {
		p := v.(*Pool)
		for _, f := range p.sweep(now) {
			f()
		}
		if p.unused(now) {
			s.pools.Delete(k)
			p.retire()
			s.keep(p)
		}
		return true
	})
}

// Run sweeps until ctx ends, then closes what is idle.
func (s *Set) Run(ctx context.Context) error {
	t := time.NewTicker(s.SweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.retire()
			return nil
		case <-t.C:
			s.Sweep(s.Now())
		}
	}
}

// keep adds the totals of a pool that was forgotten.
func (s *Set) keep(p *Pool) {
	p.mu.Lock()
	c := p.counts
	p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone.add(c)
}

// past returns the totals of the pools that were forgotten.
func (s *Set) past() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

func (s *Set) retire() {
	s.pools.Range(func(k, v any) bool {
		s.pools.Delete(k)
		v.(*Pool).retire()
		return true
	})
}
