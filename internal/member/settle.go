package member

import (
	"iter"
	"slices"
	"time"
)

// update expires what is due at now, and determines whether this VM is active
// and what its share is.
func (n *Node) update(now time.Time) {
	n.lastUpdate = now
	n.checkActive(now)
	n.expireState(now)
	n.dropAbsent(now)
	if !n.active {
		n.updateProvisional(now)
	}
	n.digest = n.computeDigest(now)
	n.updateActive(now)
	n.updateShare(now)
}

// checkActive makes this VM inactive if its leases were not renewed in time.
func (n *Node) checkActive(now time.Time) {
	if n.active && !now.Before(n.activeUntil) {
		n.deactivate(now)
	}
}

// expireState drops VMs that released their share or were replaced, forgets stale
// VMs that are not counted, and deletes expired records of ended processes.
func (n *Node) expireState(now time.Time) {
	for _, p := range n.order {
		switch {
		case !p.dropAt.IsZero() && !now.Before(p.dropAt):
			n.drop(now, p)
		case !p.counted && !p.provisional && n.stale(now, p):
			n.removePeer(p)
		}
	}
	for id, t := range n.tombstones {
		if !now.Before(t) {
			delete(n.tombstones, id)
		}
	}
	for id, t := range n.ended {
		delete(n.unconfirmedDrops, id)
		if !now.Before(t) {
			delete(n.ended, id)
		}
	}
	for id, t := range n.unconfirmedDrops {
		if !now.Before(t) {
			delete(n.unconfirmedDrops, id)
		}
	}
}

// stale reports whether a VM that is not counted can be forgotten: the list does
// not contain it, and for three lease durations it has not been seeded or in
// contact with this VM.
func (n *Node) stale(now time.Time, p *peer) bool {
	if _, ok := n.list.vms[p.id.Address]; ok {
		return false
	}
	return now.Sub(p.knownAt) > 3*n.LeaseDuration && now.Sub(p.lastContact) > 3*n.LeaseDuration
}

// drop stops counting a VM that released its share or was replaced. Its running
// requests count until they end.
func (n *Node) drop(now time.Time, p *peer) {
	n.inheritWaits(p)
	if p.counted || p.provisional {
		n.addTombstone(now, p.id, n.runningEnd(now, p))
	}
	n.markEnded(now, p.id)
	n.removePeer(p)
}

// dropAbsent drops VMs whose lease has expired and that the platform's list does
// not contain, as absentLongEnough determines.
func (n *Node) dropAbsent(now time.Time) {
	for _, p := range n.order {
		if p.counted && n.absentLongEnough(now, p) {
			n.droppedWhileInactive = n.droppedWhileInactive || !n.active
			n.inheritWaits(p)
			if p.listedRevision == 0 {
				n.unconfirmedDrops[p.id] = now.Add(n.extendForDrift(n.MaxListOutage))
			}
			n.addTombstone(now, p.id, now.Add(n.extendForDrift(n.MaxRequestTime)))
			n.removePeer(p)
		}
	}
}

// absentLongEnough reports whether a VM can no longer use its share: its lease and
// its delegations have expired, and it said itself that it is not listed, or the
// list has not contained it for absenceTimeout. Without a majority, the list must
// not have contained it for MaxListOutage more, since the VM may be active with a
// majority on its side.
func (n *Node) absentLongEnough(now time.Time, p *peer) bool {
	if now.Before(p.grantedUntil.Add(n.extendForDrift(n.MaxDelegationTime))) {
		return false
	}
	if p.lastRequest > 0 && p.listedRevision == 0 {
		return true
	}
	if p.absentSince.IsZero() || now.Sub(n.list.sentAt) > n.listGrace() {
		return false
	}
	absent := n.list.sentAt.Sub(p.absentSince)
	if absent < n.absenceTimeout() {
		return false
	}
	return n.hasMajority(now) || absent >= n.absenceTimeout()+n.extendForDrift(n.MaxListOutage)
}

// absenceTimeout is how long this VM's reads of the list must not have contained
// a VM before it is dropped: so long that the VM's own reads must not have
// contained it either, and that it must have stopped using its share.
func (n *Node) absenceTimeout() time.Duration {
	return n.extendForDrift(2*n.MaxListAge + n.listGrace())
}

// countedPeers yields the VMs counted besides this one, ordered by address.
func (n *Node) countedPeers() iter.Seq[*peer] {
	return func(yield func(*peer) bool) {
		for _, p := range n.order {
			if (p.counted || p.provisional) && !yield(p) {
				return
			}
		}
	}
}

// hasMajority reports whether this VM and those that it holds valid leases from
// are more than half of the members, or half of them including the one with the
// lowest ID. Members are the counted VMs and those in unconfirmedDrops.
func (n *Node) hasMajority(now time.Time) bool {
	return now.Before(n.majorityUntil(now))
}

// majorityUntil returns until when this VM has a majority if no lease is
// renewed.
func (n *Node) majorityUntil(now time.Time) time.Time {
	lowest, lowestHeldUntil := n.Self, time.Time{}
	ts := make([]time.Time, 0, len(n.order))
	for p := range n.countedPeers() {
		ts = append(ts, p.heldUntil)
		if p.id.Compare(lowest) < 0 {
			lowest, lowestHeldUntil = p.id, p.heldUntil
		}
	}
	for id := range n.unconfirmedDrops {
		ts = append(ts, time.Time{})
		if id.Compare(lowest) < 0 {
			lowest, lowestHeldUntil = id, time.Time{}
		}
	}
	slices.SortFunc(ts, func(a, b time.Time) int { return b.Compare(a) })
	selfUntil := now.Add(n.shortenForDrift(n.LeaseDuration))
	total := len(ts) + 1
	t := selfUntil
	if k := total / 2; k > 0 {
		t = ts[k-1]
	}
	// With an even total, half of the members suffice if they include the one
	// with the lowest ID.
	if total%2 == 1 {
		return t
	}
	h := selfUntil
	if k := total/2 - 1; k > 0 {
		h = ts[k-1]
	}
	if lowest != n.Self && lowestHeldUntil.Before(h) {
		h = lowestHeldUntil
	}
	if h.After(t) {
		return h
	}
	return t
}
