package choice_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

var _ = Describe("the informed choice", func() {
	var b *bench

	BeforeEach(func() {
		b = newBench(8, 1)
		b.warmUp()
	})

	It("leaves a server within milliseconds of late requests", func() {
		c := b.choose()
		b.pass(4 * usual)
		for range 200 {
			d := b.choose()
			Expect(d.Server()).NotTo(Equal(c.Server()))
			b.pass(time.Millisecond)
			b.good(d, idle)
		}
	})

	It("finds a slow server again without a burst", func() {
		c := b.choose()
		b.pass(20 * usual)
		c.End(b.now, choice.TimedOut{})
		Expect(b.spread(20, b.answerIdle)[c.Server()]).To(BeZero())
		got := b.spread(3000, b.answerIdle)
		Expect(got[c.Server()]).To(BeNumerically(">", 0))
		Expect(got[c.Server()]).To(BeNumerically("<=", 3000/8))
	})

	It("gives little to a server that fails fast", func() {
		bad := b.hosts[3].Address
		got := b.spread(5000, func(c choice.Call) {
			if c.Server() != bad {
				b.answerIdle(c)
				return
			}
			b.pass(100 * time.Microsecond)
			c.End(b.now, choice.Answered{Status: 500, Load: &load.Report{Slots: 6}, FirstByte: time.Millisecond / 10})
		})
		Expect(got[bad]).To(BeNumerically("<", 40))
		Expect(got[bad]).To(BeNumerically(">", 2))
	})

	It("takes failures of all servers as overload, not as faults of each", func() {
		got := b.spread(800, func(c choice.Call) {
			b.pass(time.Millisecond)
			c.End(b.now, choice.Answered{Status: 503})
		})
		Expect(got).To(HaveLen(8))
		Expect(b.set.Dump().AllSuspect).To(BeNumerically(">", 0))
	})

	It("lets knowledge fade to unknown, not to idle", func() {
		got := b.spread(2000, func(c choice.Call) {
			r := load.Report{Running: 6, Queued: 6, Slots: 6}
			if c.Server() == b.hosts[0].Address {
				r = load.Report{Slots: 6}
			}
			b.pass(usual)
			b.good(c, r)
			b.pass(time.Second)
		})
		Expect(got[b.hosts[0].Address]).To(BeNumerically("<", 2*2000/8))
	})

	It("prefers a fresh idle report to a fresh full one", func() {
		full := load.Report{Running: 6, Queued: 12, Slots: 6}
		got := b.spread(200, func(c choice.Call) {
			b.pass(time.Millisecond)
			r := full
			if c.Server() == b.hosts[2].Address {
				r = idle
			}
			b.good(c, r)
		})
		Expect(got[b.hosts[2].Address]).To(BeNumerically(">", 150))
	})

	It("does not believe an idle report against its own calls", func() {
		b.spread(100, func(c choice.Call) {
			b.pass(usual)
			r := load.Report{Running: 4, Slots: 6}
			if c.Server() == b.hosts[1].Address {
				r.Running = 0
			}
			b.good(c, r)
		})
		got := b.spread(64, func(choice.Call) {})
		Expect(got[b.hosts[1].Address]).To(BeNumerically("<=", 12))
	})

	It("never gives work to a server that is out or leaving, even as the last", func() {
		for i := range b.hosts {
			b.hosts[i].Out = i%2 == 0
			b.hosts[i].Leaving = i%2 == 1
		}
		b.update()
		_, ok := b.set.Choose(b.now, "", nil)
		Expect(ok).To(BeFalse())
		Expect(b.set.Dump().NoServer).To(Equal(uint64(1)))
	})

	It("serves on when the list shows no server", func() {
		for i := range b.hosts {
			b.hosts[i].Missing = true
		}
		b.update()
		b.pass(time.Minute)
		Expect(b.spread(64, func(choice.Call) {})).To(HaveLen(8))
	})

	It("checks a word of draining once, and then believes it", func() {
		bad := b.hosts[4].Address
		drains := func(c choice.Call) {
			b.pass(usual)
			b.good(c, load.Report{Running: 1, Slots: 6, Draining: c.Server() == bad})
		}
		b.spread(50, drains)
		Expect(b.dump(4).Draining).To(BeTrue())
		Expect(b.spread(150, drains)[bad]).To(Equal(1))
		Expect(b.spread(30000, drains)).NotTo(HaveKey(bad))
	})

	It("does not check a word of draining later than within two seconds", func() {
		bad := b.hosts[4].Address
		b.set.ApplyUpdates(b.now, address(101), []choice.StateUpdate{{Server: bad, State: choice.StateDraining}})
		b.pass(2 * time.Second)
		Expect(b.spread(1000, b.answerIdle)).NotTo(HaveKey(bad))
		b.set.ApplyUpdates(b.now, address(101), []choice.StateUpdate{{Server: bad, State: choice.StateBack}})
		Expect(b.spread(1000, b.answerIdle)).To(HaveKey(bad))
	})

	It("takes a server that drained long ago as in doubt", func() {
		b.set.ApplyUpdates(b.now, address(101), []choice.StateUpdate{{Server: b.hosts[4].Address, State: choice.StateDraining}})
		b.pass(10 * time.Minute)
		Expect(b.spread(100, b.answerIdle)).NotTo(HaveKey(b.hosts[4].Address))
		Expect(b.dump(4).Phase).To(Equal("Doubt"))
		b.cold.left = 1
		Expect(b.spread(1, b.answerIdle)).To(HaveKey(b.hosts[4].Address))
	})

	It("checks no word of draining later than a few seconds after it", func() {
		bad := b.hosts[4].Address
		b.spread(100, func(c choice.Call) {
			b.good(c, load.Report{Running: 1, Slots: 6, Draining: c.Server() == bad})
		})
		b.pass(5 * time.Second)
		Expect(b.spread(400, func(c choice.Call) { b.good(c, load.Report{Running: 1, Slots: 6}) })).NotTo(HaveKey(bad))
	})

	It("still serves when every server says that it drains", func() {
		got := b.spread(400, func(c choice.Call) {
			b.pass(usual)
			b.good(c, load.Report{Running: 1, Slots: 6, Draining: true})
		})
		Expect(got).To(HaveLen(8))
	})

	It("does not choose a server that was tried", func() {
		var tried []netip.AddrPort
		for range b.hosts {
			c, ok := b.set.Choose(b.now, "", tried)
			Expect(ok).To(BeTrue())
			Expect(tried).NotTo(ContainElement(c.Server()))
			tried = append(tried, c.Server())
		}
		_, ok := b.set.Choose(b.now, "", tried)
		Expect(ok).To(BeFalse())
	})

	It("counts a call once", func() {
		c := b.choose()
		c.End(b.now, choice.Cancelled{})
		c.End(b.now, choice.Failed{})
		for _, d := range b.set.Dump().Servers {
			Expect(d.InFlight).To(BeZero())
			Expect(d.Failures).To(BeZero())
		}
	})

	It("does not make a herd of sixteen VMs", func() {
		counts := map[netip.AddrPort]int{}
		for i := range 16 {
			v := newBench(8, uint64(i+2))
			v.warmUp()
			counts[v.choose().Server()]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("<=", 6))
		}
	})

	It("sends far requests near while the near servers are as free", func() {
		for i := range b.hosts {
			if i >= 4 {
				b.hosts[i].DataCentre = "b"
			}
		}
		b.update()
		far := func(c choice.Call) {
			d := usual
			if c.Server().Addr().As4()[3] >= 4 {
				d += 3 * time.Millisecond
			}
			b.pass(d)
			c.End(b.now, choice.Answered{Status: 200, Load: &idle, FirstByte: d})
		}
		b.spread(1000, far)
		near := 0
		for a, n := range b.spread(1000, far) {
			if a.Addr().As4()[3] < 4 {
				near += n
			}
		}
		Expect(near).To(BeNumerically(">", 800))
	})
})
