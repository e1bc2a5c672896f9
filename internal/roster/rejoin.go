package roster

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// rejoinInterval is the time between rejoin contacts. The sides of a network
	// partition find each other about two intervals after it heals.
	rejoinInterval = time.Second
	// rejoinReportDelay is how long the stream of a rejoin contact may take to
	// open before the report is sent on it.
	rejoinReportDelay = rejoinInterval / 2
	// rejoinsPerInterval is about how many rejoin contacts all VMs but the
	// coordinators make per rejoinInterval, so that not all VMs of a large fleet
	// contact the seeds at once.
	rejoinsPerInterval = 16
	// isolatedRejoinInterval is the time between rejoin contacts of an isolated VM.
	isolatedRejoinInterval = rejoinInterval / 2
)

// rejoinContact is a report to a VM that is not a coordinator in this VM's view.
// Such reports let the sides of a healed network partition find each other. An isolated
// VM contacts all the former coordinators at once, since their streams may have failed
// without them.
type rejoinContact struct {
	to      []netip.AddrPort
	started time.Time
	// isolated says that the VM was isolated when the contact started.
	isolated bool
	// reported says that the report was sent.
	reported bool
	// count is how many contacts were planned; it selects the next target.
	count int
}

// rejoinTargets returns the VMs beside the coordinators to report to now: all
// seeds while no other VM is known, otherwise the VM of the rejoin contact,
// once.
func (r *Roster) rejoinTargets(now time.Time) []netip.AddrPort {
	if len(r.vms) == 0 {
		return slices.DeleteFunc(slices.Clone(r.Seeds), func(a netip.AddrPort) bool { return a == r.Self.Address })
	}
	c := &r.rejoin
	if c.isolated && now.Sub(c.started) < rejoinInterval {
		return r.excludeCoordinators(c.to)
	}
	if c.reported || now.Sub(c.started) < rejoinReportDelay {
		return nil
	}
	c.reported = true
	return r.excludeCoordinators(c.to)
}

// excludeCoordinators returns the addresses that are neither coordinators nor this VM.
func (r *Roster) excludeCoordinators(as []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(as), func(a netip.AddrPort) bool {
		return a == r.Self.Address || slices.Contains(r.coordinators, a)
	})
}

// isIsolated reports whether this VM knows others and none of them is live.
func (r *Roster) isIsolated(now time.Time) bool {
	for _, v := range r.vms {
		if r.live(now, v) {
			return false
		}
	}
	return len(r.vms) > 0
}

// planRejoin starts the next rejoin contact when it is due. Targets alternate
// between silent VMs and seeds, if there are both.
func (r *Roster) planRejoin(now time.Time) {
	c := &r.rejoin
	isolated := r.isIsolated(now)
	interval := rejoinInterval
	switch {
	case isolated:
		interval = isolatedRejoinInterval
	case !r.IsCoordinator():
		interval *= time.Duration(max(1, len(r.vms)/rejoinsPerInterval))
	}
	if len(r.vms) == 0 || now.Sub(c.started) < interval {
		return
	}
	c.started, c.reported, c.isolated, c.to = now, false, isolated, nil
	silent, seeds := r.excludeCoordinators(r.silentCoordinators(now)), r.excludeCoordinators(r.Seeds)
	targets := [][]netip.AddrPort{silent, seeds}
	for i := range targets {
		if as := targets[(c.count+i)%len(targets)]; len(as) > 0 {
			c.to = []netip.AddrPort{as[c.count/len(targets)%len(as)]}
			break
		}
	}
	if isolated {
		c.to = append(c.to, silent...)
		slices.SortFunc(c.to, netip.AddrPort.Compare)
		c.to = slices.Compact(c.to)
	}
	c.count++
}

// rejoinPeers returns the VMs to keep a stream to for a rejoin contact.
func (r *Roster) rejoinPeers(now time.Time) []netip.AddrPort {
	if now.Sub(r.rejoin.started) >= rejoinInterval {
		return nil
	}
	return r.rejoin.to
}

// silentCoordinators returns the silent VMs of the highest rank, which may be the
// coordinators on the other side of a network partition.
func (r *Roster) silentCoordinators(now time.Time) []netip.AddrPort {
	var vs []*vm
	for _, v := range r.vms {
		if v.ended.IsZero() && !r.live(now, v) {
			vs = append(vs, v)
		}
	}
	var as []netip.AddrPort
	for _, v := range topRanked(vs) {
		as = append(as, v.id.Address)
	}
	return as
}

// Peers returns the VMs to keep streams to: the neighbours, the target of the
// rejoin contact, and the seeds while no other VM is known.
func (r *Roster) Peers(now time.Time) []netip.AddrPort {
	as := append(r.Neighbours(now), r.rejoinPeers(now)...)
	if !r.Joined() {
		as = append(as, r.Seeds...)
	}
	slices.SortFunc(as, netip.AddrPort.Compare)
	return slices.DeleteFunc(slices.Compact(as), func(a netip.AddrPort) bool { return a == r.Self.Address })
}
