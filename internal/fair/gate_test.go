package fair_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/fair"
)

var _ = Describe("a gate", func() {
	var h *harness

	BeforeEach(func() { h = newHarness() })

	It("admits at once below the limit", func() {
		for range 64 {
			Expect(h.enter("a", 1, time.Second).decision).To(Equal(fair.Admitted{}))
		}
		Expect(h.enter("a", 1, time.Second).decision).To(Equal(fair.Waiting{}))
	})

	// saturate keeps requests of three workspaces waiting while n requests end.
	saturate := func(n int, weights map[string]float64) {
		h.lowerLimit(4)
		for range n {
			h.now = h.now.Add(time.Millisecond)
			for _, w := range []string{"a", "b", "c"} {
				for range 3 {
					h.enter(w, weights[w], time.Second)
				}
			}
			h.leave()
		}
	}

	It("admits waiting requests in proportion to the workspaces' weights", func() {
		saturate(3000, map[string]float64{"a": 1, "b": 2, "c": 5})
		n := h.countAdmitted()
		Expect(n["a"]).To(BeNumerically("~", 375, 30))
		Expect(n["b"]).To(BeNumerically("~", 750, 50))
		Expect(n["c"]).To(BeNumerically("~", 1875, 90))
	})

	It("gives a workspace's unused share to the others", func() {
		h.lowerLimit(4)
		for i := range 2000 {
			h.now = h.now.Add(time.Millisecond)
			h.enter("big", 1, time.Second)
			h.enter("big", 1, time.Second)
			if i%10 == 0 {
				Expect(h.enter("small", 1, time.Second).decision).NotTo(BeAssignableToTypeOf(fair.Refused{}))
			}
			h.leave()
		}
		n := h.countAdmitted()
		Expect(n["small"]).To(BeNumerically("~", 200, 3))
		Expect(n["big"]).To(BeNumerically(">", 1750))
	})

	It("refuses the latest request of the workspace furthest over its share when the queues are full", func() {
		h.lowerLimit(1)
		var heavy []*entry
		for range 100 {
			heavy = append(heavy, h.enter("heavy", 1, time.Second))
		}
		e := h.enter("small", 1, time.Second)
		Expect(e.decision).To(Equal(fair.Waiting{}))
		Expect(heavy[99].decision).To(BeAssignableToTypeOf(fair.Refused{}))
		h.now = h.now.Add(time.Millisecond)
		h.leave()
		Expect(e.decision).To(Equal(fair.Admitted{}))
	})

	It("refuses requests that waited too long or can't end before their deadline", func() {
		h.lowerLimit(1)
		h.enter("a", 1, time.Second)
		e := h.enter("a", 1, time.Second)
		Expect(h.enter("a", 1, 5*time.Millisecond).decision).To(BeAssignableToTypeOf(fair.Refused{}))
		h.now = h.now.Add(200 * time.Millisecond)
		h.gate.Tick(h.now)
		Expect(e.decision).To(BeAssignableToTypeOf(fair.Refused{}))
		Expect(h.gate.Waiting()).To(BeZero())
	})

	It("does not admit a request whose wait timed out between ticks", func() {
		h.lowerLimit(1)
		h.enter("a", 1, time.Second)
		e := h.enter("a", 1, time.Second)
		h.now = h.now.Add(time.Minute)
		h.leave()
		Expect(e.decision).To(BeAssignableToTypeOf(fair.Refused{}))
	})

	It("removes a waiting request that is withdrawn", func() {
		h.lowerLimit(1)
		h.enter("a", 1, time.Second)
		e := h.enter("a", 1, time.Second)
		h.gate.Leave(h.now, e.ticket)
		h.gate.Leave(h.now, e.ticket)
		h.leave()
		Expect(e.notified).To(BeZero())
		Expect(h.gate.Dump().Running).To(BeZero())
		Expect(h.gate.Waiting()).To(BeZero())
	})
})

var _ = Describe("the concurrency limit", func() {
	observe := func(h *harness, n int, s fair.Sample) {
		for range n {
			h.now = h.now.Add(time.Millisecond)
			h.gate.Observe(h.now, s)
		}
	}
	baseline := 10 * time.Millisecond

	It("falls within a second when the servers' queues grow", func() {
		h := newHarness()
		observe(h, 100, fair.Sample{Latency: baseline, Reported: true, Slots: 6})
		observe(h, 1000, fair.Sample{Latency: 3 * baseline, Reported: true, Queued: 12, Slots: 6})
		Expect(h.gate.Dump().Limit).To(BeNumerically("<", 8))
	})

	It("falls by latencies alone without load reports", func() {
		h := newHarness()
		observe(h, 200, fair.Sample{Latency: baseline})
		observe(h, 1000, fair.Sample{Latency: 5 * baseline})
		Expect(h.gate.Dump().Limit).To(BeNumerically("<", 8))
	})

	It("falls when servers shed requests", func() {
		h := newHarness()
		observe(h, 1000, fair.Sample{Shed: true})
		Expect(h.gate.Dump().Limit).To(BeNumerically("<", 8))
	})

	It("is hardly affected by false reports of one server in sixteen", func() {
		h := newHarness()
		for range 200 {
			observe(h, 15, fair.Sample{Latency: baseline, Reported: true, Slots: 6})
			observe(h, 1, fair.Sample{Latency: baseline, Reported: true, Queued: 1 << 20, Slots: 1})
		}
		Expect(h.gate.Dump().Pressure).To(BeNumerically("<", 0.5))
	})

	It("grows again while it is in use and the servers are not full", func() {
		h := newHarness()
		h.lowerLimit(4)
		for range 20 {
			h.enter("a", 1, time.Hour)
		}
		observe(h, 2000, fair.Sample{Latency: baseline, Reported: true, Slots: 6})
		for range 20 {
			h.enter("a", 1, time.Hour)
			observe(h, 100, fair.Sample{Latency: baseline, Reported: true, Slots: 6})
		}
		Expect(h.gate.Dump().Limit).To(BeNumerically(">", 8))
	})

	It("converges on VMs that see the same load", func() {
		a, b := newHarness(), newHarness()
		a.lowerLimit(2)
		for range 3000 {
			for _, x := range []*harness{a, b} {
				x.enter("a", 1, time.Hour)
				x.enter("a", 1, time.Hour)
				observe(x, 1, fair.Sample{Latency: baseline, Reported: true, Queued: 4, Slots: 6})
				x.leave()
			}
		}
		Expect(a.gate.Dump().Limit).To(BeNumerically("~", b.gate.Dump().Limit, 2))
	})
})
