package limit_test

import (
	"flag"
	"math/rand"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/limit/virtual"
)

// Size of the search over random schedules.
const (
	fakeMembershipSchedules = "800"
	realMembershipSchedules = "150"
	seed                    = "1"
	scheduleLength          = 60 * time.Second
	faultInterval           = 8 * time.Second
	maxRunTime              = 3 * time.Second
)

func key(kind limit.Kind, name string) limit.Key {
	return limit.Key{Kind: kind, Service: "till", Workspace: name}
}

// schedule is a run of random requests and faults, with one checker per limit.
type schedule struct {
	world    *virtual.World
	random   *rand.Rand
	checkers map[limit.Key]*virtual.Checker
	// base is the first table, edits the number of changes of the table.
	base  []limit.Spec
	edits int
	// port is that of the last address given out.
	port uint16
}

// newAddress returns an address that no VM has used.
func (s *schedule) newAddress() netip.AddrPort {
	s.port++
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), s.port)
}

func newSchedule(t *rapid.T, p *virtual.Platform) *schedule {
	r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
	s := &schedule{random: r, checkers: map[limit.Key]*virtual.Checker{}}
	s.world = &virtual.World{
		Random:         r,
		MinDelay:       time.Millisecond,
		MaxJitter:      time.Duration(rapid.IntRange(1, 40).Draw(t, "spread")) * time.Millisecond,
		LossRatio:      rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(t, "loss"),
		DuplicateRatio: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "repeat"),
		LateRatio:      rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late"),
		MaxLateness:    20 * time.Second,
		MaxClockDrift:  0.01,
		Platform:       p,
		LongTermDrift:  0.01,
		MisjudgedRatio: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "wrong"),
		LeaseDuration:  20 * time.Second,
		MaxForgetDelay: 2 * time.Second,
		MaxRunTime:     maxRunTime,
		Specs: []limit.Spec{
			{Key: key(limit.Rate, "small"), Rate: 4, Burst: 8},
			{Key: key(limit.Rate, "large"), Rate: 60, Burst: 200},
			{Key: key(limit.Running, "few"), Permits: 3},
			{Key: key(limit.Running, "many"), Permits: 40},
			{Key: key(limit.Cold, "cold"), Rate: 5, Burst: 2},
		},
	}
	s.base = s.world.Specs
	for _, p := range s.base {
		s.checkers[p.Key] = &virtual.Checker{Rate: p.Rate, Burst: p.Burst, Permits: p.Permits}
	}
	for range rapid.IntRange(2, 5).Draw(t, "vms") {
		s.world.Start(s.newAddress(), "", true)
	}
	return s
}

// startRequests sends requests for every limit to random VMs, at load times its
// rate, or load times its permits per second.
func (s *schedule) startRequests(load float64) {
	for _, p := range s.base {
		s.scheduleNext(p.Key, load*max(p.Rate, float64(p.Permits)))
	}
}

// scheduleNext schedules the next request for a limit.
func (s *schedule) scheduleNext(k limit.Key, rate float64) {
	w := s.world
	d := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	w.At(w.Now()+d, func() {
		s.request(k, w.VMs[s.random.Intn(len(w.VMs))])
		s.scheduleNext(k, rate)
	})
}

// request sends a request to v unless v is down or frozen.
func (s *schedule) request(k limit.Key, v *virtual.VM) {
	if !v.Alive || v.Frozen {
		return
	}
	c := s.checkers[k]
	d := time.Duration(s.random.Int63n(int64(maxRunTime)))
	v.Fleet.Take(v.Now(), k, v.Now().Add(d), func(a limit.Answer) {
		g, ok := a.(limit.Granted)
		if !ok {
			return
		}
		c.RecordUse(s.world.Now())
		if c.Permits > 0 {
			s.holdPermit(k, v, g, d)
		}
	})
}

// holdPermit holds a permit for most of d. A VM that has crashed or is frozen does
// not return it, but the backend server ends the request by its deadline.
func (s *schedule) holdPermit(k limit.Key, v *virtual.VM, g limit.Granted, d time.Duration) {
	w := s.world
	w.At(w.Now()+d*98/100, func() {
		s.checkers[k].RecordRelease()
		v.Do(func() { v.Fleet.Return(v.Now(), k, g) })
	})
}

// injectFault applies fault n to a random VM. Numbers without a fault do nothing.
func (s *schedule) injectFault(n int) {
	w := s.world
	v := w.VMs[s.random.Intn(len(w.VMs))]
	if !v.Alive {
		return
	}
	duration := time.Duration(s.random.Int63n(int64(30 * time.Second)))
	switch n {
	case 0:
		w.Crash(v)
		w.At(w.Now()+duration/4, func() { w.Start(s.newAddress(), "", false) })
	case 1:
		w.Crash(v)
		w.Start(v.ID.Address, "", false)
	case 2:
		w.Freeze(v, duration, s.random.Intn(2) == 0)
	case 3:
		v.Isolated = true
		w.Partition(func(a, b *virtual.VM) bool { return a == v || b == v })
		w.At(w.Now()+duration, func() { v.Isolated = false; w.Partition(nil) })
	case 4:
		w.Partition(func(a, b *virtual.VM) bool { return a == v })
		w.At(w.Now()+duration, func() { w.Partition(nil) })
	case 5:
		w.Start(s.newAddress(), "", false)
	case 6:
		w.Leave(v)
		w.At(w.Now()+duration/2, func() { w.Crash(v) })
	case 7:
		s.scale([]float64{0.25, 0.5, 1, 2}[s.random.Intn(4)])
	case 8:
		s.removeRows()
	}
}

// exceeded returns, by workspace, how often a limit was exceeded.
func (s *schedule) exceeded() map[string]int {
	m := map[string]int{}
	for k, c := range s.checkers {
		if c.Violations > 0 {
			m[k.Workspace] = c.Violations
		}
	}
	return m
}

var _ = Describe("random schedules", func() {
	It("never exceed a limit in any interval", func() {
		runSchedules(fakeMembershipSchedules, func() *virtual.Platform { return nil })
	})

	It("never exceed a limit with the real membership protocol", func() {
		runSchedules(realMembershipSchedules, func() *virtual.Platform { return &virtual.Platform{Lag: 3 * time.Second} })
	})
})

// runSchedules runs random schedules and expects that no limit is exceeded and that
// every limit is used.
func runSchedules(checks string, platform func() *virtual.Platform) {
	Expect(flag.Set("rapid.seed", seed)).To(Succeed())
	Expect(flag.Set("rapid.checks", checks)).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	used := map[string]int{}
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		s := newSchedule(t, platform())
		s.startRequests(rapid.SampledFrom([]float64{0.5, 0.9, 3}).Draw(t, "load"))
		for at := faultInterval; at < scheduleLength; at += faultInterval {
			n := rapid.IntRange(0, 9).Draw(t, "fault")
			s.world.At(at, func() { s.injectFault(n) })
		}
		s.world.Run(scheduleLength)
		if o := s.exceeded(); len(o) > 0 {
			t.Fatalf("over the limit: %v", o)
		}
		for k, c := range s.checkers {
			used[k.Workspace] += c.Uses
		}
	})
	for _, k := range []string{"small", "large", "few", "many", "cold"} {
		Expect(used[k]).To(BeNumerically(">", 0), k)
	}
}
