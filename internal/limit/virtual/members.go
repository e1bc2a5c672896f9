package virtual

import (
	"slices"
	"time"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
)

// lease is a VM's state in the fake membership: its lease from the other VMs, and
// when it may use its own share.
type lease struct {
	// expiry is when the lease ends, in virtual time; expiryByClock is when the
	// VM itself counts it as ended, by its own clock.
	expiry        time.Duration
	expiryByClock time.Time
	// usableFrom and runningUsableFrom are when a VM that has joined may use
	// its share of rates, and of limits on running requests.
	usableFrom        time.Duration
	runningUsableFrom time.Duration
	// joined is set once all VMs count this one and both times are set.
	joined bool
	// lost is set once some VM has forgotten this one.
	lost bool
	// forgetAt is when each other VM may forget this one.
	forgetAt map[member.ID]time.Duration
}

// startFakeMembership adds a VM to the fake membership. All VMs count an
// established one from the start.
func (w *World) startFakeMembership(v *VM, established bool) {
	v.forgetAt = map[member.ID]time.Duration{}
	w.countAll(v)
	if !established {
		return
	}
	for _, o := range w.VMs {
		o.counted[v.ID] = true
		v.counted[o.ID] = true
	}
	v.joined = true
	w.renewLease(v)
}

// mayBeCounted reports whether o is alive or counted by a live VM.
func (w *World) mayBeCounted(o *VM) bool {
	if o.Alive {
		return true
	}
	return slices.ContainsFunc(w.VMs, func(v *VM) bool { return v.Alive && v.counted[o.ID] })
}

// renewLease renews the lease of v. By its own clock it ends earlier, since the
// clocks drift.
func (w *World) renewLease(v *VM) {
	v.expiry = w.now + w.LeaseDuration
	v.expiryByClock = v.Now().Add(time.Duration(float64(w.LeaseDuration) * (1 - 2*w.MaxClockDrift)))
}

// updateFakeMembership updates what v knows of the fleet and passes it to v's
// limits, every membershipInterval.
func (w *World) updateFakeMembership(v *VM) {
	if !v.Alive {
		return
	}
	if !v.Frozen {
		w.updateCounted(v)
		w.renewOrJoin(v)
		v.Fleet.SetMembers(v.Now(), w.fakeShare(v), w.fakeMembers(v))
	}
	w.At(w.now+membershipInterval, func() { w.updateFakeMembership(v) })
}

func (v *VM) reachable() bool {
	return v.Alive && !v.Frozen && !v.Isolated
}

// updateCounted makes v count new VMs and forget VMs whose leases have expired.
func (w *World) updateCounted(v *VM) {
	if v.Isolated {
		return
	}
	for _, o := range w.VMs {
		if o == v {
			continue
		}
		if o.reachable() {
			v.counted[o.ID] = true
			delete(o.forgetAt, v.ID)
			continue
		}
		if v.counted[o.ID] && w.now > o.expiry {
			w.forgetAfterDelay(v, o)
		}
	}
}

// forgetAfterDelay makes v forget o a random delay after the end of o's lease, but
// not before all requests that o started must have ended.
func (w *World) forgetAfterDelay(v, o *VM) {
	at, ok := o.forgetAt[v.ID]
	if !ok {
		o.forgetAt[v.ID] = o.expiry + time.Duration(w.Random.Int63n(int64(w.MaxForgetDelay)+1))
		return
	}
	if w.now > at && w.now > o.expiry+w.MaxRunTime*11/10+2*time.Second {
		delete(v.counted, o.ID)
		o.lost, o.joined = true, false
	}
}

// renewOrJoin renews v's lease if every VM that is reachable or has a valid lease
// counts v. If v had not joined, it joins now, but its share becomes usable only
// after everything delegated from the others' formerly larger shares has expired,
// and for running requests after those requests must have ended.
func (w *World) renewOrJoin(v *VM) {
	if v.Isolated {
		return
	}
	if !v.joined || w.now > v.expiry {
		w.countAll(v)
	}
	for _, o := range w.VMs {
		if o != v && o.Alive && (o.reachable() || w.now <= o.expiry) && !o.counted[v.ID] {
			v.joined = false
			return
		}
		if o != v && !o.Alive && w.now <= o.expiry && !o.counted[v.ID] {
			v.joined = false
			return
		}
	}
	if !v.joined {
		v.joined = true
		wait := float64(limit.MaxDelegationTime) * (1 + 3*w.MaxClockDrift)
		v.usableFrom = w.now + time.Duration(wait)
		v.runningUsableFrom = v.usableFrom + w.MaxRunTime*11/10 + 2*time.Second
	}
	w.renewLease(v)
}

// countAll makes v count every VM that is alive or counted by a live VM.
func (w *World) countAll(v *VM) {
	for _, o := range w.VMs {
		if o != v && w.mayBeCounted(o) {
			v.counted[o.ID] = true
		}
	}
}

func (w *World) fakeShare(v *VM) member.Share {
	n := 1
	for id := range v.counted {
		if id != v.ID {
			n++
		}
	}
	return member.Share{
		Count:         n,
		RunningCount:  n,
		Usable:        v.joined && w.now >= v.usableFrom,
		RunningUsable: v.joined && w.now >= v.runningUsableFrom,
		Until:         v.expiryByClock,
	}
}

// fakeMembers returns the other VMs that v counts, and whether v believes that they
// answer.
func (w *World) fakeMembers(v *VM) []member.Member {
	var ms []member.Member
	for _, o := range w.VMs {
		if o == v || !v.counted[o.ID] {
			continue
		}
		ok := o.reachable() && (w.partitioned == nil || !w.partitioned(v, o))
		if w.Random.Float64() < w.MisjudgedRatio {
			ok = !ok
		}
		ms = append(ms, member.Member{ID: o.ID, Answering: ok, Leaving: o.Leaving})
	}
	return ms
}

// handlePause ends the lease of a VM that notices that it was frozen.
func (v *VM) handlePause() {
	v.expiryByClock = time.Time{}
	if v.node != nil {
		v.node.HandlePause(v.Now())
	}
}
