package member_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilbend.example/internal/member"
)

// checkShares returns an error if the VMs together may use more than the whole
// limit.
func (w *world) checkShares() error {
	w.sumRate, w.sumRunning, w.sumDelegated = 0, 0, 0
	for _, v := range w.vms {
		w.recordShare(v)
		if v.running || w.mayHaveDelegated(v) {
			w.sumDelegated += v.largestRecentShare()
		}
		if v.running && v.share.Usable && !w.paused(v) {
			w.sumRate += 1 / float64(v.share.Count)
		}
		if v.running && v.share.RunningUsable && (!w.paused(v) || w.now < v.pausedAt+maxRequestTime) {
			w.sumRunning += 1 / float64(v.share.RunningCount)
		}
		if v.endedAt > 0 && w.now < v.endedAt+maxRequestTime && w.hasSurvivor(v) {
			w.sumRunning += v.endedRunning
		}
	}
	for name, s := range map[string]float64{"rate": w.sumRate, "running": w.sumRunning, "rate with delegations": w.sumDelegated} {
		if s > 1+1e-9 {
			return fmt.Errorf("at %s the shares of %s sum to %.4f:%s", w.now, name, s, w.describeShares())
		}
	}
	return nil
}

// recordShare records what v may use now, and forgets shares that can no longer
// be in use as a delegation.
func (w *world) recordShare(v *vm) {
	for len(v.recentShares) > 0 && v.recentShares[0].at+member.DefaultMaxDelegationTime < w.now {
		v.recentShares = v.recentShares[1:]
	}
	if !v.running {
		return
	}
	if w.paused(v) {
		// A paused VM uses no share.
		return
	}
	v.share = v.node.Share(v.localTime())
	if v.share.RunningUsable && v.firstUsable == 0 {
		v.firstUsable = w.now
	}
	if v.share.Usable {
		v.recentShares = append(v.recentShares, shareSample{at: w.now, fraction: 1 / float64(v.share.Count)})
	}
}

// largestRecentShare returns the largest share that v may have delegated.
func (v *vm) largestRecentShare() float64 {
	m := 0.0
	for _, p := range v.recentShares {
		m = max(m, p.fraction)
	}
	return m
}

// hasSurvivor reports whether a VM that had a share when v ended still runs. A
// fleet of only new processes cannot know of requests of an earlier fleet.
func (w *world) hasSurvivor(v *vm) bool {
	return slices.ContainsFunc(w.vms, func(o *vm) bool { return o.running && o.firstUsable > 0 && o.firstUsable <= v.endedAt })
}

// describeShares returns what each VM may use, for a failure message.
func (w *world) describeShares() string {
	var b strings.Builder
	for _, v := range w.vms {
		fmt.Fprintf(&b, " {%s side %d running %t ended %s of 1/%d %t, 1/%d %t, %.3f, delegated %.3f}", v.id, v.side, v.running,
			v.endedAt, v.share.Count, v.share.Usable, v.share.RunningCount, v.share.RunningUsable, v.endedRunning, v.largestRecentShare())
	}
	return b.String()
}

// containsShareHolder reports whether a version of the list contains a VM that
// may use its share, or there is no such VM.
func (w *world) containsShareHolder(x version) bool {
	found, listed := false, false
	for _, v := range w.vms {
		if !v.running || !v.share.Usable {
			continue
		}
		found = true
		listed = listed || slices.ContainsFunc(x.vms, func(l member.VM) bool { return l.Address == v.id.Address })
	}
	return listed || !found
}

// openStreams opens streams to processes that started at least a second ago,
// from those that know their address.
func (w *world) openStreams() {
	var rest []*vm
	for _, v := range w.unconnected {
		if v.started+time.Second > w.now {
			rest = append(rest, v)
			continue
		}
		for _, o := range w.vms {
			if o != v && o.running && v.running && !w.paused(o) && slices.Contains(o.node.Addresses(), v.id.Address) &&
				(w.blocked == nil || !w.blocked(o, v) && !w.blocked(v, o)) {
				w.send(o, o.node.HandleConnect(o.localTime(), v.id, ""))
			}
		}
	}
	w.unconnected = rest
}

// mayHaveDelegated reports whether a running VM received a message from v, and so
// may use a share delegated by it.
func (w *world) mayHaveDelegated(v *vm) bool {
	return slices.ContainsFunc(w.vms, func(o *vm) bool { return o.running && o.receivedFrom[v.id] })
}
