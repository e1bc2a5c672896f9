// Package soak runs entry VMs as processes on a store without a list under
// faults that a seed draws, and checks what callers and backend servers saw.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lentilbend.example/platform/platformtest"

	"lentilbend.example/standin/internal/fleet"
)

// Times and sizes of a run.
const (
	servers = 4
	work    = 15 * time.Millisecond
	// callers is how many callers ask at once, each callEvery.
	callers   = 12
	callEvery = 20 * time.Millisecond
	// settled is within what time all VMs must serve again once the faults end:
	// the users' pages give 15 s after the last fault.
	settled = 15 * time.Second
	// rate is that of the workspace that has one, in requests a second.
	rate = 40
)

// Soak is one run. Set the exported fields before Run.
type Soak struct {
	// Bin is the folder that holds the program lentilbend.
	Bin string
	// Seed draws the faults.
	Seed uint64
	// VMs is how many entry VMs run, and For how long faults come about.
	VMs int
	For time.Duration
	// Log is told each fault.
	Log func(text string)

	store   *platformtest.Store
	servers []*platformtest.Server
	fleet   *fleet.Fleet
	rand    *rand.Rand
	began   time.Time

	mu    sync.Mutex
	calls []call
	found []string
	// out are the processes that a fault has.
	out map[*fleet.Entry]bool
}

// Run plays the faults and returns which promises were broken.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	s.rand = rand.New(rand.NewPCG(s.Seed, 1))
	s.out = map[*fleet.Entry]bool{}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	s.began = time.Now()
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var g sync.WaitGroup
	for i := range callers {
		g.Go(func() { s.ask(asking, i) })
	}
	if err := s.trouble(ctx); err != nil {
		return nil, err
	}
	s.settle(ctx)
	stop()
	g.Wait()
	s.check()
	return s.found, nil
}

func (s *Soak) start(ctx context.Context) error {
	s.store = platformtest.NewStore()
	s.store.PutConfig(1, northKeys, rate)
	for i := range servers {
		v := platformtest.NewServer(fmt.Sprintf("i-%d", i+1))
		v.ProcessingTime = work
		s.servers = append(s.servers, v)
		s.store.PutServer(v, false)
	}
	s.fleet = &fleet.Fleet{Bin: s.Bin, FaultProxies: true, StoreAddress: s.store.Address(), Seed: s.Seed, Settings: fleetSettings}
	s.fleet.Deployment.EntryDataCentres = slices.Repeat([]string{"z1"}, s.VMs)
	return s.fleet.Start(ctx)
}

// fleetSettings are the bounds of the users' pages.
const fleetSettings = `Grace = "6s"

[Fleet]
RateOverage = 0.25
RateTolerance = 20
RetryPart = 0.2
RetryMost = 50
`

func (s *Soak) close() {
	if s.fleet != nil {
		s.fleet.Close()
	}
	for _, v := range s.servers {
		v.Stop()
	}
	s.store.Stop()
}

// northKeys are the keys of the workspace with a rate.
const northKeys = `"north-key"`

// broken notes a broken promise.
func (s *Soak) broken(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found = append(s.found, fmt.Sprintf(format, args...))
}

func (s *Soak) tell(format string, args ...any) {
	if s.Log != nil {
		s.Log(fmt.Sprintf("%6.2f s  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// served returns how many calls were.
func (s *Soak) served() int {
	n := 0
	for _, c := range s.calls {
		if c.status == 200 {
			n++
		}
	}
	return n
}

// settle waits until all VMs are heard by all and serve.
func (s *Soak) settle(ctx context.Context) {
	until := time.Now().Add(settled)
	for _, e := range s.fleet.Entries {
		for {
			n, err := e.Metric(ctx, "lentilbend_fleet_live")
			if err == nil && int(n) == s.VMs && e.Ready(ctx) && s.serves(ctx, e) {
				break
			}
			if time.Now().After(until) {
				s.broken("VM %d hears %v of %d VMs, or does not serve, %s after the faults: %v", e.Index+1, n, s.VMs, settled, err)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.tell("all serve")
}

// serves tells whether a VM answers some requests in a row.
func (s *Soak) serves(ctx context.Context, e *fleet.Entry) bool {
	for i := range 5 {
		c := s.send(ctx, e, false, platformtest.SouthKey, fmt.Sprintf("settled-%d-%d-%d", e.Index, time.Now().UnixNano(), i))
		if c.status != 200 {
			return false
		}
	}
	return true
}
