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

// Sizes of the simulated fleet.
const (
	limitsVMs     = 16
	limitsCentres = 4
	limitsWindow  = 5 * time.Second
	limitsLongest = 3 * time.Second
	limitsSlice   = time.Second
)

// limitsBurst is the burst of a workspace, in seconds of its rate.
const limitsBurst = 2

// limitsRates are the rates of the workspaces in runs with faults, in requests
// a second.
var limitsRates = []float64{4, 40, 400, 4000}

// limitsSim is one run in virtual time.
type limitsSim struct {
	world      *virtual.World
	random     *rand.Rand
	workspaces []*limitsWorkspace
	faultAt    time.Duration
	ports      uint16
	begin      time.Duration
	waits      *hdrhistogram.Histogram
	calls      int
	windows    []limitsCount
}

// limitsCount counts refusals in one window.
type limitsCount struct {
	calls, refused, ideal int
}

// limitsWorkspace is one workspace with its arrivals.
type limitsWorkspace struct {
	spec   limit.Spec
	exact  *virtual.Checker
	ideal  int
	calls  int
	static *staticSplit
	owner  *owners
	ours   limitsCounter
	others [2]limitsCounter
}

// limitsCounter checks what one mechanism grants.
type limitsCounter struct {
	check   virtual.Checker
	refused int
}

func (c *limitsCounter) count(now time.Duration, granted bool) {
	if granted {
		c.check.RecordUse(now)
		return
	}
	c.refused++
}

func newLimitsSim(seed int64, factor float64, rates ...float64) *limitsSim {
	r := rand.New(rand.NewSource(seed))
	s := &limitsSim{random: r, waits: load.NewHistogram()}
	s.world = &virtual.World{
		Random:        r,
		MinDelay:      time.Millisecond,
		MaxJitter:     time.Millisecond,
		MaxClockDrift: limit.DefaultMaxClockDrift,
		MaxClockError: limit.DefaultLongTermDrift,
		LongTermDrift: limit.DefaultLongTermDrift,
		MaxRunTime:    limitsLongest,
		Platform:      &virtual.Platform{Lag: 5 * time.Second},
	}
	for _, x := range rates {
		s.add(x)
	}
	for i := range limitsVMs {
		s.world.Start(s.address(), centre(i), true)
	}
	s.world.Run(warmSeconds * time.Second / 2)
	s.begin = s.world.Now()
	for _, w := range s.workspaces {
		s.next(w, w.spec.Rate*factor)
	}
	return s
}

func centre(i int) string {
	return fmt.Sprintf("centre-%d", i%limitsCentres+1)
}

func (s *limitsSim) add(rate float64) {
	k := limit.Key{Kind: limit.Rate, Service: "till", Workspace: fmt.Sprintf("rate-%.0f", rate)}
	p := limit.Spec{Key: k, Rate: rate, Burst: limitsBurst * rate}
	c := virtual.Checker{Rate: p.Rate, Burst: p.Burst}
	w := &limitsWorkspace{spec: p, exact: &virtual.Checker{Rate: p.Rate, Burst: p.Burst}}
	w.ours.check, w.others[0].check, w.others[1].check = c, c, c
	w.static = newStaticSplit(p)
	w.owner = newOwners(p)
	s.workspaces = append(s.workspaces, w)
	s.world.Specs = append(s.world.Specs, p)
}

func (s *limitsSim) address() netip.AddrPort {
	s.ports++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), s.ports)
}

// next sends the arrivals of a workspace.
func (s *limitsSim) next(w *limitsWorkspace, rate float64) {
	d := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.world.At(s.world.Now()+d, func() {
		s.next(w, rate)
		s.arrive(w)
	})
}

// arrive sends one request to a VM that runs, by the exact bucket and by every
// mechanism.
func (s *limitsSim) arrive(w *limitsWorkspace) {
	v := s.spray()
	now := s.world.Now()
	n := s.window(now)
	w.calls++
	s.calls++
	n.calls++
	if !w.exact.TryTake(now) {
		w.ideal++
		n.ideal++
	}
	w.others[0].count(now, w.static.take(now, v))
	w.others[1].count(now, w.owner.take(now, s.world, v))
	v.Fleet.Take(v.Now(), w.spec.Key, v.Now().Add(limitsLongest), func(a limit.Answer) {
		_, ok := a.(limit.Granted)
		w.ours.count(s.world.Now(), ok)
		if !ok {
			n.refused++
		}
		if d := s.world.Now() - now; d > 0 {
			_ = s.waits.RecordValue(int64(d))
		}
	})
}

// spray draws a VM as the platform's balancer does.
func (s *limitsSim) spray() *virtual.VM {
	for {
		v := s.world.VMs[s.random.Intn(len(s.world.VMs))]
		if v.Alive && !v.Frozen && !v.Leaving {
			return v
		}
	}
}

func (s *limitsSim) window(now time.Duration) *limitsCount {
	i := int((now - s.begin) / limitsWindow)
	for len(s.windows) <= i {
		s.windows = append(s.windows, limitsCount{})
	}
	return &s.windows[i]
}

// run runs until the time, or until ctx ends.
func (s *limitsSim) run(ctx context.Context, until time.Duration) {
	s.world.Messages, s.world.Bytes = 0, 0
	for s.world.Now() < until && ctx.Err() == nil {
		s.world.Run(s.world.Now() + limitsSlice)
	}
}

func (s *limitsSim) result(name string, load float64) limitsRun {
	d := (s.world.Now() - s.begin).Seconds()
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
		r.Static.add(w, &w.others[0])
		r.Owner.add(w, &w.others[1])
	}
	within := 0
	for _, w := range s.workspaces {
		within += w.calls - w.ideal
	}
	for _, m := range []*mechanismResult{&r.Ours, &r.Static, &r.Owner} {
		m.Percent = 100 * float64(m.WrongfulRefusals) / float64(within)
	}
	if s.faultAt > 0 {
		r.BackAfter = s.backAfter()
	}
	return r
}

// add adds what a mechanism did for one workspace.
func (m *mechanismResult) add(w *limitsWorkspace, c *limitsCounter) {
	m.OverAdmitted += c.check.Violations
	n := max(0, c.refused-w.ideal)
	m.WrongfulRefusals += n
	if p := 100 * float64(n) / float64(w.calls-w.ideal); p > m.Worst || m.WorstRate == 0 {
		m.Worst, m.WorstRate = p, w.spec.Rate
	}
}

// backAfter is how long after the fault a window was last above the target.
func (s *limitsSim) backAfter() float64 {
	last := time.Duration(0)
	for i, n := range s.windows {
		end := s.begin + time.Duration(i+1)*limitsWindow
		if end > s.faultAt && 100*float64(n.refused-n.ideal) > wrongfulBound*float64(n.calls) {
			last = end - s.faultAt
		}
	}
	return last.Seconds()
}
