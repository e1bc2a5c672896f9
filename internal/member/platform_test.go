package member_test

import (
	"slices"
	"time"

	"lentilbend.example/internal/member"
)

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

// change brings the list up to date.
func (w *world) change() {
	var rest []change
	for _, c := range w.pending {
		if c.at > w.now {
			rest = append(rest, c)
			continue
		}
		_, was := w.listed[c.address]
		switch in := w.at(c.address) != nil; {
		case c.in && in && !was:
			w.listed[c.address] = w.now
		case !c.in && !in:
			delete(w.listed, c.address)
		}
	}
	if len(rest) != len(w.pending) {
		w.pending = rest
		w.publish()
	}
}

// read reads the list as the platform gives it to this VM.
func (w *world) read(v *vm) {
	if w.down[v.id.Address] {
		return
	}
	i, ok := w.frozenAt[v.id.Address]
	if !ok {
		i = len(w.versions) - 1
		back := w.now - w.delay(w.age)
		if w.exact && v.side == 0 {
			back = w.now - w.age
		}
		for i > 0 && w.versions[i].at > back {
			i--
		}
	}
	t := v.local()
	w.send(v, v.node.List(t, t.Add(-w.delay(time.Second)), uint64(i+1), w.versions[i].vms))
}
