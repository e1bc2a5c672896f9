package choice_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

var coldReport = load.Report{Running: 1, Slots: 6, Cold: true}

var _ = Describe("a server in cold start", func() {
	var b *bench
	var bad netip.AddrPort

	BeforeEach(func() {
		b = newBench(4, 1)
		b.warmUp()
		bad = b.hosts[1].Address
	})

	// turnCold lets the server say once that it is cold.
	turnCold := func() {
		b.spread(100, func(c choice.Call) {
			b.pass(usual)
			r := idle
			r.Cold = c.Server() == bad
			b.good(c, r)
		})
		Expect(b.dump(1).Phase).To(Equal("Cold"))
	}

	It("gets exactly what the allowance gives", func() {
		turnCold()
		b.cold.left = 5
		got := b.spread(1000, func(c choice.Call) {
			b.pass(usual)
			r := idle
			r.Cold = c.Server() == bad
			b.good(c, r)
		})
		Expect(got[bad]).To(Equal(5))
		Expect(b.cold.taken[bad]).To(Equal(5))
	})

	It("rises by its answers once it is warm", func() {
		turnCold()
		b.cold.left = 1
		b.spread(2, b.answerIdle)
		Expect(b.dump(1).Phase).To(Equal("Ramp"))
		Expect(b.spread(8, b.answerIdle)[bad]).To(BeNumerically("<=", 2))
		b.spread(400, b.answerIdle)
		Expect(b.dump(1).Phase).To(Equal("Warm"))
	})

	It("does not rise while its answers are slow", func() {
		turnCold()
		b.cold.left = 1
		b.spread(2, b.answerIdle)
		got := b.spread(400, func(c choice.Call) {
			d := usual
			if c.Server() == bad {
				d = 10 * usual
			}
			b.pass(d)
			c.End(b.now, choice.Answered{Status: 200, Load: &idle, FirstByte: d})
		})
		Expect(b.dump(1).Phase).To(Equal("Ramp"))
		Expect(got[bad]).To(BeNumerically("<", 50))
	})

	It("is new in the table, or back in its data centre", func() {
		b.hosts = append(b.hosts, choice.Server{Address: address(9), DataCentre: "b"})
		b.hosts[0].Out = true
		b.update()
		Expect(b.dump(4).Phase).To(Equal("Cold"))
		b.hosts[0].Out = false
		b.update()
		Expect(b.dump(0).Phase).To(Equal("Cold"))
		got := b.spread(100, b.answerIdle)
		Expect(got).NotTo(HaveKey(address(9)))
		Expect(got).NotTo(HaveKey(b.hosts[0].Address))
	})

	It("belongs to a service that is new in the table", func() {
		b.hosts = []choice.Server{{Address: address(20)}}
		n := &choice.Set{Policy: b.set.Policy, Rand: b.set.Rand, Cold: b.cold, NewService: true}
		n.Update(b.now, choice.Config{Slots: 6}, b.hosts)
		_, ok := n.Choose(b.now, "", nil)
		Expect(ok).To(BeFalse())
		b.cold.left = 1
		_, ok = n.Choose(b.now.Add(time.Second), "", nil)
		Expect(ok).To(BeTrue())
	})

	It("stays leaving when the list drops it, until the list shows it again", func() {
		b.hosts[1].Leaving = true
		b.update()
		b.hosts[1].Leaving, b.hosts[1].Missing = false, true
		b.update()
		b.cold.left = 5
		Expect(b.spread(100, b.answerIdle)).NotTo(HaveKey(bad))
		b.hosts[1].Missing = false
		b.update()
		Expect(b.dump(1).Phase).To(Equal("Cold"))
		Expect(b.spread(1, b.answerIdle)).To(HaveKey(bad))
	})

	It("is in doubt after a broken connection, and back after an answer", func() {
		for {
			c := b.choose()
			if c.Server() == bad {
				c.End(b.now, choice.Failed{})
				break
			}
			b.answerIdle(c)
		}
		Expect(b.dump(1).Phase).To(Equal("Doubt"))
		Expect(b.spread(100, b.answerIdle)).NotTo(HaveKey(bad))
		b.cold.left = 1
		b.pass(time.Second)
		Expect(b.spread(1, b.answerIdle)).To(HaveKey(bad))
		Expect(b.dump(1).Phase).To(Equal("Ramp"))
	})

	It("stays cold for ColdFor when it reports no load", func() {
		b.hosts = append(b.hosts, choice.Server{Address: address(9)})
		b.update()
		answer := func(c choice.Call) {
			b.pass(usual)
			c.End(b.now, choice.Answered{Status: 200, FirstByte: usual})
		}
		b.cold.left = 1
		b.spread(1, answer)
		Expect(b.dump(4).Phase).To(Equal("Cold"))
		b.pass(10 * time.Second)
		b.cold.left = 1
		b.spread(1, answer)
		Expect(b.dump(4).Phase).To(Equal("Ramp"))
	})
})

var _ = Describe("news between VMs", func() {
	var b *bench
	one, two := address(101), address(102)

	BeforeEach(func() {
		b = newBench(4, 1)
		b.warmUp()
		b.pass(time.Second)
	})

	It("tells once of a server that turned cold", func() {
		c := b.choose()
		b.good(c, coldReport)
		Expect(b.set.TakeUpdates(b.now)).To(Equal([]choice.StateUpdate{{Server: c.Server(), State: choice.StateCold}}))
		Expect(b.set.TakeUpdates(b.now)).To(BeEmpty())
		Expect(b.set.CurrentStates(b.now)).To(HaveLen(1))
	})

	It("bounds a server that another VM found cold", func() {
		a := b.hosts[2].Address
		b.set.ApplyUpdates(b.now, one, []choice.StateUpdate{{Server: a, State: choice.StateCold}})
		Expect(b.spread(100, b.answerIdle)).NotTo(HaveKey(a))
	})

	It("needs two VMs to believe that a server is down", func() {
		down := []choice.StateUpdate{{Server: b.hosts[2].Address, State: choice.StateDown}}
		b.set.ApplyUpdates(b.now, one, down)
		b.set.ApplyUpdates(b.now, one, down)
		Expect(b.dump(2).Phase).To(Equal("Warm"))
		b.set.ApplyUpdates(b.now, two, down)
		Expect(b.dump(2).Phase).To(Equal("Doubt"))
	})

	It("never puts more than half of the servers in doubt by hearsay", func() {
		for _, h := range b.hosts {
			down := []choice.StateUpdate{{Server: h.Address, State: choice.StateDown}}
			b.set.ApplyUpdates(b.now, one, down)
			b.set.ApplyUpdates(b.now, two, down)
		}
		Expect(b.spread(100, b.answerIdle)).To(HaveLen(2))
	})

	It("lets an own later answer outrank it", func() {
		down := []choice.StateUpdate{{Server: b.hosts[2].Address, State: choice.StateDown, Age: 5 * time.Second}}
		b.set.ApplyUpdates(b.now, one, down)
		b.set.ApplyUpdates(b.now, two, down)
		Expect(b.dump(2).Phase).To(Equal("Warm"))
	})

	It("is bounded", func() {
		b = newBench(200, 1)
		for range 200 {
			c, ok := b.set.Choose(b.now, "", nil)
			if !ok {
				break
			}
			b.good(c, coldReport)
		}
		Expect(len(b.set.TakeUpdates(b.now))).To(BeNumerically("<=", 32))
		b.pass(time.Second)
		Expect(len(b.set.TakeUpdates(b.now))).To(BeNumerically("<=", 4))
	})
})

// drainTrial is when a word of draining is checked.
const drainTrial = 1500 * time.Millisecond

var _ = Describe("probes", func() {
	It("go only where nothing else tells, within the budget", func() {
		b := newBench(1, 1)
		b.warmUp()
		budget := &bucket{left: 1, taken: map[netip.AddrPort]int{}}
		b.set.Probes = budget
		none := func() {
			_, ok := b.set.NextProbe(b.now)
			Expect(ok).To(BeFalse())
		}
		drains := load.Report{Slots: 6, Draining: true}
		none()
		b.good(b.choose(), drains)
		none()
		b.pass(drainTrial)
		b.good(b.choose(), drains)
		none()
		b.pass(3 * time.Second)
		a, ok := b.set.NextProbe(b.now)
		Expect(ok).To(BeTrue())
		b.pass(3 * time.Second)
		none()
		b.set.RecordProbe(b.now, a, &load.Report{Slots: 6})
		Expect(b.dump(0).Draining).To(BeFalse())
	})
})

var _ = Describe("a VM's equal part", func() {
	It("gives its part of the rate over time", func() {
		l := &choice.EqualShare{Rand: rand.New(rand.NewPCG(1, 1))}
		l.Set(16, 16)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		n := 0
		for range 10000 {
			now = now.Add(10 * time.Millisecond)
			if l.Take(now, address(1)) {
				n++
			}
		}
		Expect(n).To(BeNumerically("~", 100, 1))
	})
})
