package member_test

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// action is the fault at the start of a round of the search.
type action int

const (
	actNone action = iota
	actPartitionUnlisted
	actPartition
	actHeal
	actRestartFirst
	actCrashLast
	actJoin
	actPauseClockFirst
	actionCount
)

var actionNames = []string{"none", "partition, side omitted from the list", "partition", "heal", "restart the first VM",
	"crash the last VM", "join", "pause the first VM and its clock"}

// newSmallWorld returns a deterministic world of two VMs in which all times are
// short, so that leases and absences expire within a few rounds.
func newSmallWorld() *world {
	w := newWorld(1, 0, 1)
	w.leaseDuration, w.maxListAge, w.readInterval, w.step = 8*time.Second, 2*time.Second, time.Second, time.Second
	w.deterministic, w.loss, w.listDelay = true, 0, 0
	for side := range 2 {
		v := w.start(w.newAddress(), side)
		v.clockRate = 1
		w.listed[v.id.Address] = -time.Hour
	}
	w.publish()
	return w
}

func (w *world) applyAction(a action) {
	running := 0
	for _, v := range w.vms {
		if v.running {
			running++
		}
	}
	switch a {
	case actPartitionUnlisted:
		w.applyFault(fault{Kind: partitionUnlisted})
	case actPartition:
		w.applyFault(fault{Kind: partition})
	case actHeal:
		w.applyFault(fault{Kind: heal})
	case actRestartFirst:
		w.applyFault(fault{Kind: crashRestart})
	case actCrashLast:
		w.applyFault(fault{Kind: crash, Target: running - 1})
	case actJoin:
		if running < 3 {
			w.applyFault(fault{Kind: join, Target: running})
		}
	case actPauseClockFirst:
		w.applyFault(fault{Kind: pauseClock, Length: 10 * time.Second})
	}
}

// forEachParallel calls f for all numbers below n, in parallel on all processors.
func forEachParallel(n int, f func(int)) {
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
	It("finds no sequence of faults after which the shares sum to more than the whole limit", func() {
		const depth, round = 5, 6 * time.Second
		paths := 1
		for range depth {
			paths *= int(actionCount)
		}
		forEachParallel(paths, func(i int) {
			w := newSmallWorld()
			err := w.runFor(4 * time.Second)
			sequence := ""
			for n := i; err == nil && n > 0; n /= int(actionCount) {
				a := action(n % int(actionCount))
				sequence += actionNames[a] + "; "
				w.applyAction(a)
				err = w.runFor(round)
			}
			if err == nil {
				err = w.runFor(2 * round)
			}
			Expect(err).NotTo(HaveOccurred(), fmt.Sprintf("path %d: %s", i, sequence))
		})
	})
})
