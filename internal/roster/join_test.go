package roster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/roster"
)

var _ = Describe("the VMs of a fleet", func() {
	// apart returns the VMs that do not hear all.
	apart := func(w *world) []int {
		var is []int
		for _, n := range w.nodes {
			if n.up && len(n.roster.Live(w.now)) != w.up() {
				is = append(is, n.index)
			}
		}
		return is
	}

	It("find each other, whatever the order in which they start", func() {
		for seed := range uint64(200) {
			spread := time.Duration(100+seed*10) * time.Millisecond
			w := newWorldOver(seed, 14, roster.Limit{}, spread)
			w.run(spread + 4*time.Second)
			Expect(apart(w)).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("find each other again after a short cut in two while no seed answers", func() {
		for seed := range uint64(20) {
			w := newWorld(seed, 14, roster.Limit{})
			w.at(5*time.Second, func() { w.stopSeeds() })
			w.cut = func(a, b int) bool {
				t := w.now.Sub(w.began)
				return t > 10*time.Second && t < 20*time.Second && a%2 != b%2
			}
			w.run(25 * time.Second)
			Expect(apart(w)).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("find each other again after a cut in two that outlasts the memory of silent VMs", func() {
		for seed := range uint64(20) {
			w := newWorld(seed, 14, roster.Limit{})
			w.cut = func(a, b int) bool {
				t := w.now.Sub(w.began)
				return t > 5*time.Second && t < 45*time.Second && (a < 4) != (b < 4)
			}
			w.run(50 * time.Second)
			Expect(apart(w)).To(BeEmpty(), "seed %d", seed)
		}
	})
})
