package choice_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/choice"
)

// Guards against requests and probes to a server that said itself that it leaves, or
// that asked this VM for a pause.
var _ = Describe("A server's notice", func() {
	noted := address(1)

	// notedHarness returns n servers of which noted gave a notice with its answer.
	notedHarness := func(n int, notice choice.Notice) *harness {
		b := newHarness(n, 1)
		b.learnLatency()
		for {
			c := b.choose()
			if c.Server() == noted {
				c.Record(b.now, notice)
				b.answer(c, idleReport)
				return b
			}
			b.answer(c, idleReport)
		}
	}
	// wantsNoRequests reports whether the notice is in force.
	wantsNoRequests := func(b *harness) bool {
		for _, d := range b.set.Dump().Servers {
			if d.Address == noted {
				return d.Leaving || d.PauseLeft > 0
			}
		}
		return false
	}
	sendAll := func(b *harness) map[netip.AddrPort]int {
		return b.send(200, func(c choice.Call) {
			b.advance(time.Millisecond)
			b.answer(c, idleReport)
		})
	}

	It("that it leaves ends requests to it at once and for good", func() {
		b := notedHarness(3, choice.Notice{Leaving: true})
		Expect(sendAll(b)).NotTo(HaveKey(noted))
		b.advance(time.Hour)
		b.update()
		Expect(sendAll(b)).NotTo(HaveKey(noted))
	})

	It("that asks for a pause ends requests to it until the pause is over", func() {
		b := notedHarness(3, choice.Notice{Pause: 2500 * time.Millisecond})
		Expect(sendAll(b)).NotTo(HaveKey(noted))
		b.advance(2100 * time.Millisecond)
		b.update()
		Expect(sendAll(b)).NotTo(HaveKey(noted))
		b.advance(300 * time.Millisecond)
		Expect(sendAll(b)).To(HaveKey(noted))
	})

	It("is not shortened by a later, shorter pause", func() {
		b := notedHarness(3, choice.Notice{Pause: 5 * time.Second})
		b.set.RecordProbeNotice(b.now, noted, "", choice.Notice{Pause: time.Second})
		b.advance(2 * time.Second)
		Expect(sendAll(b)).NotTo(HaveKey(noted))
	})

	It("tells callers when the first pause ends if all servers pause", func() {
		b := notedHarness(2, choice.Notice{Pause: 3 * time.Second})
		b.set.RecordProbeNotice(b.now, address(0), "", choice.Notice{Pause: 2 * time.Second})
		_, err := b.set.Admit(b.now, choice.Request{})
		Expect(err).To(Equal(&choice.SaturatedError{Expected: 2 * time.Second, RetryAfter: 2 * time.Second}))
		_, err = b.set.Admit(b.now, choice.Request{Tried: []netip.AddrPort{address(0)}})
		Expect(err).To(Equal(&choice.SaturatedError{Expected: 3 * time.Second, RetryAfter: 3 * time.Second}))
	})

	It("that it leaves leaves no server if there is no other", func() {
		b := notedHarness(2, choice.Notice{Leaving: true})
		b.set.RecordProbeNotice(b.now, address(0), "", choice.Notice{Leaving: true})
		_, err := b.set.Admit(b.now, choice.Request{})
		Expect(err).To(Equal(choice.ErrNoServer))
	})

	It("ends probes of it", func() {
		for _, n := range []choice.Notice{{Leaving: true}, {Pause: time.Minute}} {
			b := notedHarness(2, n)
			b.advance(10 * time.Second)
			Expect(b.set.ProbeCandidates(b.now, "", nil, 3, time.Millisecond)).NotTo(ContainElement(noted))
			Expect(b.set.ReportOlderThan(b.now, noted, time.Millisecond)).To(BeFalse())
			Expect(wantsNoRequests(b)).To(BeTrue())
		}
	})

	It("ends with that run of the server", func() {
		b := notedHarness(3, choice.Notice{Leaving: true})
		b.servers[1].Name = "next"
		b.update()
		Expect(wantsNoRequests(b)).To(BeFalse())

		b.servers[1].Born = b.now
		b.update()
		b.set.RecordProbeNotice(b.now, noted, "next", choice.Notice{Leaving: true})
		Expect(wantsNoRequests(b)).To(BeTrue())
		b.servers[1].Born = b.now.Add(time.Second)
		b.update()
		Expect(wantsNoRequests(b)).To(BeFalse())
	})

	It("of a probe is ignored if it is from another run at the address", func() {
		b := newHarness(3, 1)
		b.servers[1].Name = "i-2"
		b.update()
		b.set.RecordProbeNotice(b.now, noted, "i-1", choice.Notice{Leaving: true})
		Expect(wantsNoRequests(b)).To(BeFalse())
	})

	It("is remembered while the table lacks the server", func() {
		b := notedHarness(3, choice.Notice{Leaving: true})
		all := b.servers
		b.servers = []choice.Server{all[0], all[2]}
		b.update()
		b.advance(10 * time.Second)
		b.servers = all
		b.update()
		Expect(wantsNoRequests(b)).To(BeTrue())
	})
})
