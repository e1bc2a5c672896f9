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
	crashSame
	stop
	stopSame
	join
	pause
	freeze
	pauseFalse
	cutSides
	cutFalse
	cutOne
	heal
	listFrozen
	listDown
	listBack
	noise
	kinds
)

var kindNames = []string{"crash", "crash, same address", "stop", "stop, same address", "join", "pause", "freeze", "pause, false list",
	"cut", "cut, false list", "one-way cut", "heal", "list frozen", "list down", "list back", "noise"}

// fault is one step of a schedule.
type fault struct {
	After  time.Duration
	Kind   kind
	Target int
	Length time.Duration
}

// String describes the fault in a failure.
func (f fault) String() string {
	return fmt.Sprintf("after %s %s of %d for %s", f.After, kindNames[f.Kind], f.Target, f.Length)
}

// apply brings about a fault.
func (w *world) apply(f fault) {
	var live []*vm
	for _, v := range w.vms {
		if v.running {
			live = append(live, v)
		}
	}
	if f.Kind == join || len(live) == 0 {
		w.start(w.address(), f.Target%3)
		return
	}
	v := live[f.Target%len(live)]
	if f.Kind <= stopSame && !w.refuge(v, false) {
		return
	}
	switch f.Kind {
	case crash, crashSame:
		w.crash(v)
		if f.Kind == crashSame {
			w.start(v.id.Address, v.side)
		} else if f.Length > 30*time.Second {
			w.start(w.address(), v.side)
		}
	case stop, stopSame:
		w.leave(v, f)
	case pauseFalse:
		w.hide(v)
		fallthrough
	case pause, freeze:
		if !w.paused(v) {
			v.pausedAt, v.pausedTo, v.frozen = w.now, w.now+f.Length, f.Kind == freeze
		}
	case cutSides, cutFalse:
		w.cutOff(v.side, f.Kind == cutFalse)
	case cutOne:
		w.cut = func(from, _ *vm) bool { return from == v }
	case heal:
		w.heal()
	case listFrozen:
		w.freezeList(v)
	case listDown:
		w.down[v.id.Address] = true
	case listBack:
		clear(w.down)
		clear(w.frozenAt)
	case noise:
		w.loss = float64(f.Target%4) / 8
	}
}

func (w *world) leave(v *vm, f fault) {
	if v.exitAt > 0 || w.paused(v) {
		return
	}
	w.end(v)
	w.send(v, v.node.Leave(v.local()))
	v.exitAt = w.now + f.Length/20
	if f.Kind == stop {
		w.start(w.address(), v.side)
	}
}

// cutOff cuts one side from the others. With a false list, the list leaves out
// that side until the cut heals, for readers on every side.
func (w *world) cutOff(side int, hide bool) {
	w.heal()
	w.cut = func(from, to *vm) bool { return (from.side == side) != (to.side == side) }
	if !hide || len(w.frozenAt) > 0 {
		return
	}
	for _, v := range w.vms {
		if v.running && v.side == side {
			w.hidden[v.id.Address] = true
		}
	}
	if !w.refuge(nil, true) {
		w.hidden = map[netip.AddrPort]bool{}
	}
	w.publish()
}

// refuge tells whether every read shows a VM with a share besides v, if there
// is one; before hiding VMs there must be one. A list that leaves out all of them may make a newcomer take itself
// for the first, which is the one thing that the list is trusted in.
func (w *world) refuge(v *vm, hide bool) bool {
	any := false
	for _, o := range w.vms {
		if o == v || !o.running || o.exitAt > 0 || !o.share.Usable {
			continue
		}
		any = true
		t, ok := w.listed[o.id.Address]
		if ok && t < w.now-w.age && !w.hidden[o.id.Address] {
			return true
		}
	}
	return !any && !hide && len(w.hidden) == 0
}

// hide makes the list leave out a paused VM until the next healing.
func (w *world) hide(v *vm) {
	if len(w.frozenAt) == 0 && len(w.hidden) == 0 && w.refuge(v, true) {
		w.hidden[v.id.Address] = true
		w.publish()
	}
}

func (w *world) heal() {
	w.cut = nil
	if len(w.hidden) > 0 {
		w.hidden = map[netip.AddrPort]bool{}
		w.publish()
	}
}

// freezeList makes the list silently stale for one VM. It is not combined with
// a false list: a list is either late or wrong (see the design note).
func (w *world) freezeList(v *vm) {
	if len(w.hidden) == 0 {
		w.frozenAt[v.id.Address] = max(0, len(w.versions)-3)
	}
}

func schedule(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			After:  time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * time.Second,
			Kind:   kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind")),
			Target: rapid.IntRange(0, 7).Draw(t, "target"),
			Length: time.Duration(rapid.IntRange(1, 60).Draw(t, "length")) * time.Second,
		}
	}), 1, 8).Draw(t, "faults")
}

// play runs a schedule, and returns the first violation.
func (w *world) play(fs []fault, rest time.Duration) error {
	for _, f := range fs {
		if err := w.run(f.After); err != nil {
			return err
		}
		w.apply(f)
	}
	return w.run(rest)
}

func (w *world) run(d time.Duration) error {
	for end := w.now + d; w.now < end; {
		if err := w.advance(); err != nil {
			return err
		}
	}
	return nil
}

var _ = Describe("Random schedules", func() {
	It("never let the parts in use sum to more than the whole", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			n := rapid.IntRange(1, 6).Draw(t, "VMs")
			w := newWorld(rapid.Uint64().Draw(t, "seed"), n, 3)
			fs := schedule(t)
			if err := w.play(fs, 100*time.Second); err != nil {
				t.Fatalf("%d VMs, %v: %v", n, fs, err)
			}
		})
	})
})
