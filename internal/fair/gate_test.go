package fair_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/fair"
)

var _ = Describe("a gate", func() {
	var b *bench

	BeforeEach(func() { b = newBench() })

	It("admits at once while there is room", func() {
		for range 64 {
			Expect(b.enter("a", 1, time.Second).verdict).To(Equal(fair.Admitted{}))
		}
		Expect(b.enter("a", 1, time.Second).verdict).To(Equal(fair.Waiting{}))
	})

	// crowd keeps three workspaces waiting and lets n requests run.
	crowd := func(n int, weights map[string]float64) {
		b.narrow(4)
		for range n {
			b.now = b.now.Add(time.Millisecond)
			for _, w := range []string{"a", "b", "c"} {
				for range 3 {
					b.enter(w, weights[w], time.Second)
				}
			}
			b.leave()
		}
	}

	It("serves waiting workspaces by weight", func() {
		crowd(3000, map[string]float64{"a": 1, "b": 2, "c": 5})
		n := b.counts()
		Expect(n["a"]).To(BeNumerically("~", 375, 30))
		Expect(n["b"]).To(BeNumerically("~", 750, 50))
		Expect(n["c"]).To(BeNumerically("~", 1875, 90))
	})

	It("gives to the others what a workspace leaves", func() {
		b.narrow(4)
		for i := range 2000 {
			b.now = b.now.Add(time.Millisecond)
			b.enter("big", 1, time.Second)
			b.enter("big", 1, time.Second)
			if i%10 == 0 {
				Expect(b.enter("small", 1, time.Second).verdict).NotTo(BeAssignableToTypeOf(fair.Refused{}))
			}
			b.leave()
		}
		n := b.counts()
		Expect(n["small"]).To(BeNumerically("~", 200, 3))
		Expect(n["big"]).To(BeNumerically(">", 1750))
	})

	It("sheds first what is most over its share", func() {
		b.narrow(1)
		var hogs []*entry
		for range 100 {
			hogs = append(hogs, b.enter("hog", 1, time.Second))
		}
		e := b.enter("small", 1, time.Second)
		Expect(e.verdict).To(Equal(fair.Waiting{}))
		Expect(hogs[99].verdict).To(BeAssignableToTypeOf(fair.Refused{}))
		b.now = b.now.Add(time.Millisecond)
		b.leave()
		Expect(e.verdict).To(Equal(fair.Admitted{}))
	})

	It("refuses what waited too long, and what could not end in time", func() {
		b.narrow(1)
		b.enter("a", 1, time.Second)
		e := b.enter("a", 1, time.Second)
		Expect(b.enter("a", 1, 5*time.Millisecond).verdict).To(BeAssignableToTypeOf(fair.Refused{}))
		b.now = b.now.Add(200 * time.Millisecond)
		b.gate.Tick(b.now)
		Expect(e.verdict).To(BeAssignableToTypeOf(fair.Refused{}))
		Expect(b.gate.Waiting()).To(BeZero())
	})

	It("does not admit a request whose wait ended unnoticed", func() {
		b.narrow(1)
		b.enter("a", 1, time.Second)
		e := b.enter("a", 1, time.Second)
		b.now = b.now.Add(time.Minute)
		b.leave()
		Expect(e.verdict).To(BeAssignableToTypeOf(fair.Refused{}))
	})

	It("forgets a waiting request whose caller went away", func() {
		b.narrow(1)
		b.enter("a", 1, time.Second)
		e := b.enter("a", 1, time.Second)
		b.gate.Leave(b.now, e.ticket)
		b.gate.Leave(b.now, e.ticket)
		b.leave()
		Expect(e.resolved).To(BeZero())
		Expect(b.gate.Dump().Running).To(BeZero())
		Expect(b.gate.Waiting()).To(BeZero())
	})
})

var _ = Describe("the learned limit", func() {
	observe := func(b *bench, n int, s fair.Sample) {
		for range n {
			b.now = b.now.Add(time.Millisecond)
			b.gate.Observe(b.now, s)
		}
	}
	usual := 10 * time.Millisecond

	It("falls within a second when the servers' queues grow", func() {
		b := newBench()
		observe(b, 100, fair.Sample{Latency: usual, Reported: true, Slots: 6})
		observe(b, 1000, fair.Sample{Latency: 3 * usual, Reported: true, Queued: 12, Slots: 6})
		Expect(b.gate.Dump().Limit).To(BeNumerically("<", 8))
	})

	It("falls by latencies alone when no server reports", func() {
		b := newBench()
		observe(b, 200, fair.Sample{Latency: usual})
		observe(b, 1000, fair.Sample{Latency: 5 * usual})
		Expect(b.gate.Dump().Limit).To(BeNumerically("<", 8))
	})

	It("falls when servers shed", func() {
		b := newBench()
		observe(b, 1000, fair.Sample{Shed: true})
		Expect(b.gate.Dump().Limit).To(BeNumerically("<", 8))
	})

	It("is not moved far by one lying server of sixteen", func() {
		b := newBench()
		for range 200 {
			observe(b, 15, fair.Sample{Latency: usual, Reported: true, Slots: 6})
			observe(b, 1, fair.Sample{Latency: usual, Reported: true, Queued: 1 << 20, Slots: 1})
		}
		Expect(b.gate.Dump().Pressure).To(BeNumerically("<", 0.5))
	})

	It("grows again while it is used and the servers are not full", func() {
		b := newBench()
		b.narrow(4)
		for range 20 {
			b.enter("a", 1, time.Hour)
		}
		observe(b, 2000, fair.Sample{Latency: usual, Reported: true, Slots: 6})
		for range 20 {
			b.enter("a", 1, time.Hour)
			observe(b, 100, fair.Sample{Latency: usual, Reported: true, Slots: 6})
		}
		Expect(b.gate.Dump().Limit).To(BeNumerically(">", 8))
	})

	It("comes out equal on VMs that see the same", func() {
		a, b := newBench(), newBench()
		a.narrow(2)
		for range 3000 {
			for _, x := range []*bench{a, b} {
				x.enter("a", 1, time.Hour)
				x.enter("a", 1, time.Hour)
				observe(x, 1, fair.Sample{Latency: usual, Reported: true, Queued: 4, Slots: 6})
				x.leave()
			}
		}
		Expect(a.gate.Dump().Limit).To(BeNumerically("~", b.gate.Dump().Limit, 2))
	})
})
