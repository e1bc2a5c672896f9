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

var _ = Describe("Node", func() {
	It("gets a share within seconds when the fleet starts together", func() {
		for _, n := range []int{1, 2, 3, 16} {
			w := newWorld(uint64(n), n, 1)
			t := w.until(10*time.Second, w.whole)
			GinkgoWriter.Println(n, t)
		}
	})
})
