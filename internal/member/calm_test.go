package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runUntil runs the world until f returns true, and returns how long that took.
// It fails the test if that takes longer than limit.
func (w *world) runUntil(limit time.Duration, f func() bool) time.Duration {
	begin := w.now
	for w.now < begin+limit {
		Expect(w.advance()).To(Succeed())
		if f() {
			return w.now - begin
		}
	}
	Fail("condition not met within " + limit.String())
	return 0
}

// fullyUsed reports whether the usable shares sum to the whole limit.
func (w *world) fullyUsed() bool { return w.sumRate > 0.999 }

// lowestSum runs the world and returns the lowest sum of usable shares.
func (w *world) lowestSum(d time.Duration) float64 {
	l := 1.0
	for end := w.now + d; w.now < end; {
		Expect(w.advance()).To(Succeed())
		l = min(l, w.sumRate)
	}
	return l
}

// newStableWorld returns a world of n VMs that all may use their share.
func newStableWorld(n, sides int) *world {
	w := newWorld(uint64(n), n, sides)
	w.runUntil(10*time.Second, w.fullyUsed)
	Expect(w.runFor(20 * time.Second)).To(Succeed())
	return w
}

var _ = Describe("Node", func() {
	It("may use its share within seconds when all VMs start together", func() {
		for _, n := range []int{1, 2, 3, 16} {
			w := newWorld(uint64(n), n, 1)
			w.runUntil(10*time.Second, w.fullyUsed)
		}
	})

	It("leaves its share to the others at a graceful shutdown", func() {
		w := newStableWorld(16, 1)
		w.loss = 0
		w.stopPlanned(w.vms[3], fault{Kind: stopRestart, Length: time.Minute})
		w.runUntil(5*time.Second, w.fullyUsed)
	})

	It("may use its share soon after a crash and a restart at the same address", func() {
		w := newStableWorld(16, 1)
		w.applyFault(fault{Kind: crashRestart, Target: 3})
		w.runUntil(8*time.Second, w.fullyUsed)
	})

	It("keeps its share on both sides of a long network partition", func() {
		w := newStableWorld(16, 2)
		w.partitionSide(0, false)
		Expect(w.lowestSum(10 * time.Minute)).To(BeNumerically(">", 0.999))
	})

	It("keeps its share while a majority answers and the list cannot be read", func() {
		w := newStableWorld(16, 1)
		for _, v := range w.vms {
			w.readFails[v.id.Address] = true
		}
		Expect(w.runFor(time.Minute)).To(Succeed())
		w.crash(w.vms[5])
		Expect(w.lowestSum(5 * time.Minute)).To(BeNumerically(">", 14.9/16))
	})

	It("gives a share to a new VM that a stale list does not contain", func() {
		w := newStableWorld(16, 1)
		v := w.start(w.newAddress(), 0)
		w.pending = nil
		w.runUntil(20*time.Second, func() bool { return v.share.Usable && w.fullyUsed() })
	})

	It("does not use its share after a pause until all VMs have renewed their leases", func() {
		w := newStableWorld(3, 1)
		v := w.vms[0]
		v.node.HandlePause(v.localTime())
		Expect(v.node.Share(v.localTime()).Usable).To(BeFalse())
		w.runUntil(10*time.Second, w.fullyUsed)
	})
})
