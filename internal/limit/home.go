package limit

import (
	"math"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// milli is the number of units of a level in messages to a token.
const milli = 1000

// asked answers an ask of another VM with tokens of the parts held.
func (b *bucket) asked(f *Fleet, now time.Time, p *peer, a *peerpb.LimitAsk) *peerpb.LimitGrant {
	b.refill(now)
	b.settle(p.id, a)
	if a.GetNumber() == 0 {
		return nil
	}
	b.taker.demand.wanted = now
	g := &peerpb.LimitGrant{Limit: b.id, Number: a.GetNumber(), Unready: b.held <= 0}
	v := min(time.Duration(a.GetValidMs())*time.Millisecond, maxValid)
	n := b.give(f, now, p, a.GetNumber(), b.offer(int(a.GetWant())), v)
	g.Tokens = uint32(n)
	if n < int(a.GetWant()) {
		b.taker.demand.short = now
		g.RetryMs = uint32(b.next().Milliseconds()) + 1
		return g
	}
	k := min(int(a.GetMore()), b.surplus())
	g.Ahead = uint32(b.give(f, now, p, a.GetNumber(), k, aheadValid))
	g.AheadMs = uint32(aheadValid.Milliseconds())
	return g
}

// offer is how many of want tokens there are to give. A VM that holds its own
// share only keeps half for its own requests.
func (b *bucket) offer(want int) int {
	n := b.whole()
	if len(b.loans) == 0 {
		n /= 2
	}
	return min(want, n)
}

// surplus is how many tokens may go out ahead of requests: half of a VM's part
// of what is there.
func (b *bucket) surplus() int {
	return max(0, int(b.available()*b.share/2))
}

// give takes up to n tokens out for another VM and charges them until they can
// no longer be used.
func (b *bucket) give(f *Fleet, now time.Time, p *peer, number uint32, n int, valid time.Duration) int {
	until := now.Add(f.more(valid))
	if !b.kind.counted() {
		n = min(n, int(math.Floor(b.lasting(until)-float64(b.charged)+epsilon)))
	}
	if n <= 0 {
		return 0
	}
	if b.kind.counted() {
		until = now.Add(f.more(valid + b.longest))
	}
	b.spend(n)
	b.charges = append(b.charges, charge{to: p.id, number: number, tokens: n, until: until})
	b.recount()
	return n
}

// settle lowers the charges to what the other VM says is left of the grants
// that it has seen. The tokens that end first were used first.
func (b *bucket) settle(to member.ID, a *peerpb.LimitAsk) {
	left := -int(a.GetHeld())
	for _, c := range b.charges {
		if c.to == to && c.number <= a.GetSeen() {
			left += c.tokens
		}
	}
	for left > 0 {
		c := b.first(to, a.GetSeen())
		n := min(left, c.tokens)
		c.tokens -= n
		left -= n
	}
	b.charges = keep(b.charges, func(c charge) bool { return c.tokens > 0 })
	b.recount()
}

// first returns the charge that ends first of those up to a number.
func (b *bucket) first(to member.ID, number uint32) *charge {
	var r *charge
	for i := range b.charges {
		c := &b.charges[i]
		if c.to != to || c.number > number || c.tokens == 0 {
			continue
		}
		if r == nil || c.until.Before(r.until) {
			r = c
		}
	}
	return r
}

// borrow takes in a loan or its renewal. The level comes once for each serial.
func (b *bucket) borrow(now time.Time, n loan, level float64) {
	b.refill(now)
	if !now.Before(n.until) {
		return
	}
	for i := range b.loans {
		l := &b.loans[i]
		if l.from != n.from {
			continue
		}
		if l.serial == n.serial {
			l.part, l.until = n.part, n.until
			b.recount()
			return
		}
		b.loans = append(b.loans[:i], b.loans[i+1:]...)
		break
	}
	b.loans = append(b.loans, n)
	b.recount()
	b.level += level
	b.clip()
}

// recall stops using the loan of a lender and puts its part of the level aside.
func (b *bucket) recall(now time.Time, from member.ID) {
	b.refill(now)
	for i := range b.loans {
		l := &b.loans[i]
		if l.from == from && !l.recalled {
			l.level = b.split(l.part)
			l.recalled = true
		}
	}
	b.recount()
}

// giveBack ends the recalled loans as far as nothing is out against them.
func (b *bucket) giveBack(now time.Time) []loan {
	b.refill(now)
	if !b.spare(0) {
		return nil
	}
	var rs []loan
	b.loans = keep(b.loans, func(l loan) bool {
		if l.recalled {
			rs = append(rs, l)
		}
		return !l.recalled
	})
	b.recount()
	return rs
}
