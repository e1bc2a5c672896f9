package virtual

import (
	"slices"
	"time"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
)

// promise is the state of a VM's own share.
type promise struct {
	// until is when the share ends, in virtual time; ended is the same by the
	// VM's clock.
	until  time.Duration
	untilV time.Time
	// usable and running are when a newcomer's wait is over; 0 while some VM
	// does not count it.
	usable  time.Duration
	running time.Duration
	// joined says that the wait has been set.
	joined bool
	// lost says that some VM forgot this one.
	lost bool
	// forgetAt is when others may forget the VM.
	forgetAt map[member.ID]time.Duration
}

// join adds a VM. An old one is counted by all from the start.
func (w *World) join(v *VM, old bool) {
	v.forgetAt = map[member.ID]time.Duration{}
	w.countAll(v)
	if !old {
		return
	}
	for _, o := range w.VMs {
		o.counts[v.ID] = true
		v.counts[o.ID] = true
	}
	v.joined = true
	w.extend(v)
}

// exists reports whether some live VM may count o.
func (w *World) exists(o *VM) bool {
	if o.Alive {
		return true
	}
	return slices.ContainsFunc(w.VMs, func(v *VM) bool { return v.Alive && v.counts[o.ID] })
}

// extend renews the promises of a VM.
func (w *World) extend(v *VM) {
	v.until = w.now + w.Promise
	v.untilV = v.Now().Add(time.Duration(float64(w.Promise) * (1 - 2*w.Drift)))
}

// view is what a VM's membership does twice a second.
func (w *World) view(v *VM) {
	if !v.Alive {
		return
	}
	if !v.Frozen {
		w.learn(v)
		w.promised(v)
		v.Fleet.Members(v.Now(), w.share(v), w.members(v))
	}
	w.At(w.now+view, func() { w.view(v) })
}

func (v *VM) reachable() bool {
	return v.Alive && !v.Frozen && !v.Isolated
}

// learn counts newcomers and forgets VMs whose promises ended.
func (w *World) learn(v *VM) {
	if v.Isolated {
		return
	}
	for _, o := range w.VMs {
		if o == v {
			continue
		}
		if o.reachable() {
			v.counts[o.ID] = true
			delete(o.forgetAt, v.ID)
			continue
		}
		if v.counts[o.ID] && w.now > o.until {
			w.forget(v, o)
		}
	}
}

// forget makes v forget o some time after its promise ended.
func (w *World) forget(v, o *VM) {
	t, ok := o.forgetAt[v.ID]
	if !ok {
		o.forgetAt[v.ID] = o.until + time.Duration(w.Random.Int63n(int64(w.Forget)+1))
		return
	}
	if w.now > t && w.now > o.until+w.Longest*11/10+2*time.Second {
		delete(v.counts, o.ID)
		o.lost, o.joined = true, false
	}
}

// promised renews v's promises, or begins the wait of a newcomer.
func (w *World) promised(v *VM) {
	if v.Isolated {
		return
	}
	if !v.joined || w.now > v.until {
		w.countAll(v)
	}
	for _, o := range w.VMs {
		if o != v && o.Alive && (o.reachable() || w.now <= o.until) && !o.counts[v.ID] {
			v.joined = false
			return
		}
		if o != v && !o.Alive && w.now <= o.until && !o.counts[v.ID] {
			v.joined = false
			return
		}
	}
	if !v.joined {
		v.joined = true
		d := float64(limit.LoanMax) * (1 + 3*w.Drift)
		v.usable = w.now + time.Duration(d)
		v.running = v.usable + w.Longest*11/10 + 2*time.Second
	}
	w.extend(v)
}

// countAll makes v count every VM that any VM counts.
func (w *World) countAll(v *VM) {
	for _, o := range w.VMs {
		if o != v && w.exists(o) {
			v.counts[o.ID] = true
		}
	}
}

func (w *World) share(v *VM) member.Share {
	n := 1
	for id := range v.counts {
		if id != v.ID {
			n++
		}
	}
	return member.Share{
		Count:         n,
		RunningCount:  n,
		Usable:        v.joined && w.now >= v.usable,
		RunningUsable: v.joined && w.now >= v.running,
		Until:         v.untilV,
	}
}

// members is who v believes to answer.
func (w *World) members(v *VM) []member.Member {
	var ms []member.Member
	for _, o := range w.VMs {
		if o == v || !v.counts[o.ID] {
			continue
		}
		ok := o.reachable() && (w.cut == nil || !w.cut(v, o))
		if w.Random.Float64() < w.Wrong {
			ok = !ok
		}
		ms = append(ms, member.Member{ID: o.ID, Answering: ok, Leaving: o.Leaving})
	}
	return ms
}

// pause ends the promises of a VM that did not run.
func (v *VM) pause() {
	v.untilV = time.Time{}
	if v.node != nil {
		v.node.HandlePause(v.Now())
	}
}
