package member_test

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"
)

// kind is a kind of fault.
type kind int

const (
	crash kind = iota
	crashRestart
	stop
	stopRestart
	join
	pause
	// pauseClock is a pause during which the clock stops.
	pauseClock
	// pauseUnlisted is a pause during which the list omits the VM.
	pauseUnlisted
	partition
	// partitionUnlisted is a partition during which the list omits one side.
	partitionUnlisted
	partitionOneWay
	heal
	listStale
	listUnreadable
	listRecovery
	messageLoss
	kindCount
)

var kindNames = []string{"crash", "crash, same address", "stop", "stop, same address", "join", "pause", "pause, stopped clock",
	"pause, omitted from the list", "partition", "partition, side omitted from the list", "one-way partition", "heal",
	"stale list", "unreadable list", "list recovery", "message loss"}

// fault is one step of a schedule. Target selects a VM, a side or a loss rate,
// depending on Kind.
type fault struct {
	After  time.Duration
	Kind   kind
	Target int
	Length time.Duration
}

// String describes the fault for a failure message.
func (f fault) String() string {
	return fmt.Sprintf("after %s %s of %d for %s", f.After, kindNames[f.Kind], f.Target, f.Length)
}

// applyFault injects a fault.
func (w *world) applyFault(f fault) {
	var running []*vm
	for _, v := range w.vms {
		if v.running {
			running = append(running, v)
		}
	}
	if f.Kind == join || len(running) == 0 {
		w.start(w.newAddress(), f.Target%3)
		return
	}
	v := running[f.Target%len(running)]
	if f.Kind <= stopRestart && !w.keepsShareHolder(v, false) {
		return
	}
	switch f.Kind {
	case crash, crashRestart:
		w.crash(v)
		if f.Kind == crashRestart {
			w.start(v.id.Address, v.side)
		} else if f.Length > 30*time.Second {
			w.start(w.newAddress(), v.side)
		}
	case stop, stopRestart:
		w.stopPlanned(v, f)
	case pauseUnlisted:
		w.hideFromList(v)
		fallthrough
	case pause, pauseClock:
		if !w.paused(v) {
			v.pausedAt, v.pausedUntil, v.clockStopped = w.now, w.now+f.Length, f.Kind == pauseClock
		}
	case partition, partitionUnlisted:
		w.partitionSide(v.side, f.Kind == partitionUnlisted)
	case partitionOneWay:
		w.blocked = func(from, _ *vm) bool { return from == v }
	case heal:
		w.endPartition()
	case listStale:
		w.makeListStale(v)
	case listUnreadable:
		w.readFails[v.id.Address] = true
	case listRecovery:
		clear(w.readFails)
		clear(w.staleVersion)
	case messageLoss:
		w.loss = float64(f.Target%4) / 8
	}
}

// stopPlanned makes a VM release its share, and exit after a twentieth of the
// fault's length.
func (w *world) stopPlanned(v *vm, f fault) {
	if v.exitAt > 0 || w.paused(v) {
		return
	}
	w.recordEnd(v)
	w.send(v, v.node.Leave(v.localTime()))
	v.exitAt = w.now + f.Length/20
	if f.Kind == stop {
		w.start(w.newAddress(), v.side)
	}
}

// partitionSide partitions one side from the others. With hide, the list omits
// that side until the partition heals, for readers on every side.
func (w *world) partitionSide(side int, hide bool) {
	w.endPartition()
	w.blocked = func(from, to *vm) bool { return (from.side == side) != (to.side == side) }
	if !hide || len(w.staleVersion) > 0 {
		return
	}
	for _, v := range w.vms {
		if v.running && v.side == side {
			w.hidden[v.id.Address] = true
		}
	}
	if !w.keepsShareHolder(nil, true) {
		w.hidden = map[netip.AddrPort]bool{}
	}
	w.publish()
}

// keepsShareHolder reports whether every read contains a VM other than v that may
// use its share. If there is no such VM, it reports whether no VM is hidden or
// to be hidden. Without this condition on the faults, a new VM could bootstrap
// because the list omits all VMs with a share; only for the bootstrap does the
// protocol rely on the list being right.
func (w *world) keepsShareHolder(v *vm, hide bool) bool {
	found := false
	for _, o := range w.vms {
		if o == v || !o.running || o.exitAt > 0 || !o.share.Usable {
			continue
		}
		found = true
		t, ok := w.listed[o.id.Address]
		if ok && t < w.now-w.maxListAge && !w.hidden[o.id.Address] {
			return true
		}
	}
	return !found && !hide && len(w.hidden) == 0
}

// hideFromList makes the list omit a VM until the next heal.
func (w *world) hideFromList(v *vm) {
	if len(w.staleVersion) == 0 && len(w.hidden) == 0 && w.keepsShareHolder(v, true) {
		w.hidden[v.id.Address] = true
		w.publish()
	}
}

// endPartition ends the partition, and makes the list contain all VMs again.
func (w *world) endPartition() {
	w.blocked = nil
	if len(w.hidden) > 0 {
		w.hidden = map[netip.AddrPort]bool{}
		w.publish()
	}
}

// makeListStale makes the list silently stale for one VM. It is not combined with
// hidden VMs: the protocol assumes a list that is either stale or wrong, not
// both.
func (w *world) makeListStale(v *vm) {
	if len(w.hidden) == 0 {
		w.staleVersion[v.id.Address] = max(0, len(w.versions)-3)
	}
}

// drawSchedule draws a random schedule of faults.
func drawSchedule(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			After:  time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * time.Second,
			Kind:   kind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind")),
			Target: rapid.IntRange(0, 7).Draw(t, "target"),
			Length: time.Duration(rapid.IntRange(1, 60).Draw(t, "length")) * time.Second,
		}
	}), 1, 8).Draw(t, "faults")
}

// runSchedule applies the faults, runs the world for another duration rest, and
// returns the first violation.
func (w *world) runSchedule(fs []fault, rest time.Duration) error {
	for _, f := range fs {
		if err := w.runFor(f.After); err != nil {
			return err
		}
		w.applyFault(f)
	}
	return w.runFor(rest)
}

// runFor runs the world for a duration, and returns the first violation.
func (w *world) runFor(d time.Duration) error {
	for end := w.now + d; w.now < end; {
		if err := w.advance(); err != nil {
			return err
		}
	}
	return nil
}

var _ = Describe("Random schedules", func() {
	It("never let the shares in use sum to more than the whole limit", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			n := rapid.IntRange(1, 6).Draw(t, "VMs")
			w := newWorld(rapid.Uint64().Draw(t, "seed"), n, 3)
			fs := drawSchedule(t)
			if err := w.runSchedule(fs, 100*time.Second); err != nil {
				t.Fatalf("%d VMs, %v: %v", n, fs, err)
			}
		})
	})
})
