package member_test

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// action is what happens at the start of a round of the search.
type action int

const (
	nothing action = iota
	cutList
	cutOnly
	healAll
	restartFirst
	crashLast
	joinOne
	freezeFirst
	actions
)

var actionNames = []string{"nothing", "cut with a false list", "cut", "heal", "restart the first", "crash the last",
	"join", "freeze the first"}

// small returns a world of two VMs in which all times are short, so that whole
// lives pass in a few rounds.
func small() *world {
	w := newWorld(1, 0, 1)
	w.promise, w.age, w.readEvery, w.step = 8*time.Second, 2*time.Second, time.Second, time.Second
	w.exact, w.loss, w.lag = true, 0, 0
	for side := range 2 {
		v := w.start(w.address(), side)
		v.rate = 1
		w.listed[v.id.Address] = -time.Hour
	}
	w.publish()
	return w
}

func (w *world) act(a action) {
	live := 0
	for _, v := range w.vms {
		if v.running {
			live++
		}
	}
	switch a {
	case cutList:
		w.apply(fault{Kind: cutFalse})
	case cutOnly:
		w.apply(fault{Kind: cutSides})
	case healAll:
		w.apply(fault{Kind: heal})
	case restartFirst:
		w.apply(fault{Kind: crashSame})
	case crashLast:
		w.apply(fault{Kind: crash, Target: live - 1})
	case joinOne:
		if live < 3 {
			w.apply(fault{Kind: join, Target: live})
		}
	case freezeFirst:
		w.apply(fault{Kind: freeze, Length: 10 * time.Second})
	}
}

// each calls f for all numbers below n, on all processors.
func each(n int, f func(int)) {
	var g sync.WaitGroup
	for first := range runtime.NumCPU() {
		g.Go(func() {
			defer GinkgoRecover()
			for i := first; i < n; i += runtime.NumCPU() {
				f(i)
			}
		})
	}
	g.Wait()
}

var _ = Describe("Exhaustive search", func() {
	It("finds no row of faults after which the parts sum to more than the whole", func() {
		const depth, round = 5, 6 * time.Second
		paths := 1
		for range depth {
			paths *= int(actions)
		}
		each(paths, func(i int) {
			w := small()
			err := w.run(4 * time.Second)
			row := ""
			for n := i; err == nil && n > 0; n /= int(actions) {
				a := action(n % int(actions))
				row += actionNames[a] + "; "
				w.act(a)
				err = w.run(round)
			}
			if err == nil {
				err = w.run(2 * round)
			}
			Expect(err).NotTo(HaveOccurred(), fmt.Sprintf("path %d: %s", i, row))
		})
	})
})
