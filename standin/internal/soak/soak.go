// Package soak runs entry VMs as processes of an open fleet, whose VMs the store
// does not list, injects random faults drawn from a seed, and checks what callers
// and backend servers saw.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lentilbend.example/platform/platformtest"

	"lentilbend.example/standin/internal/fleet"
)

const (
	serverCount    = 4
	processingTime = 15 * time.Millisecond
	// callerCount is how many callers send requests concurrently. Each one pauses
	// for meanCallPause on average before its next request.
	callerCount   = 12
	meanCallPause = 20 * time.Millisecond
	// recoveryTimeout is the time after the last fault within which all VMs must
	// serve again; the users require 15 s.
	recoveryTimeout = 15 * time.Second
	// northRate is the rate limit of the workspace "north", in requests per second.
	// The other workspace has none.
	northRate = 40
)

// Soak is one run. Set the exported fields before Run.
type Soak struct {
	// Bin is the folder that holds the program lentilbend.
	Bin string
	// Seed determines the sequence of faults and of requests.
	Seed uint64
	// VMs is the number of entry VMs.
	VMs int
	// Duration is how long faults are injected.
	Duration time.Duration
	// Log, if set, is called with each line of the run's log.
	Log func(text string)

	store   *platformtest.Store
	servers []*platformtest.Server
	fleet   *fleet.Fleet
	rand    *rand.Rand
	start   time.Time

	mu         sync.Mutex
	calls      []call
	violations []string
	// reserved are the VMs whose process a fault uses.
	reserved map[*fleet.Entry]bool
}

// Run starts the fleet, injects faults under load and returns the violations of
// the users' requirements.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	s.rand = rand.New(rand.NewPCG(s.Seed, 1))
	s.reserved = map[*fleet.Entry]bool{}
	defer s.close()
	if err := s.startFleet(ctx); err != nil {
		return nil, err
	}
	s.start = time.Now()
	callerCtx, stop := context.WithCancel(ctx)
	defer stop()
	var g sync.WaitGroup
	for i := range callerCount {
		g.Go(func() { s.runCaller(callerCtx, i) })
	}
	if err := s.injectFaults(ctx); err != nil {
		return nil, err
	}
	s.waitRecovered(ctx)
	stop()
	g.Wait()
	s.checkResults()
	return s.violations, nil
}

func (s *Soak) startFleet(ctx context.Context) error {
	s.store = platformtest.NewStore()
	s.store.PutConfig(1, northKeys, northRate)
	for i := range serverCount {
		v := platformtest.NewServer(fmt.Sprintf("i-%d", i+1))
		v.ProcessingTime = processingTime
		s.servers = append(s.servers, v)
		s.store.PutServer(v, false)
	}
	s.fleet = &fleet.Fleet{Bin: s.Bin, FaultProxies: true, StoreAddress: s.store.Address(), Seed: s.Seed, Settings: fleetSettings}
	s.fleet.Deployment.EntryDataCentres = slices.Repeat([]string{"z1"}, s.VMs)
	return s.fleet.Start(ctx)
}

// fleetSettings sets the limits that the users require.
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

// northKeys are the keys of the workspace "north", as JSON strings.
const northKeys = `"north-key"`

// addViolation records a violated requirement.
func (s *Soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// logf logs a line with the time since the start of the run.
func (s *Soak) logf(format string, args ...any) {
	if s.Log != nil {
		s.Log(fmt.Sprintf("%6.2f s  ", time.Since(s.start).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// servedCount returns how many calls were answered with status 200.
func (s *Soak) servedCount() int {
	n := 0
	for _, c := range s.calls {
		if c.status == 200 {
			n++
		}
	}
	return n
}

// waitRecovered waits until each VM counts all VMs as live, knows of the restore of the
// store, is ready and serves, and adds a violation if that takes longer than recoveryTimeout.
func (s *Soak) waitRecovered(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	for _, e := range s.fleet.Entries {
		for {
			n, err := e.Metric(ctx, "lentilbend_fleet_live")
			era, eraErr := e.Metric(ctx, "lentilbend_platform_era")
			err = errors.Join(err, eraErr)
			if err == nil && int(n) == s.VMs && era == 1 && e.Ready(ctx) && s.answersCalls(ctx, e) {
				break
			}
			if time.Now().After(deadline) {
				s.addViolation("VM %d counts %v of %d VMs as live, or knows era %v of the store, or is not ready, or does not serve, %s after the last fault (error reading the metric: %v)", e.Index+1, n, s.VMs, era, recoveryTimeout, err)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.logf("all VMs have recovered")
}

// answersCalls reports whether a VM serves five calls in a row.
func (s *Soak) answersCalls(ctx context.Context, e *fleet.Entry) bool {
	for i := range 5 {
		c := s.sendCall(ctx, e, false, platformtest.SouthKey, fmt.Sprintf("settled-%d-%d-%d", e.Index, time.Now().UnixNano(), i))
		if c.status != 200 {
			return false
		}
	}
	return true
}
