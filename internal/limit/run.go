package limit

import (
	"slices"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Take requests one token or permit of a limit for a request that ends by the
// deadline. It calls done exactly once: immediately if the decision can be made
// here, otherwise from Receive, Tick, Set, SetMembers, Leave or Pause, when
// the owner has answered or a short timeout has expired. It refuses if there is
// no limit with that key.
func (f *Fleet) Take(now time.Time, k Key, deadline time.Time, done func(Answer)) {
	b := f.findBucket(k)
	if b == nil {
		done(Refused{})
		return
	}
	b.mu.Lock()
	a := b.take(f, now, deadline, done)
	b.mu.Unlock()
	if a != nil {
		done(a)
	}
}

// TryTake takes a token without waiting. If none is available here it requests one
// from the owner for a later call. It returns false for limits on concurrent
// requests.
func (f *Fleet) TryTake(now time.Time, k Key) bool {
	b := f.findBucket(k)
	if b == nil || b.kind.limitsConcurrency() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryTake(f, now)
}

func (f *Fleet) findBucket(k Key) *bucket {
	n := f.buckets.Load()
	if n == nil {
		return nil
	}
	return n.byKey[k]
}

// Return returns a permit that Take granted.
func (f *Fleet) Return(now time.Time, k Key, g Granted) {
	b := f.findBucket(k)
	if b == nil || !b.kind.limitsConcurrency() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !g.fromOwner {
		b.running = max(0, b.running-1)
		return
	}
	b.releasePermit(f, now)
}

// releasePermit releases a permit that the owner granted. If permits are scarce,
// all idle ones are returned to the owner at once.
func (b *bucket) releasePermit(f *Fleet, now time.Time) {
	c := &b.client
	c.running = max(0, c.running-1)
	b.dropExpiredBatches(now)
	if !c.scarce {
		return
	}
	b.dropIdle()
	if c.owner != nil && !c.pending {
		f.send(now, c.owner, &peerpb.LimitMessage{Asks: []*peerpb.LimitAsk{b.usageReport()}})
	}
}

// dropIdle drops the permits that are not in use.
func (b *bucket) dropIdle() {
	c := &b.client
	idle := c.tokens() - c.running
	for i := 0; i < len(c.batches) && idle > 0; i++ {
		n := min(idle, c.batches[i].tokens)
		c.batches[i].tokens -= n
		idle -= n
	}
	c.batches = filterInPlace(c.batches, func(t tokenBatch) bool { return t.tokens > 0 })
}

// Tick handles timeouts, returns delegations and sends renewals that are due.
func (f *Fleet) Tick(now time.Time) {
	f.mu.Lock()
	if f.startedAt.IsZero() || f.paused {
		f.mu.Unlock()
		return
	}
	f.reassignOwners(now)
	var rs []reply
	out := map[member.ID]*peerpb.LimitMessage{}
	for _, b := range f.buckets.Load().order {
		b.mu.Lock()
		rs = append(rs, f.tickBucket(now, b, out)...)
		b.mu.Unlock()
	}
	for _, id := range sortedIDs(out) {
		if p := f.peers[id]; p != nil {
			f.send(now, p, out[id])
		}
	}
	f.sendRenewals(now)
	f.mu.Unlock()
	deliver(rs)
}

// tickBucket does what is due for one bucket and adds messages to out.
func (f *Fleet) tickBucket(now time.Time, b *bucket, out map[member.ID]*peerpb.LimitMessage) []reply {
	b.refill(now)
	b.client.demand.update(now)
	f.returnDelegations(now, b, out)
	f.requestDelegations(now, b)
	f.renewEarly(now, b)
	rs := b.handleTimeout(f, now)
	c := &b.client
	b.dropExpiredBatches(now)
	if b.kind.limitsConcurrency() && c.owner != nil && !c.pending && c.tokens() < c.reportedTokens {
		m := messageTo(out, c.owner.id)
		m.Asks = append(m.Asks, b.usageReport())
	}
	return rs
}

// renewEarly schedules a renewal at once if pieces should be delegated and none
// are yet, or if a delegation should end since requests here lack its tokens.
func (f *Fleet) renewEarly(now time.Time, b *bucket) {
	p := b.client.owner
	w := b.share > 0 && b.delegated.pieces == 0
	if b.delegated.pieces > 0 && !b.delegated.ending && now.Sub(b.client.demand.lastLocalShortage) < time.Second {
		p, w = f.peers[b.delegated.to], true
	}
	if !w || p == nil || now.Sub(p.lastEarlyRenewal) < earlyRenewalInterval || (b.targetPieces(now) == 0) != (b.delegated.pieces > 0) {
		return
	}
	p.nextRenewal, p.lastEarlyRenewal = now, now
}

// requestDelegations asks all peers for delegations as soon as a limit that this
// VM owns and that is delegated on demand comes into use.
func (f *Fleet) requestDelegations(now time.Time, b *bucket) {
	c := &b.client
	use := c.isOwner && !b.kind.delegatedWithoutDemand() && now.Sub(c.demand.lastUse()) < idleTimeout
	if use && !c.delegationsWanted {
		for _, p := range f.peers {
			p.nextRenewal = now
		}
	}
	c.delegationsWanted = use
}

// Receive applies a message from another VM, even from one that is not a member
// yet. Duplicated and reordered messages are dropped.
func (f *Fleet) Receive(now time.Time, from member.ID, m *peerpb.LimitMessage) {
	f.mu.Lock()
	if f.startedAt.IsZero() || f.paused || m.GetTo() != f.Self.Incarnation {
		f.mu.Unlock()
		return
	}
	p := f.ensurePeer(now, from)
	if m.GetSent() <= p.lastTimestamp {
		f.mu.Unlock()
		return
	}
	p.lastTimestamp, p.lastReceived = m.GetSent(), now
	if m.GetRenewal() {
		f.applyRenewal(now, p, m)
	}
	f.mu.Unlock()
	f.applyMessage(now, p, m)
}

// applyMessage applies a message except for its delegations.
func (f *Fleet) applyMessage(now time.Time, p *peer, m *peerpb.LimitMessage) {
	n := f.buckets.Load()
	for _, r := range m.GetReturns() {
		if b := n.byID[r.GetLimit()]; b != nil {
			b.mu.Lock()
			b.endDelegation(now, p.id, r.GetSerial(), float64(r.GetLevel())/milliTokens)
			b.mu.Unlock()
		}
	}
	var gs []*peerpb.LimitGrant
	for _, a := range m.GetAsks() {
		if b := n.byID[a.GetLimit()]; b != nil {
			b.mu.Lock()
			g := b.handleTokenRequest(f, now, p, a)
			b.mu.Unlock()
			gs = append(gs, g)
		}
	}
	gs = slices.DeleteFunc(gs, func(g *peerpb.LimitGrant) bool { return g == nil })
	if len(gs) > 0 {
		f.send(now, p, &peerpb.LimitMessage{Grants: gs})
	}
	for _, g := range m.GetGrants() {
		if b := n.byID[g.GetLimit()]; b != nil {
			b.mu.Lock()
			rs := b.applyGrant(f, now, p, g)
			b.mu.Unlock()
			deliver(rs)
		}
	}
}
