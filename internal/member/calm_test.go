package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// until runs the world until f holds, and returns how long that took.
func (w *world) until(most time.Duration, f func() bool) time.Duration {
	begin := w.now
	for w.now < begin+most {
		Expect(w.advance()).To(Succeed())
		if f() {
			return w.now - begin
		}
	}
	Fail("not reached within " + most.String())
	return 0
}

func (w *world) whole() bool { return w.sum > 0.999 }

// least runs the world and returns the smallest sum of usable parts.
func (w *world) least(d time.Duration) float64 {
	l := 1.0
	for end := w.now + d; w.now < end; {
		Expect(w.advance()).To(Succeed())
		l = min(l, w.sum)
	}
	return l
}

// grown returns a world of n VMs in which all have their share.
func grown(n, sides int) *world {
	w := newWorld(uint64(n), n, sides)
	w.until(10*time.Second, w.whole)
	Expect(w.run(20 * time.Second)).To(Succeed())
	return w
}

var _ = Describe("Node", func() {
	It("gets a share within seconds when the fleet starts together", func() {
		for _, n := range []int{1, 2, 3, 16} {
			w := newWorld(uint64(n), n, 1)
			w.until(10*time.Second, w.whole)
		}
	})

	It("hands its part over with a planned stop", func() {
		w := grown(16, 1)
		w.loss = 0
		w.leave(w.vms[3], fault{Kind: stopSame, Length: time.Minute})
		w.until(5*time.Second, w.whole)
	})

	It("has its part back soon after a crash and a new start at the same address", func() {
		w := grown(16, 1)
		w.apply(fault{Kind: crashSame, Target: 3})
		w.until(8*time.Second, w.whole)
	})

	It("keeps its part on both sides of a long cut", func() {
		w := grown(16, 2)
		w.cutOff(0, false)
		Expect(w.least(10 * time.Minute)).To(BeNumerically(">", 0.999))
	})

	It("keeps its part while most answer and the list cannot be read", func() {
		w := grown(16, 1)
		for _, v := range w.vms {
			w.down[v.id.Address] = true
		}
		Expect(w.run(time.Minute)).To(Succeed())
		w.crash(w.vms[5])
		Expect(w.least(5 * time.Minute)).To(BeNumerically(">", 14.9/16))
	})

	It("takes in a newcomer that a frozen list does not show", func() {
		w := grown(16, 1)
		v := w.start(w.address(), 0)
		w.pending = nil
		w.until(20*time.Second, func() bool { return v.share.Usable && w.whole() })
	})

	It("uses nothing after a pause before all promise again", func() {
		w := grown(3, 1)
		v := w.vms[0]
		v.node.Pause(v.local())
		Expect(v.node.Share(v.local()).Usable).To(BeFalse())
		w.until(10*time.Second, w.whole)
	})
})
