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
	var b *harness
	var target netip.AddrPort

	BeforeEach(func() {
		b = newHarness(4, 1)
		b.learnLatency()
		target = b.servers[1].Address
	})

	// turnCold lets the server report that it is cold.
	turnCold := func() {
		b.send(100, func(c choice.Call) {
			b.advance(baselineLatency)
			r := idleReport
			r.Cold = c.Server() == target
			b.answer(c, r)
		})
		Expect(b.dump(1).Phase).To(Equal("Cold"))
	}

	It("gets exactly the requests that the allowance permits", func() {
		turnCold()
		b.cold.tokens = 5
		got := b.send(1000, func(c choice.Call) {
			b.advance(baselineLatency)
			r := idleReport
			r.Cold = c.Server() == target
			b.answer(c, r)
		})
		Expect(got[target]).To(Equal(5))
		Expect(b.cold.taken[target]).To(Equal(5))
	})

	It("is warm after a slow start with good answers", func() {
		turnCold()
		b.cold.tokens = 1
		b.send(2, b.answerIdle)
		Expect(b.dump(1).Phase).To(Equal("Ramp"))
		Expect(b.send(8, b.answerIdle)[target]).To(BeNumerically("<=", 2))
		b.send(400, b.answerIdle)
		Expect(b.dump(1).Phase).To(Equal("Warm"))
	})

	It("stays in slow start while its answers are slow", func() {
		turnCold()
		b.cold.tokens = 1
		b.send(2, b.answerIdle)
		got := b.send(400, func(c choice.Call) {
			d := baselineLatency
			if c.Server() == target {
				d = 10 * baselineLatency
			}
			b.advance(d)
			c.End(b.now, choice.Answered{Status: 200, Load: &idleReport, FirstByte: d})
		})
		Expect(b.dump(1).Phase).To(Equal("Ramp"))
		Expect(got[target]).To(BeNumerically("<", 50))
	})

	It("is one that was added to the table or whose data centre is back in service", func() {
		b.servers = append(b.servers, choice.Server{Address: address(9), DataCentre: "b"})
		b.servers[0].Out = true
		b.update()
		Expect(b.dump(4).Phase).To(Equal("Cold"))
		b.servers[0].Out = false
		b.update()
		Expect(b.dump(0).Phase).To(Equal("Cold"))
		got := b.send(100, b.answerIdle)
		Expect(got).NotTo(HaveKey(address(9)))
		Expect(got).NotTo(HaveKey(b.servers[0].Address))
	})

	It("is one of a service that was added to the table", func() {
		b.servers = []choice.Server{{Address: address(20)}}
		n := &choice.Set{Policy: b.set.Policy, Rand: b.set.Rand, Cold: b.cold, NewService: true}
		n.Update(b.now, choice.Config{Slots: 6}, b.servers)
		_, ok := n.Choose(b.now, "", nil)
		Expect(ok).To(BeFalse())
		b.cold.tokens = 1
		_, ok = n.Choose(b.now.Add(time.Second), "", nil)
		Expect(ok).To(BeTrue())
	})

	It("stays leaving when it is missing from the VM list, until it is back in the list", func() {
		b.servers[1].Leaving = true
		b.update()
		b.servers[1].Leaving, b.servers[1].Missing = false, true
		b.update()
		b.cold.tokens = 5
		Expect(b.send(100, b.answerIdle)).NotTo(HaveKey(target))
		b.servers[1].Missing = false
		b.update()
		Expect(b.dump(1).Phase).To(Equal("Cold"))
		Expect(b.send(1, b.answerIdle)).To(HaveKey(target))
	})

	It("is suspect after a broken connection, and in slow start after an answer", func() {
		for {
			c := b.choose()
			if c.Server() == target {
				c.End(b.now, choice.Failed{})
				break
			}
			b.answerIdle(c)
		}
		Expect(b.dump(1).Phase).To(Equal("Doubt"))
		Expect(b.send(100, b.answerIdle)).NotTo(HaveKey(target))
		b.cold.tokens = 1
		b.advance(time.Second)
		Expect(b.send(1, b.answerIdle)).To(HaveKey(target))
		Expect(b.dump(1).Phase).To(Equal("Ramp"))
	})

	It("stays cold for ColdFor when it reports no load", func() {
		b.servers = append(b.servers, choice.Server{Address: address(9)})
		b.update()
		answer := func(c choice.Call) {
			b.advance(baselineLatency)
			c.End(b.now, choice.Answered{Status: 200, FirstByte: baselineLatency})
		}
		b.cold.tokens = 1
		b.send(1, answer)
		Expect(b.dump(4).Phase).To(Equal("Cold"))
		b.advance(10 * time.Second)
		b.cold.tokens = 1
		b.send(1, answer)
		Expect(b.dump(4).Phase).To(Equal("Ramp"))
	})
})

var _ = Describe("gossip between VMs", func() {
	var b *harness
	one, two := address(101), address(102)

	BeforeEach(func() {
		b = newHarness(4, 1)
		b.learnLatency()
		b.advance(time.Second)
	})

	It("sends the update that a server became cold once", func() {
		c := b.choose()
		b.answer(c, coldReport)
		Expect(b.set.TakeUpdates(b.now)).To(Equal([]choice.StateUpdate{{Server: c.Server(), State: choice.StateCold}}))
		Expect(b.set.TakeUpdates(b.now)).To(BeEmpty())
		Expect(b.set.CurrentStates(b.now)).To(HaveLen(1))
	})

	It("limits requests to a server that another VM reports as cold", func() {
		a := b.servers[2].Address
		b.set.ApplyUpdates(b.now, one, []choice.StateUpdate{{Server: a, State: choice.StateCold}})
		Expect(b.send(100, b.answerIdle)).NotTo(HaveKey(a))
	})

	It("marks a server as suspect only when two VMs report it as down", func() {
		down := []choice.StateUpdate{{Server: b.servers[2].Address, State: choice.StateDown}}
		b.set.ApplyUpdates(b.now, one, down)
		b.set.ApplyUpdates(b.now, one, down)
		Expect(b.dump(2).Phase).To(Equal("Warm"))
		b.set.ApplyUpdates(b.now, two, down)
		Expect(b.dump(2).Phase).To(Equal("Doubt"))
	})

	It("never marks more than half of the servers as suspect by reports of others", func() {
		for _, h := range b.servers {
			down := []choice.StateUpdate{{Server: h.Address, State: choice.StateDown}}
			b.set.ApplyUpdates(b.now, one, down)
			b.set.ApplyUpdates(b.now, two, down)
		}
		Expect(b.send(100, b.answerIdle)).To(HaveLen(2))
	})

	It("ignores a report that is older than an answer to this VM", func() {
		down := []choice.StateUpdate{{Server: b.servers[2].Address, State: choice.StateDown, Age: 5 * time.Second}}
		b.set.ApplyUpdates(b.now, one, down)
		b.set.ApplyUpdates(b.now, two, down)
		Expect(b.dump(2).Phase).To(Equal("Warm"))
	})

	It("is limited in rate", func() {
		b = newHarness(200, 1)
		for range 200 {
			c, ok := b.set.Choose(b.now, "", nil)
			if !ok {
				break
			}
			b.answer(c, coldReport)
		}
		Expect(len(b.set.TakeUpdates(b.now))).To(BeNumerically("<=", 32))
		b.advance(time.Second)
		Expect(len(b.set.TakeUpdates(b.now))).To(BeNumerically("<=", 4))
	})
})

// drainCheckDelay is a time after a drain announcement at which it is checked.
const drainCheckDelay = 1500 * time.Millisecond

var _ = Describe("probes", func() {
	It("are sent only to servers without other contact, within the allowance", func() {
		b := newHarness(1, 1)
		b.learnLatency()
		allowance := &countedAllowance{tokens: 1, taken: map[netip.AddrPort]int{}}
		b.set.Probes = allowance
		none := func() {
			_, ok := b.set.NextProbe(b.now)
			Expect(ok).To(BeFalse())
		}
		drains := load.Report{Slots: 6, Draining: true}
		none()
		b.answer(b.choose(), drains)
		none()
		b.advance(drainCheckDelay)
		b.answer(b.choose(), drains)
		none()
		b.advance(3 * time.Second)
		a, ok := b.set.NextProbe(b.now)
		Expect(ok).To(BeTrue())
		b.advance(3 * time.Second)
		none()
		b.set.RecordProbe(b.now, a, &load.Report{Slots: 6})
		Expect(b.dump(0).Draining).To(BeFalse())
	})
})

var _ = Describe("EqualShare", func() {
	It("gives the VM its share of the rate over time", func() {
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
