package measure

import (
	"context"
	"fmt"
	"math/rand"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/limit/virtual"

	"lentilbend.example/standin/internal/load"
)

// Parameters of the simulated fleet.
const (
	limitsVMs         = 16
	limitsDataCentres = 4
	// limitsWindow is the length of the windows in which refusals are counted to
	// find the recovery time after a fault.
	limitsWindow = 5 * time.Second
	// limitsMaxRunTime is the time from a request's start to its deadline.
	limitsMaxRunTime = 3 * time.Second
	// limitsRunStep is the virtual time between checks of the context.
	limitsRunStep = time.Second
)

// limitsBurstSeconds is the ratio of a workspace's burst to its rate.
const limitsBurstSeconds = 2

// faultRunRates are the rate limits of the workspaces in runs with faults, in
// requests a second.
var faultRunRates = []float64{4, 40, 400, 4000}

// limitsSimulation is a simulation of fleet-wide rate limits in virtual time. All
// mechanisms decide on the same requests.
type limitsSimulation struct {
	world        *virtual.World
	random       *rand.Rand
	workspaces   []*limitsWorkspace
	faultAt      time.Duration // 0 without a fault
	lastPort     uint16        // of the addresses given to VMs
	arrivalStart time.Duration
	waits        *hdrhistogram.Histogram // for answers that were not immediate
	calls        int
	windows      []limitsCount // consecutive windows of limitsWindow from arrivalStart on
}

// limitsCount counts the calls of all workspaces in one window, and their refusals
// by the load balancer's mechanism and by the exact buckets.
type limitsCount struct {
	calls, refused, exactRefused int
}

// limitsWorkspace is a workspace with its rate limit and the decisions of each
// mechanism on its requests.
type limitsWorkspace struct {
	spec         limit.Spec
	exact        *virtual.Checker // exact token bucket, the reference for refusals
	exactRefused int
	calls        int
	static       *staticSplit
	owner        *leaselessOwners
	ours         limitsCounter
	baselines    [2]limitsCounter // of static and owner
}

// limitsCounter counts the refusals of one mechanism and checks its grants against
// the limit.
type limitsCounter struct {
	checker virtual.Checker
	refused int
}

func (c *limitsCounter) record(now time.Duration, granted bool) {
	if granted {
		c.checker.RecordUse(now)
		return
	}
	c.refused++
}

// newLimitsSimulation starts a fleet and the arrivals of one workspace for each rate
// limit. The factor is the ratio of the arrival rate to the limit.
func newLimitsSimulation(seed int64, factor float64, rates ...float64) *limitsSimulation {
	r := rand.New(rand.NewSource(seed))
	s := &limitsSimulation{random: r, waits: load.NewHistogram()}
	s.world = &virtual.World{
		Random:        r,
		MinDelay:      time.Millisecond,
		MaxJitter:     time.Millisecond,
		MaxClockDrift: limit.DefaultMaxClockDrift,
		MaxClockError: limit.DefaultLongTermDrift,
		LongTermDrift: limit.DefaultLongTermDrift,
		MaxRunTime:    limitsMaxRunTime,
		Platform:      &virtual.Platform{Lag: 5 * time.Second},
	}
	for _, x := range rates {
		s.addWorkspace(x)
	}
	for i := range limitsVMs {
		s.world.Start(s.newAddress(), centreName(i), true)
	}
	s.world.Run(faultStartSeconds * time.Second / 2)
	s.arrivalStart = s.world.Now()
	for _, w := range s.workspaces {
		s.scheduleArrivals(w, w.spec.Rate*factor)
	}
	return s
}

func centreName(i int) string {
	return fmt.Sprintf("centre-%d", i%limitsDataCentres+1)
}

// addWorkspace adds a workspace with a rate limit, in requests a second.
func (s *limitsSimulation) addWorkspace(rate float64) {
	k := limit.Key{Kind: limit.Rate, Service: "till", Workspace: fmt.Sprintf("rate-%.0f", rate)}
	p := limit.Spec{Key: k, Rate: rate, Burst: limitsBurstSeconds * rate}
	c := virtual.Checker{Rate: p.Rate, Burst: p.Burst}
	w := &limitsWorkspace{spec: p, exact: &virtual.Checker{Rate: p.Rate, Burst: p.Burst}}
	w.ours.checker, w.baselines[0].checker, w.baselines[1].checker = c, c, c
	w.static = newStaticSplit(p)
	w.owner = newLeaselessOwners(p)
	s.workspaces = append(s.workspaces, w)
	s.world.Specs = append(s.world.Specs, p)
}

// newAddress returns an address that no VM has had before.
func (s *limitsSimulation) newAddress() netip.AddrPort {
	s.lastPort++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), s.lastPort)
}

// scheduleArrivals schedules the Poisson arrivals of a workspace, each of which
// schedules the next one. The rate is in requests a second.
func (s *limitsSimulation) scheduleArrivals(w *limitsWorkspace, rate float64) {
	d := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.world.At(s.world.Now()+d, func() {
		s.scheduleArrivals(w, rate)
		s.arrive(w)
	})
}

// arrive lets a request arrive at a VM. The exact bucket and each mechanism decide
// on it.
func (s *limitsSimulation) arrive(w *limitsWorkspace) {
	v := s.randomVM()
	now := s.world.Now()
	n := s.window(now)
	w.calls++
	s.calls++
	n.calls++
	if !w.exact.TryTake(now) {
		w.exactRefused++
		n.exactRefused++
	}
	w.baselines[0].record(now, w.static.take(now, v))
	w.baselines[1].record(now, w.owner.take(now, s.world, v))
	v.Fleet.Take(v.Now(), w.spec.Key, v.Now().Add(limitsMaxRunTime), func(a limit.Answer) {
		_, ok := a.(limit.Granted)
		w.ours.record(s.world.Now(), ok)
		if !ok {
			n.refused++
		}
		if d := s.world.Now() - now; d > 0 {
			_ = s.waits.RecordValue(int64(d))
		}
	})
}

// randomVM chooses at random among the VMs that accept requests, as the platform's
// balancer does.
func (s *limitsSimulation) randomVM() *virtual.VM {
	for {
		v := s.world.VMs[s.random.Intn(len(s.world.VMs))]
		if v.Alive && !v.Frozen && !v.Leaving {
			return v
		}
	}
}

// window returns the counts of the window that contains the time now.
func (s *limitsSimulation) window(now time.Duration) *limitsCount {
	i := int((now - s.arrivalStart) / limitsWindow)
	for len(s.windows) <= i {
		s.windows = append(s.windows, limitsCount{})
	}
	return &s.windows[i]
}

// run runs the simulation up to the virtual time until, or until ctx ends. It counts
// the messages from now on.
func (s *limitsSimulation) run(ctx context.Context, until time.Duration) {
	s.world.Messages, s.world.Bytes = 0, 0
	for s.world.Now() < until && ctx.Err() == nil {
		s.world.Run(s.world.Now() + limitsRunStep)
	}
}

func (s *limitsSimulation) result(name string, load float64) limitsRun {
	d := (s.world.Now() - s.arrivalStart).Seconds()
	r := limitsRun{
		Name:            name,
		Load:            load,
		Seconds:         d,
		MessagesPerNode: float64(s.world.Messages) / d / limitsVMs,
		BytesPerNode:    float64(s.world.Bytes) / d / limitsVMs,
		AskedPerCall:    100 * float64(s.waits.TotalCount()) / float64(s.calls),
		WaitP99:         float64(s.waits.ValueAtPercentile(99)) / float64(time.Millisecond),
	}
	for _, w := range s.workspaces {
		r.Ours.add(w, &w.ours)
		r.Static.add(w, &w.baselines[0])
		r.Owner.add(w, &w.baselines[1])
	}
	within := 0
	for _, w := range s.workspaces {
		within += w.calls - w.exactRefused
	}
	for _, m := range []*mechanismResult{&r.Ours, &r.Static, &r.Owner} {
		m.Percent = 100 * float64(m.WrongfulRefusals) / float64(within)
	}
	if s.faultAt > 0 {
		r.BackAfter = s.recoveryTime()
	}
	return r
}

// add adds the decisions of a mechanism for one workspace.
func (m *mechanismResult) add(w *limitsWorkspace, c *limitsCounter) {
	m.OverAdmitted += c.checker.Violations
	n := max(0, c.refused-w.exactRefused)
	m.WrongfulRefusals += n
	if p := 100 * float64(n) / float64(w.calls-w.exactRefused); p > m.Worst || m.WorstRate == 0 {
		m.Worst, m.WorstRate = p, w.spec.Rate
	}
}

// recoveryTime returns the time from the fault to the end of the last window in
// which wrongful refusals exceeded maxWrongfulPercent of the calls, in seconds.
func (s *limitsSimulation) recoveryTime() float64 {
	last := time.Duration(0)
	for i, n := range s.windows {
		end := s.arrivalStart + time.Duration(i+1)*limitsWindow
		if end > s.faultAt && 100*float64(n.refused-n.exactRefused) > maxWrongfulPercent*float64(n.calls) {
			last = end - s.faultAt
		}
	}
	return last.Seconds()
}
