package member_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilbend.example/internal/member"
)

// check tells whether the VMs together may use more than the whole.
func (w *world) check() error {
	w.sum, w.running, w.lent = 0, 0, 0
	for _, v := range w.vms {
		w.look(v)
		if v.running || w.heard(v) {
			w.lent += v.largest()
		}
		if v.running && v.share.Usable && !w.paused(v) {
			w.sum += 1 / float64(v.share.Count)
		}
		if v.running && v.share.RunningUsable && (!w.paused(v) || w.now < v.pausedAt+runningMax) {
			w.running += 1 / float64(v.share.RunningCount)
		}
		if v.ended > 0 && w.now < v.ended+runningMax && w.survived(v) {
			w.running += v.endedRunning
		}
	}
	for name, s := range map[string]float64{"rate": w.sum, "running": w.running, "rate with loans": w.lent} {
		if s > 1+1e-9 {
			return fmt.Errorf("at %s the parts of %s sum to %.4f:%s", w.now, name, s, w.parts())
		}
	}
	return nil
}

// look notes what v may use now, and what loans of late may still carry.
func (w *world) look(v *vm) {
	for len(v.lent) > 0 && v.lent[0].at+member.DefaultLoanMax < w.now {
		v.lent = v.lent[1:]
	}
	if !v.running {
		return
	}
	if w.paused(v) {
		// A paused VM uses nothing.
		return
	}
	v.share = v.node.Share(v.local())
	if v.share.RunningUsable && v.stood == 0 {
		v.stood = w.now
	}
	if v.share.Usable {
		v.lent = append(v.lent, part{at: w.now, size: 1 / float64(v.share.Count)})
	}
}

func (v *vm) largest() float64 {
	m := 0.0
	for _, p := range v.lent {
		m = max(m, p.size)
	}
	return m
}

// survived tells whether a VM that had a share when v ended still runs. A fleet
// that starts from nothing knows of no requests of an earlier one.
func (w *world) survived(v *vm) bool {
	return slices.ContainsFunc(w.vms, func(o *vm) bool { return o.running && o.stood > 0 && o.stood <= v.ended })
}

// parts describes what each VM may use.
func (w *world) parts() string {
	var b strings.Builder
	for _, v := range w.vms {
		fmt.Fprintf(&b, " {%s side %d running %t ended %s of 1/%d %t, 1/%d %t, %.3f, loans %.3f}", v.id, v.side, v.running,
			v.ended, v.share.Count, v.share.Usable, v.share.RunningCount, v.share.RunningUsable, v.endedRunning, v.largest())
	}
	return b.String()
}

// shows tells whether a list shows a VM that has a share, if there is one.
func (w *world) shows(x version) bool {
	any, shown := false, false
	for _, v := range w.vms {
		if !v.running || !v.share.Usable {
			continue
		}
		any = true
		shown = shown || slices.ContainsFunc(x.vms, func(l member.VM) bool { return l.Address == v.id.Address })
	}
	return shown || !any
}

// meet opens streams to processes that started a while ago, from those that
// know their address.
func (w *world) meet() {
	var rest []*vm
	for _, v := range w.opened {
		if v.started+time.Second > w.now {
			rest = append(rest, v)
			continue
		}
		for _, o := range w.vms {
			if o != v && o.running && v.running && !w.paused(o) && slices.Contains(o.node.Addresses(), v.id.Address) &&
				(w.cut == nil || !w.cut(o, v) && !w.cut(v, o)) {
				w.send(o, o.node.Meet(o.local(), v.id, ""))
			}
		}
	}
	w.opened = rest
}

// heard tells whether a running VM got a message of v, and so may have borrowed
// from it.
func (w *world) heard(v *vm) bool {
	return slices.ContainsFunc(w.vms, func(o *vm) bool { return o.running && o.heard[v.id] })
}
