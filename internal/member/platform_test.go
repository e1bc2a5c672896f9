package member_test

import (
	"slices"
	"time"

	"lentilbend.example/internal/member"
)

// publish adds a version of the list.
func (w *world) publish() {
	x := version{at: w.now}
	for a := range w.listed {
		if !w.hidden[a] {
			x.vms = append(x.vms, member.VM{Address: a})
		}
	}
	slices.SortFunc(x.vms, func(a, b member.VM) int { return a.Address.Compare(b.Address) })
	w.versions = append(w.versions, x)
}

// updateList applies the pending changes that are due.
func (w *world) updateList() {
	var rest []listChange
	for _, c := range w.pending {
		if c.at > w.now {
			rest = append(rest, c)
			continue
		}
		_, listed := w.listed[c.address]
		switch running := w.runningAt(c.address) != nil; {
		case c.added && running && !listed:
			w.listed[c.address] = w.now
		case !c.added && !running:
			delete(w.listed, c.address)
		}
	}
	if len(rest) != len(w.pending) {
		w.pending = rest
		w.publish()
	}
}

// readList makes a VM read the list, in the version that the platform returns to
// it.
func (w *world) readList(v *vm) {
	if w.readFails[v.id.Address] {
		return
	}
	i, ok := w.staleVersion[v.id.Address]
	if !ok {
		i = len(w.versions) - 1
		asOf := w.now - w.randomDelay(w.maxListAge)
		if w.deterministic && v.side == 0 {
			asOf = w.now - w.maxListAge
		}
		for i > 0 && w.versions[i].at > asOf {
			i--
		}
	}
	t := v.localTime()
	w.send(v, v.node.ApplyList(t, t.Add(-w.randomDelay(time.Second)), uint64(i+1), w.versions[i].vms))
}
