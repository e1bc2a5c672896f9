package choice_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

var _ = Describe("the Informed policy", func() {
	var b *harness

	BeforeEach(func() {
		b = newHarness(8, 1)
		b.learnLatency()
	})

	It("avoids a server within milliseconds of a late request", func() {
		c := b.choose()
		b.advance(4 * baselineLatency)
		for range 200 {
			d := b.choose()
			Expect(d.Server()).NotTo(Equal(c.Server()))
			b.advance(time.Millisecond)
			b.answer(d, idleReport)
		}
	})

	It("uses a slow server again without a burst of requests", func() {
		c := b.choose()
		b.advance(20 * baselineLatency)
		c.End(b.now, choice.TimedOut{})
		Expect(b.send(20, b.answerIdle)[c.Server()]).To(BeZero())
		got := b.send(3000, b.answerIdle)
		Expect(got[c.Server()]).To(BeNumerically(">", 0))
		Expect(got[c.Server()]).To(BeNumerically("<=", 3000/8))
	})

	It("sends few requests to a server that fails fast", func() {
		bad := b.servers[3].Address
		got := b.send(5000, func(c choice.Call) {
			if c.Server() != bad {
				b.answerIdle(c)
				return
			}
			b.advance(100 * time.Microsecond)
			c.End(b.now, choice.Answered{Status: 500, Load: &load.Report{Slots: 6}, FirstByte: time.Millisecond / 10})
		})
		Expect(got[bad]).To(BeNumerically("<", 40))
		Expect(got[bad]).To(BeNumerically(">", 2))
	})

	It("treats failures of all servers as overload, and uses all of them", func() {
		got := b.send(800, func(c choice.Call) {
			b.advance(time.Millisecond)
			c.End(b.now, choice.Answered{Status: 503})
		})
		Expect(got).To(HaveLen(8))
		Expect(b.set.Dump().AllSuspect).To(BeNumerically(">", 0))
	})

	It("does not prefer a server whose idle report is stale", func() {
		got := b.send(2000, func(c choice.Call) {
			r := load.Report{Running: 6, Queued: 6, Slots: 6}
			if c.Server() == b.servers[0].Address {
				r = load.Report{Slots: 6}
			}
			b.advance(baselineLatency)
			b.answer(c, r)
			b.advance(time.Second)
		})
		Expect(got[b.servers[0].Address]).To(BeNumerically("<", 2*2000/8))
	})

	It("prefers a server with a fresh idle report to those with fresh full ones", func() {
		full := load.Report{Running: 6, Queued: 12, Slots: 6}
		got := b.send(200, func(c choice.Call) {
			b.advance(time.Millisecond)
			r := full
			if c.Server() == b.servers[2].Address {
				r = idleReport
			}
			b.answer(c, r)
		})
		Expect(got[b.servers[2].Address]).To(BeNumerically(">", 150))
	})

	It("weighs its own calls in flight against an idle report", func() {
		b.send(100, func(c choice.Call) {
			b.advance(baselineLatency)
			r := load.Report{Running: 4, Slots: 6}
			if c.Server() == b.servers[1].Address {
				r.Running = 0
			}
			b.answer(c, r)
		})
		got := b.send(64, func(choice.Call) {})
		Expect(got[b.servers[1].Address]).To(BeNumerically("<=", 12))
	})

	It("never chooses a server that is out or leaving, even if no other is left", func() {
		for i := range b.servers {
			b.servers[i].Out = i%2 == 0
			b.servers[i].Leaving = i%2 == 1
		}
		b.update()
		_, ok := b.set.Choose(b.now, "", nil)
		Expect(ok).To(BeFalse())
		Expect(b.set.Dump().NoServer).To(Equal(uint64(1)))
	})

	It("keeps choosing when all servers are missing from the VM list", func() {
		for i := range b.servers {
			b.servers[i].Missing = true
		}
		b.update()
		b.advance(time.Minute)
		Expect(b.send(64, func(choice.Call) {})).To(HaveLen(8))
	})

	It("checks a drain announcement once, and then relies on it", func() {
		draining := b.servers[4].Address
		drains := func(c choice.Call) {
			b.advance(baselineLatency)
			b.answer(c, load.Report{Running: 1, Slots: 6, Draining: c.Server() == draining})
		}
		b.send(50, drains)
		Expect(b.dump(4).Draining).To(BeTrue())
		Expect(b.send(150, drains)[draining]).To(Equal(1))
		Expect(b.send(30000, drains)).NotTo(HaveKey(draining))
	})

	It("does not check a gossiped drain announcement after two seconds", func() {
		draining := b.servers[4].Address
		b.set.ApplyUpdates(b.now, address(101), []choice.StateUpdate{{Server: draining, State: choice.StateDraining}})
		b.advance(2 * time.Second)
		Expect(b.send(1000, b.answerIdle)).NotTo(HaveKey(draining))
		b.set.ApplyUpdates(b.now, address(101), []choice.StateUpdate{{Server: draining, State: choice.StateBack}})
		Expect(b.send(1000, b.answerIdle)).To(HaveKey(draining))
	})

	It("marks a server as suspect when its drain announcement expires", func() {
		b.set.ApplyUpdates(b.now, address(101), []choice.StateUpdate{{Server: b.servers[4].Address, State: choice.StateDraining}})
		b.advance(10 * time.Minute)
		Expect(b.send(100, b.answerIdle)).NotTo(HaveKey(b.servers[4].Address))
		Expect(b.dump(4).Phase).To(Equal("Doubt"))
		b.cold.tokens = 1
		Expect(b.send(1, b.answerIdle)).To(HaveKey(b.servers[4].Address))
	})

	It("does not check a reported drain announcement after a few seconds", func() {
		draining := b.servers[4].Address
		b.send(100, func(c choice.Call) {
			b.answer(c, load.Report{Running: 1, Slots: 6, Draining: c.Server() == draining})
		})
		b.advance(5 * time.Second)
		Expect(b.send(400, func(c choice.Call) { b.answer(c, load.Report{Running: 1, Slots: 6}) })).NotTo(HaveKey(draining))
	})

	It("keeps choosing when all servers are draining", func() {
		got := b.send(400, func(c choice.Call) {
			b.advance(baselineLatency)
			b.answer(c, load.Report{Running: 1, Slots: 6, Draining: true})
		})
		Expect(got).To(HaveLen(8))
	})

	It("does not choose a server that was tried", func() {
		var tried []netip.AddrPort
		for range b.servers {
			c, ok := b.set.Choose(b.now, "", tried)
			Expect(ok).To(BeTrue())
			Expect(tried).NotTo(ContainElement(c.Server()))
			tried = append(tried, c.Server())
		}
		_, ok := b.set.Choose(b.now, "", tried)
		Expect(ok).To(BeFalse())
	})

	It("records only the first outcome of a call", func() {
		c := b.choose()
		c.End(b.now, choice.Cancelled{})
		c.End(b.now, choice.Failed{})
		for _, d := range b.set.Dump().Servers {
			Expect(d.InFlight).To(BeZero())
			Expect(d.Failures).To(BeZero())
		}
	})

	It("does not let sixteen VMs choose the same server at once", func() {
		counts := map[netip.AddrPort]int{}
		for i := range 16 {
			v := newHarness(8, uint64(i+2))
			v.learnLatency()
			counts[v.choose().Server()]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("<=", 6))
		}
	})

	It("prefers the nearer data centre while its servers are as free", func() {
		for i := range b.servers {
			if i >= 4 {
				b.servers[i].DataCentre = "b"
			}
		}
		b.update()
		answerByDistance := func(c choice.Call) {
			d := baselineLatency
			if c.Server().Addr().As4()[3] >= 4 {
				d += 3 * time.Millisecond
			}
			b.advance(d)
			c.End(b.now, choice.Answered{Status: 200, Load: &idleReport, FirstByte: d})
		}
		b.send(1000, answerByDistance)
		near := 0
		for a, n := range b.send(1000, answerByDistance) {
			if a.Addr().As4()[3] < 4 {
				near += n
			}
		}
		Expect(near).To(BeNumerically(">", 800))
	})
})
