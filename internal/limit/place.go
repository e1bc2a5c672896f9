package limit

import (
	"slices"
	"time"

	"lentilbend.example/internal/member"
)

// candidateCheckInterval is the time between checks of which VMs may own limits.
const candidateCheckInterval = 200 * time.Millisecond

// assignOwners chooses the owner of every limit.
func (f *Fleet) assignOwners(now time.Time) {
	f.candidates = f.ownerCandidates(now)
	var rs []reply
	for _, b := range f.buckets.Load().byKey {
		h, ok := pickOwner(b.id, f.candidates)
		selfFirst := !f.leaving && (!ok || ownerScore(b.id, f.Self.Address) > ownerScore(b.id, h.Address))
		b.mu.Lock()
		rs = append(rs, b.setRanking(now, f.peers[h], selfFirst)...)
		b.mu.Unlock()
	}
	deliver(rs)
}

// ownerCandidates returns the other VMs that may own limits: those from which this
// VM holds a valid lease and which sent a message or became known recently. While
// this VM has no usable share it may not hold leases yet; a recent message then
// suffices.
func (f *Fleet) ownerCandidates(now time.Time) []member.ID {
	var cs []member.ID
	maxAge := 5 * f.renewalPeriod() / 2
	for _, m := range f.members {
		p := f.peers[m.ID]
		if p == nil || m.Leaving || !m.Answering && f.share.Usable {
			continue
		}
		if now.Sub(p.lastReceived) <= maxAge || m.Answering && now.Sub(p.firstSeen) <= maxAge {
			cs = append(cs, m.ID)
		}
	}
	return cs
}

// reassignOwners assigns owners again if the candidates have changed.
func (f *Fleet) reassignOwners(now time.Time) {
	if now.Sub(f.candidatesCheckedAt) < candidateCheckInterval {
		return
	}
	f.candidatesCheckedAt = now
	if !slices.Equal(f.candidates, f.ownerCandidates(now)) {
		f.assignOwners(now)
	}
}

// setRanking sets the best-ranked other VM, and whether this VM ranks before it. If
// they changed, the waiting requests are refused.
func (b *bucket) setRanking(now time.Time, p *peer, selfFirst bool) []reply {
	c := &b.client
	if c.bestOther == p && c.selfFirst == selfFirst {
		return nil
	}
	c.bestOther, c.selfFirst, c.nextRequest = p, selfFirst, time.Time{}
	b.refill(now)
	b.updateOwner()
	return c.refuseWaiting()
}

// updateOwner makes this VM the owner if it ranks first and has a part of the
// limit or no other VM may own it; otherwise the best-ranked other VM is the owner.
func (b *bucket) updateOwner() {
	c := &b.client
	c.isOwner = c.selfFirst && (b.share > 0 || len(b.received) > 0 || c.bestOther == nil)
	c.owner = c.bestOther
	if c.isOwner {
		c.owner = nil
	}
}
