package choice_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

// unlimited is an Allowance without a limit.
type unlimited struct{}

func (unlimited) Take(time.Time, netip.AddrPort) bool { return true }

func serverAt(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1))
}

// newProbeableSet returns a set of n servers that state their cold starts and may
// be probed. The function change, if any, changes a server before it is added.
func newProbeableSet(now time.Time, n int, change func(i int, s *choice.Server)) *choice.Set {
	s := &choice.Set{
		Service: "s", Policy: choice.NewInformed(), Rand: rand.New(rand.NewPCG(1, 2)), Probes: unlimited{},
		DataCentre: "a", FarCost: 3 * time.Millisecond, Self: netip.MustParseAddrPort("10.9.9.9:7"),
	}
	var ss []choice.Server
	for i := range n {
		v := choice.Server{Address: serverAt(i), Name: fmt.Sprintf("i-%d", i), DataCentre: "a"}
		if change != nil {
			change(i, &v)
		}
		ss = append(ss, v)
	}
	s.Update(now, choice.Config{Slots: 6, ColdFor: 3 * time.Second, VMs: 14, ColdStated: true, Probeable: true, InitialLatency: 160 * time.Millisecond}, ss)
	return s
}

// reportAll records the answer to a probe of each server, with the given pace.
func reportAll(s *choice.Set, now time.Time, n int, pace func(i int) float64) {
	for i := range n {
		s.RecordProbe(now, serverAt(i), &load.Report{Slots: 6, Pace: pace(i)})
	}
}

// learnAnswers lets the set learn the latency and size of answers of kind k. It
// returns the time after them.
func learnAnswers(s *choice.Set, now time.Time, d time.Duration, size int64) time.Time {
	for range 64 {
		c, ok := s.Choose(now, "k", nil)
		Expect(ok).To(BeTrue())
		now = now.Add(d)
		c.End(now, choice.Answered{Status: 200, FirstByte: d, Bytes: size, Load: &load.Report{Slots: 6, Pace: 1}})
	}
	return now
}

var _ = Describe("probes before a choice", func() {
	now := time.Unix(1000, 0)

	It("go to the best servers, and to none with a recent report", func() {
		s := newProbeableSet(now, 8, nil)
		first := s.ProbeCandidates(now, "k", nil, 3, 40*time.Millisecond)
		Expect(first).To(HaveLen(3))
		reportAll(s, now, 8, func(int) float64 { return 1 })
		Expect(s.ProbeCandidates(now.Add(10*time.Millisecond), "k", nil, 3, 40*time.Millisecond)).To(BeEmpty())
		Expect(s.ProbeCandidates(now.Add(time.Second), "k", nil, 3, 40*time.Millisecond)).To(HaveLen(3))
	})

	It("make the choice follow the reported pace", func() {
		s := newProbeableSet(now, 4, nil)
		reportAll(s, now, 4, func(i int) float64 {
			if i == 2 {
				return 1
			}
			return 7
		})
		c, ok := s.Choose(now.Add(time.Millisecond), "k", nil)
		Expect(ok).To(BeTrue())
		Expect(c.Server()).To(Equal(serverAt(2)))
		Expect(c.Name()).To(Equal("i-2"))
		Expect(c.Basis().Pace).To(Equal(1.0))
		Expect(c.Basis().Age).To(Equal(time.Millisecond))
	})

	It("make the choice avoid a server that did not answer", func() {
		s := newProbeableSet(now, 2, nil)
		s.RecordProbe(now, serverAt(0), nil)
		for range 20 {
			c, _ := s.Choose(now, "k", nil)
			Expect(c.Server()).To(Equal(serverAt(1)))
			c.End(now, choice.Cancelled{})
		}
	})

	It("go to a subset of a large service that differs between VMs", func() {
		s := newProbeableSet(now, 150, nil)
		o := newProbeableSet(now, 150, nil)
		o.Self = netip.MustParseAddrPort("10.9.9.10:7")
		seen, shared := map[netip.AddrPort]bool{}, 0
		for i := range 200 {
			for _, a := range s.ProbeCandidates(now.Add(time.Duration(i)*time.Second), "k", nil, 3, time.Millisecond) {
				seen[a] = true
			}
		}
		Expect(len(seen)).To(BeNumerically("<=", 24))
		for i := range 200 {
			for _, a := range o.ProbeCandidates(now.Add(time.Duration(i)*time.Second), "k", nil, 3, time.Millisecond) {
				if seen[a] {
					shared++
				}
			}
		}
		Expect(shared).To(BeNumerically("<", 300))
	})

	It("keep large answers, but not small ones, in the data centre", func() {
		far := func(i int, v *choice.Server) {
			if i > 0 {
				v.DataCentre = "b"
			}
		}
		for size, want := range map[int64]int{90_000: 0, 100: 1} {
			s := newProbeableSet(now, 2, far)
			t := learnAnswers(s, now, 100*time.Millisecond, size)
			s.RecordProbe(t, serverAt(0), &load.Report{Slots: 6, Pace: 2})
			s.RecordProbe(t, serverAt(1), &load.Report{Slots: 6, Pace: 1})
			c, _ := s.Choose(t, "k", nil)
			Expect(c.Server()).To(Equal(serverAt(want)), "%d bytes", size)
		}
	})
})

var _ = Describe("a call in flight", func() {
	now := time.Unix(1000, 0)

	// setWithCall returns a set with known latencies, a call to server 0 and the
	// time of the call.
	setWithCall := func() (*choice.Set, choice.Call, time.Time) {
		s := newProbeableSet(now, 4, nil)
		t := learnAnswers(s, now, 160*time.Millisecond, 100)
		reportAll(s, t, 4, func(i int) float64 { return 1 + float64(i)*3 })
		c, _ := s.Choose(t, "k", nil)
		Expect(c.Server()).To(Equal(serverAt(0)))
		return s, c, t
	}

	It("is rerouted when its server became slow and another is fast", func() {
		s, c, t := setWithCall()
		t = t.Add(60 * time.Millisecond)
		tried := []netip.AddrPort{c.Server()}
		Expect(s.ShouldReroute(t, t.Add(340*time.Millisecond), c, tried)).To(BeFalse())
		s.RecordProbe(t, serverAt(0), &load.Report{Slots: 6, Running: 1, Pace: 7})
		s.RecordProbe(t, serverAt(1), &load.Report{Slots: 6, Pace: 1})
		Expect(s.ShouldReroute(t, t.Add(340*time.Millisecond), c, tried)).To(BeTrue())
	})

	It("is not rerouted when all servers are slow, or when its answer is still in time", func() {
		s, c, t := setWithCall()
		t = t.Add(60 * time.Millisecond)
		tried := []netip.AddrPort{c.Server()}
		reportAll(s, t, 4, func(int) float64 { return 7 })
		Expect(s.ShouldReroute(t, t.Add(340*time.Millisecond), c, tried)).To(BeFalse())
		s.RecordProbe(t, serverAt(1), &load.Report{Slots: 6, Pace: 1})
		Expect(s.ShouldReroute(t, t.Add(2*time.Second), c, tried)).To(BeFalse())
	})

	It("is rerouted when its server does not answer probes", func() {
		s, c, t := setWithCall()
		t = t.Add(80 * time.Millisecond)
		s.RecordProbe(t, serverAt(0), nil)
		s.RecordProbe(t, serverAt(1), &load.Report{Slots: 6, Pace: 1})
		Expect(s.ShouldReroute(t, t.Add(320*time.Millisecond), c, []netip.AddrPort{c.Server()})).To(BeTrue())
	})
})

var _ = Describe("servers that state their cold starts", func() {
	now := time.Unix(1000, 0)

	It("get no requests in cold start while others are free, and some after it", func() {
		s := newProbeableSet(now, 3, func(i int, v *choice.Server) {
			if i == 0 {
				v.ColdFor = 2 * time.Second
			}
		})
		s.Cold = unlimited{}
		t := learnAnswers(s, now, 20*time.Millisecond, 100)
		Expect(t.Sub(now)).To(BeNumerically("<", 2*time.Second))
		found := false
		for i := range 60 {
			c, _ := s.Choose(t, "k", nil)
			Expect(c.Server()).NotTo(Equal(serverAt(0)), "call %d", i)
			c.End(t, choice.Answered{Status: 200, FirstByte: 20 * time.Millisecond, Load: &load.Report{Slots: 6, Pace: 1}})
		}
		t = now.Add(2100 * time.Millisecond)
		for range 200 {
			c, _ := s.Choose(t, "k", nil)
			found = found || c.Server() == serverAt(0)
			t = t.Add(20 * time.Millisecond)
			c.End(t, choice.Answered{Status: 200, FirstByte: 20 * time.Millisecond, Load: &load.Report{Slots: 6, Pace: 1}})
		}
		Expect(found).To(BeTrue())
	})

	It("are new servers when the name at an address changes", func() {
		s := newProbeableSet(now, 2, nil)
		t := learnAnswers(s, now, 20*time.Millisecond, 100)
		s.Update(t, choice.Config{Slots: 6, ColdFor: 3 * time.Second, ColdStated: true, Probeable: true}, []choice.Server{
			{Address: serverAt(0), Name: "new", DataCentre: "a", ColdFor: 3 * time.Second},
		})
		c, ok := s.Choose(t, "k", nil)
		Expect(ok).To(BeFalse(), "server is cold and there is no allowance: %v", c)
	})
})

var _ = Describe("PermittedSenders", func() {
	It("lets a few VMs send to a cold server, together within its rate", func() {
		var vms []netip.AddrPort
		for i := range 14 {
			vms = append(vms, netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:7", i+1)))
		}
		granted, senders := 0, 0
		now := time.Unix(1000, 0)
		for _, v := range vms {
			a := &choice.PermittedSenders{
				Self:   v,
				VMs:    func() []netip.AddrPort { return vms },
				Joined: func() bool { return true },
				Rate:   func(netip.AddrPort) float64 { return 11 },
			}
			n := 0
			for i := range 1000 {
				if a.Take(now.Add(time.Duration(i)*time.Millisecond), serverAt(1)) {
					n++
				}
			}
			granted += n
			if n > 0 {
				senders++
			}
		}
		Expect(senders).To(Equal(2))
		Expect(granted).To(BeNumerically("<=", 13))
		Expect(granted).To(BeNumerically(">=", 10))
	})

	It("gives no tokens to a VM that has not joined", func() {
		a := &choice.PermittedSenders{Joined: func() bool { return false }}
		Expect(a.Take(time.Now(), serverAt(1))).To(BeFalse())
	})
})
