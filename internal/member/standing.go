package member

import "time"

// updateProvisional determines which VMs an inactive VM counts provisionally:
// the answering active VMs and those that they count; or, if no active VM
// answers, all answering VMs, those that they count, and all VMs of the list.
func (n *Node) updateProvisional(now time.Time) {
	hasActive := false
	for _, p := range n.order {
		hasActive = hasActive || p.active && n.answering(now, p)
	}
	for _, p := range n.order {
		p.provisional = false
	}
	appliedViews := map[uint64]bool{}
	for _, p := range n.order {
		if !n.answering(now, p) || hasActive && !p.active {
			continue
		}
		p.provisional = true
		if appliedViews[p.viewDigest] {
			continue
		}
		appliedViews[p.viewDigest] = true
		n.addCandidates(now, p.view)
		for _, id := range p.view {
			n.countProvisionally(id)
		}
	}
	if hasActive {
		return
	}
	for a := range n.list.vms {
		n.countProvisionally(ID{Address: a})
	}
}

// leasedByActive reports whether this VM holds a valid lease from an active VM.
func (n *Node) leasedByActive(now time.Time) bool {
	for _, p := range n.order {
		if p.active && now.Before(p.heldUntil) {
			return true
		}
	}
	return false
}

// countProvisionally counts a known process provisionally, unless it has ended
// or was replaced.
func (n *Node) countProvisionally(id ID) {
	if _, ok := n.ended[id]; ok {
		return
	}
	p := n.peers[id.Address]
	if p == nil || id.Incarnation > 0 && id.Incarnation < p.id.Incarnation {
		return
	}
	p.provisional = true
}

// updateActive determines whether this VM is active, and until when at least.
func (n *Node) updateActive(now time.Time) {
	if n.leaving {
		n.deactivate(now)
		return
	}
	if n.active {
		n.activeUntil = n.leasedUntil(now, n.graceUntil(now))
		if !now.Before(n.activeUntil) {
			n.deactivate(now)
		}
		return
	}
	leased := n.leasedUntil(now, time.Time{})
	if !now.Before(leased) {
		return
	}
	if !n.leasedByActive(now) && !n.canBootstrap(now) && !n.canResume(now) {
		return
	}
	n.active, n.wasActive, n.activeUntil = true, true, leased
	for _, p := range n.order {
		if p.provisional {
			n.startCounting(now, p)
		}
	}
}

// leasedUntil returns until when this VM holds a valid lease from every counted
// VM or needs none. A VM that knows that the list contains this VM does not drop
// it before grace, even if the lease expires.
func (n *Node) leasedUntil(now, grace time.Time) time.Time {
	t := now.Add(n.shortenForDrift(n.LeaseDuration))
	for p := range n.countedPeers() {
		h := p.heldUntil
		if n.active {
			h = latest(h, p.exemptUntil)
		}
		if p.knowsListed {
			h = latest(h, grace)
		}
		if h.Before(t) {
			t = h
		}
	}
	return t
}

// graceUntil returns until when this VM stays active without the leases of VMs
// that do not answer: for listGrace after a read of the list that contains this
// VM, or, if the list cannot be read, while this VM has a majority, for at most
// MaxListOutage.
func (n *Node) graceUntil(now time.Time) time.Time {
	if !n.list.hasSelf {
		return time.Time{}
	}
	last := n.list.sentAt
	t := last.Add(n.shortenForDrift(n.listGrace()))
	if now.Sub(last) < n.listGrace()/2 {
		return t
	}
	m := n.majorityUntil(now)
	if e := last.Add(n.shortenForDrift(n.MaxListOutage)); e.Before(m) {
		m = e
	}
	return latest(t, m)
}

// canBootstrap reports whether this VM may become active without a lease from an
// active VM: a recent read of the list contains this VM, and it holds valid
// leases from all others in the list.
func (n *Node) canBootstrap(now time.Time) bool {
	if now.Sub(n.started) < bootstrapDelay {
		return false
	}
	if !n.list.hasSelf || !n.list.sentAt.After(n.inactiveSince) || now.Sub(n.list.sentAt) > n.LeaseDuration {
		return false
	}
	for a := range n.list.vms {
		if a == n.Self.Address {
			continue
		}
		if p := n.peers[a]; p == nil || !now.Before(p.heldUntil) {
			return false
		}
	}
	return true
}

// canResume reports whether this VM may become active again without a readable
// list: it has dropped no VM since it became inactive. The caller has checked
// that it holds valid leases from all counted VMs.
func (n *Node) canResume(now time.Time) bool {
	if !n.wasActive || n.droppedWhileInactive || n.list.sentAt.After(n.inactiveSince) {
		return false
	}
	for _, p := range n.order {
		if p.counted {
			return true
		}
	}
	return false
}

// updateShare determines the share.
func (n *Node) updateShare(now time.Time) {
	c := 1
	for range n.countedPeers() {
		c++
	}
	s := Share{Count: c, RunningCount: c + len(n.tombstones), Epoch: n.share.Epoch}
	if s.Count != n.share.Count || s.RunningCount != n.share.RunningCount {
		s.Epoch++
	}
	rateFrom, runningFrom := n.rateUsableFrom, n.runningUsableFrom
	for p := range n.countedPeers() {
		rateFrom = latest(rateFrom, p.rateUsableFrom)
		runningFrom = latest(runningFrom, p.runningUsableFrom)
	}
	s.Usable = n.active && !now.Before(rateFrom)
	s.RunningUsable = n.active && !now.Before(runningFrom)
	if n.active {
		s.Until = n.activeUntil
	}
	if s.Usable || s.RunningUsable {
		n.lastUsable = now
	}
	n.share = s
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
