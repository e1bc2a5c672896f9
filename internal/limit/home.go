package limit

import (
	"math"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// milliTokens is the number of thousandths per token; messages state levels in
// thousandths.
const milliTokens = 1000

// handleTokenRequest answers a token request of another VM from the fraction held.
// It returns nil for a request that only reports how many tokens that VM holds.
func (b *bucket) handleTokenRequest(f *Fleet, now time.Time, p *peer, a *peerpb.LimitAsk) *peerpb.LimitGrant {
	b.refill(now)
	b.settleGrants(p.id, a)
	if a.GetNumber() == 0 {
		return nil
	}
	b.client.demand.lastRemoteRequest = now
	g := &peerpb.LimitGrant{Limit: b.id, Number: a.GetNumber(), Unready: b.heldFraction <= 0}
	v := min(time.Duration(a.GetValidMs())*time.Millisecond, maxTokenValidity)
	n := b.grant(f, now, p, a.GetNumber(), b.grantable(int(a.GetWant())), v)
	g.Tokens = uint32(n)
	if n < int(a.GetWant()) {
		b.client.demand.lastRemoteShortage = now
		g.RetryMs = uint32(b.nextTokenIn().Milliseconds()) + 1
		return g
	}
	k := min(int(a.GetMore()), b.prefetchable())
	g.Ahead = uint32(b.grant(f, now, p, a.GetNumber(), k, prefetchValidity))
	g.AheadMs = uint32(prefetchValidity.Milliseconds())
	return g
}

// grantable is how many of want tokens can be granted. A VM that holds only its
// own share reserves half of the tokens for its own requests.
func (b *bucket) grantable(want int) int {
	n := b.wholeAvailable()
	if len(b.received) == 0 {
		n /= 2
	}
	return min(want, n)
}

// prefetchable is how many tokens may be granted ahead of demand: half of one
// VM's share of the tokens available.
func (b *bucket) prefetchable() int {
	return max(0, int(b.available()*b.share/2))
}

// grant takes up to n tokens for another VM and records them as outstanding until
// they can no longer be used.
func (b *bucket) grant(f *Fleet, now time.Time, p *peer, number uint32, n int, valid time.Duration) int {
	until := now.Add(f.extendForDrift(valid))
	if !b.kind.limitsConcurrency() {
		n = min(n, int(math.Floor(b.capacityBeyond(until)-float64(b.outstandingTokens)+epsilon)))
	}
	if n <= 0 {
		return 0
	}
	if b.kind.limitsConcurrency() {
		until = now.Add(f.extendForDrift(valid + b.maxHoldTime))
	}
	b.spend(n)
	b.outstanding = append(b.outstanding, grantRecord{to: p.id, number: number, tokens: n, until: until})
	b.recompute()
	return n
}

// settleGrants lowers the outstanding tokens to the number that the other VM
// reports as still held of the grants it has received. It assumes that the VM
// used the tokens that expire first.
func (b *bucket) settleGrants(to member.ID, a *peerpb.LimitAsk) {
	left := -int(a.GetHeld())
	for _, g := range b.outstanding {
		if g.to == to && g.number <= a.GetSeen() {
			left += g.tokens
		}
	}
	for left > 0 {
		g := b.earliestExpiring(to, a.GetSeen())
		n := min(left, g.tokens)
		g.tokens -= n
		left -= n
	}
	b.outstanding = filterInPlace(b.outstanding, func(g grantRecord) bool { return g.tokens > 0 })
	b.recompute()
}

// earliestExpiring returns the grant to a VM that expires first among those up to
// a request number.
func (b *bucket) earliestExpiring(to member.ID, number uint32) *grantRecord {
	var r *grantRecord
	for i := range b.outstanding {
		g := &b.outstanding[i]
		if g.to != to || g.number > number || g.tokens == 0 {
			continue
		}
		if r == nil || g.until.Before(r.until) {
			r = g
		}
	}
	return r
}

// addDelegation adds or renews a delegation. The caller passes its level only
// once per serial number.
func (b *bucket) addDelegation(now time.Time, n delegationIn, level float64) {
	b.refill(now)
	if !now.Before(n.until) {
		return
	}
	for i := range b.received {
		d := &b.received[i]
		if d.from != n.from {
			continue
		}
		if d.serial == n.serial {
			d.fraction, d.until = n.fraction, n.until
			b.recompute()
			return
		}
		b.received = append(b.received[:i], b.received[i+1:]...)
		break
	}
	b.received = append(b.received, n)
	b.recompute()
	b.level += level
	b.clampLevel()
}

// revoke stops using the delegation of a VM and sets its tokens aside.
func (b *bucket) revoke(now time.Time, from member.ID) {
	b.refill(now)
	for i := range b.received {
		d := &b.received[i]
		if d.from == from && !d.revoked {
			d.level = b.splitLevel(d.fraction)
			d.revoked = true
		}
	}
	b.recompute()
}

// removeRevoked removes and returns the revoked delegations once no running
// request or outstanding grant depends on them.
func (b *bucket) removeRevoked(now time.Time) []delegationIn {
	b.refill(now)
	if !b.canGiveUp(0) {
		return nil
	}
	var rs []delegationIn
	b.received = filterInPlace(b.received, func(d delegationIn) bool {
		if d.revoked {
			rs = append(rs, d)
		}
		return !d.revoked
	})
	b.recompute()
	return rs
}
