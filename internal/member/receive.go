package member

import (
	"slices"
	"time"

	"lentilbend.example/internal/peerpb"
)

// Receive applies a message from another VM, and returns the messages to send.
func (n *Node) Receive(now time.Time, from ID, m *peerpb.MemberMessage) []Envelope {
	n.initialize(now)
	n.checkActive(now)
	if from.Address == n.Self.Address {
		return nil
	}
	p := n.ensurePeer(now, from)
	if p == nil {
		return nil
	}
	p.lastContact, p.absentSince = now, time.Time{}
	delete(n.unconfirmedDrops, from)
	if m.GetRelease() {
		n.handleRelease(now, p, m)
		n.update(now)
		return n.dueMessages(now)
	}
	n.acceptLease(now, p, m)
	if m.GetRequest() > 0 && !m.GetProbe() && !n.leaving {
		n.grantLease(now, p, m)
	}
	n.update(now)
	var ss []Envelope
	if m.GetRequest() > 0 {
		ss = append(ss, n.answerRequest(now, p, m))
	}
	return append(ss, n.dueMessages(now)...)
}

// ensurePeer returns the state kept about a process, and adds it if it is new.
// It returns nil if the process has ended, a later one runs at its address, or
// its incarnation is unknown.
func (n *Node) ensurePeer(now time.Time, id ID) *peer {
	if _, ok := n.ended[id]; ok || id.Incarnation == 0 {
		return nil
	}
	p := n.peers[id.Address]
	if p == nil {
		p = &peer{id: id, knownAt: now}
		n.addPeer(p)
		return p
	}
	if id.Incarnation < p.id.Incarnation {
		return nil
	}
	if id.Incarnation > p.id.Incarnation {
		p = n.replacePeer(now, p, id)
	}
	return p
}

// replacePeer replaces a process by a later one at the same address. The
// earlier one has ended, because only one process at a time uses an address.
func (n *Node) replacePeer(now time.Time, p *peer, id ID) *peer {
	o := &peer{id: id, knownAt: now, dataCentre: p.dataCentre, leaving: p.leaving, provisional: p.provisional}
	n.addPeer(o)
	if p.id.Incarnation == 0 {
		return o
	}
	n.inheritWaits(p)
	if p.counted || p.provisional {
		n.addTombstone(now, p.id, n.runningEnd(now, p))
	}
	if p.counted {
		n.startCounting(now, o)
	}
	n.markEnded(now, p.id)
	return o
}

// inheritWaits keeps waiting as long as the lease of an ended VM demands.
func (n *Node) inheritWaits(p *peer) {
	n.rateUsableFrom = latest(n.rateUsableFrom, p.rateUsableFrom)
	n.runningUsableFrom = latest(n.runningUsableFrom, p.runningUsableFrom)
}

// runningEnd returns the time by which the last request of an ended process
// ends.
func (n *Node) runningEnd(now time.Time, p *peer) time.Time {
	if !p.runningUntil.IsZero() {
		return p.runningUntil
	}
	return now.Add(n.extendForDrift(n.MaxRequestTime))
}

// addTombstone keeps counting an ended process for limits on running requests.
// An inactive VM also waits for the end of these requests and of the process's
// delegations, since they may have begun before this VM was counted.
func (n *Node) addTombstone(now time.Time, id ID, until time.Time) {
	n.tombstones[id] = latest(n.tombstones[id], until)
	if !n.active {
		n.rateUsableFrom = latest(n.rateUsableFrom, now.Add(n.extendForDrift(n.MaxDelegationTime)))
		n.runningUsableFrom = latest(n.runningUsableFrom, until)
	}
}

// markEnded remembers that a process ended, so that delayed messages do not add
// it again.
func (n *Node) markEnded(now time.Time, id ID) {
	n.ended[id] = now.Add(n.endedRetention())
}

// endedRetention returns how long to remember that a process ended.
func (n *Node) endedRetention() time.Duration {
	return n.extendForDrift(n.LeaseDuration) + n.MaxListOutage
}

// recentlyEnded reports whether a process that is remembered until t ended so
// recently that other VMs may not know it yet.
func (n *Node) recentlyEnded(now, t time.Time) bool {
	return t.Sub(now) > n.endedRetention()-2*n.LeaseDuration
}

// startCounting makes a VM counted, and sets the times until which it must wait
// for this VM's earlier delegations and requests.
func (n *Node) startCounting(now time.Time, p *peer) {
	if p.counted {
		return
	}
	p.counted = true
	p.exemptUntil = now.Add(n.shortenForDrift(n.LeaseDuration) / 4)
	if n.lastUsable.IsZero() {
		return
	}
	p.rateClearAt = now.Add(n.extendForDrift(n.MaxDelegationTime))
	p.runningClearAt = p.rateClearAt
	if n.LatestDeadline == nil {
		return
	}
	if t := n.LatestDeadline(now); t.After(p.runningClearAt) {
		p.runningClearAt = now.Add(n.extendForDrift(t.Sub(now)))
	}
}

// handleRelease notes that a VM gives up its share.
func (n *Node) handleRelease(now time.Time, p *peer, m *peerpb.MemberMessage) {
	p.leaving = true
	if !p.dropAt.IsZero() {
		return
	}
	p.dropAt = now.Add(n.extendForDrift(milliseconds(m.GetWait())))
	p.runningUntil = now.Add(n.extendForDrift(milliseconds(m.GetRunningWait())))
}

// applyView applies the sender's view, which comes with a lease or the answer to
// a probe.
func (n *Node) applyView(now time.Time, p *peer, m *peerpb.MemberMessage) {
	p.view = p.view[:0]
	p.viewDigest = m.GetDigest()
	for _, e := range m.GetView() {
		id, ok := decodeID(e)
		switch t := milliseconds(e.GetRunningOnly()); {
		case !ok:
		case e.GetEnded():
			n.handleEnded(now, id, t)
		case t > 0 && !n.active:
			n.addTombstone(now, id, now.Add(n.extendForDrift(t)))
		case t > 0:
		case id.Address == n.Self.Address:
			n.newerIncarnation = max(n.newerIncarnation, id.Incarnation)
		default:
			p.view = append(p.view, id)
		}
	}
	n.addCandidates(now, p.view)
}

// handleEnded notes that, according to another VM, a process released its share
// or was replaced. Its delegations may still be valid.
func (n *Node) handleEnded(now time.Time, id ID, running time.Duration) {
	p := n.peers[id.Address]
	if p != nil && p.id == id && p.dropAt.IsZero() {
		p.dropAt = now.Add(n.extendForDrift(n.MaxDelegationTime))
		p.runningUntil = now.Add(n.extendForDrift(running))
		return
	}
	if running > 0 && !n.active {
		n.addTombstone(now, id, now.Add(n.extendForDrift(running)))
	}
	if _, ok := n.ended[id]; !ok && (p == nil || p.id != id) {
		n.markEnded(now, id)
	}
}

// addCandidates adds the processes of a view, so that they get requests.
func (n *Node) addCandidates(now time.Time, ids []ID) {
	for _, id := range ids {
		if id.Incarnation > 0 {
			n.ensurePeer(now, id)
			continue
		}
		if n.peers[id.Address] == nil {
			n.addPeer(&peer{id: id, knownAt: now})
		}
	}
}

// acceptLease accepts a lease or the answer to a probe, if m contains one. If
// this VM does not know the view that the sender had at that time, it ignores the
// answer and sends a new request.
func (n *Node) acceptLease(now time.Time, p *peer, m *peerpb.MemberMessage) {
	i := slices.IndexFunc(p.pending, func(r request) bool { return r.sequence == m.GetGrant() })
	if i < 0 {
		return
	}
	r := p.pending[i]
	switch {
	case m.GetHasView():
		n.applyView(now, p, m)
	case m.GetDigest() == p.viewDigest:
	case m.GetDigest() == r.digest && r.digest == n.digest:
		p.view = n.countedExcept(p.id)
		p.viewDigest = r.digest
	default:
		p.nextRequestAt = now
		return
	}
	p.pending = p.pending[i+1:]
	p.active = m.GetStanding()
	if m.GetProbe() {
		p.probeValidUntil = r.sentAt.Add(n.shortenForDrift(n.LeaseDuration))
		return
	}
	p.rateUsableFrom = now.Add(n.extendForDrift(milliseconds(m.GetWait())))
	p.runningUsableFrom = now.Add(n.extendForDrift(milliseconds(m.GetRunningWait())))
	p.knowsListed = p.knowsListed || r.listed && r.sequence > p.lastUnlistedRequest
	if t := r.sentAt.Add(n.shortenForDrift(n.LeaseDuration)); t.After(p.heldUntil) {
		p.heldUntil = t
	}
}

// answerRequest answers a request with a lease, or a probe with the view only.
func (n *Node) answerRequest(now time.Time, p *peer, m *peerpb.MemberMessage) Envelope {
	if n.leaving {
		return n.releaseMessage(now, p)
	}
	waitUntil := p.rateClearAt
	// Two inactive VMs both wait for the delegations of the ended processes that
	// either of them knows.
	if !n.active && !m.GetStanding() {
		waitUntil = latest(waitUntil, n.rateUsableFrom)
	}
	o := &peerpb.MemberMessage{
		Grant:       m.GetRequest(),
		Probe:       m.GetProbe(),
		Digest:      n.digest,
		Standing:    n.active,
		Wait:        millisecondsUntil(now, waitUntil),
		RunningWait: millisecondsUntil(now, p.runningClearAt),
	}
	if m.GetDigest() != n.digest && m.GetSeen() != n.digest {
		o.HasView = true
		o.View = n.buildView(now, p.id)
	}
	if p.nextRequestAt.Sub(now) < n.LeaseDuration/6 && n.probing(now) == m.GetProbe() && !p.requestInFlight(now) {
		n.addRequest(now, p, o)
	}
	return Envelope{To: p.id, Message: o}
}

// requestInFlight reports whether a request was sent so recently that its answer
// may still come. Without this check, each of many messages that arrive at once,
// as after a pause, would start an exchange, and the new requests would push the
// earlier ones out of the pending list.
func (p *peer) requestInFlight(now time.Time) bool {
	k := len(p.pending)
	return k > 0 && now.Sub(p.pending[k-1].sentAt) < retryInterval/2
}

// grantLease counts a VM, and sets the expiry of the lease that it gets.
func (n *Node) grantLease(now time.Time, p *peer, m *peerpb.MemberMessage) {
	n.startCounting(now, p)
	p.grantedUntil = now.Add(n.extendForDrift(n.LeaseDuration))
	if m.GetRequest() > p.lastRequest {
		p.lastRequest, p.listedRevision = m.GetRequest(), m.GetListed()
	}
}

// releaseMessage returns the message that this VM releases its share.
func (n *Node) releaseMessage(now time.Time, p *peer) Envelope {
	p.nextRequestAt = now.Add(retryInterval)
	o := &peerpb.MemberMessage{
		Release: true,
		Wait:    millisecondsUntil(now, n.releasedAt.Add(n.extendForDrift(n.MaxDelegationTime))),
	}
	o.RunningWait = o.Wait
	if n.LatestDeadline != nil {
		o.RunningWait = max(o.Wait, millisecondsUntil(now, n.LatestDeadline(now)))
	}
	return Envelope{To: p.id, Message: o}
}
