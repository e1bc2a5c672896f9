package limit

import (
	"slices"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Take asks for one token or unit of a limit for a request that ends by the
// deadline. It calls done once: at once when it can be decided here, else when
// the home answered or a short time ran out, from Receive, Tick, Set, Members
// or Pause. Without a limit of that key it refuses.
func (f *Fleet) Take(now time.Time, k Key, deadline time.Time, done func(Answer)) {
	b := f.find(k)
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

// TryTake takes a token that is at hand. If there is none it asks the home for
// one, which a later call may find. It is for kinds that come back with time.
func (f *Fleet) TryTake(now time.Time, k Key) bool {
	b := f.find(k)
	if b == nil || b.kind.counted() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.try(f, now)
}

func (f *Fleet) find(k Key) *bucket {
	n := f.buckets.Load()
	if n == nil {
		return nil
	}
	return n.byKey[k]
}

// Return gives back a unit that Take granted.
func (f *Fleet) Return(now time.Time, k Key, g Granted) {
	b := f.find(k)
	if b == nil || !b.kind.counted() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !g.lot {
		b.running = max(0, b.running-1)
		return
	}
	b.release(f, now)
}

// release frees a unit of the lots. When units are scarce, the home hears of it
// at once.
func (b *bucket) release(f *Fleet, now time.Time) {
	t := &b.taker
	t.running = max(0, t.running-1)
	b.trim(now)
	if !t.scarce {
		return
	}
	b.drop()
	if t.home != nil && !t.pending {
		f.post(now, t.home, &peerpb.LimitMessage{Asks: []*peerpb.LimitAsk{b.report()}})
	}
}

// drop gives up the units that are not in use.
func (b *bucket) drop() {
	t := &b.taker
	idle := t.tokens() - t.running
	for i := 0; i < len(t.lots) && idle > 0; i++ {
		n := min(idle, t.lots[i].tokens)
		t.lots[i].tokens -= n
		idle -= n
	}
	t.lots = keep(t.lots, func(l lot) bool { return l.tokens > 0 })
}

// Tick does what is due: it ends waits, gives loans back and renews them.
func (f *Fleet) Tick(now time.Time) {
	f.mu.Lock()
	if f.start.IsZero() || f.paused {
		f.mu.Unlock()
		return
	}
	f.replace(now)
	var rs []reply
	out := map[member.ID]*peerpb.LimitMessage{}
	for _, b := range f.buckets.Load().order {
		b.mu.Lock()
		rs = append(rs, f.step(now, b, out)...)
		b.mu.Unlock()
	}
	for _, id := range sortedIDs(out) {
		if p := f.peers[id]; p != nil {
			f.post(now, p, out[id])
		}
	}
	f.renew(now)
	f.mu.Unlock()
	answer(rs)
}

// step does what is due for one bucket.
func (f *Fleet) step(now time.Time, b *bucket, out map[member.ID]*peerpb.LimitMessage) []reply {
	b.refill(now)
	b.taker.demand.step(now)
	f.giveBack(now, b, out)
	f.announce(now, b)
	f.hasten(now, b)
	rs := b.overdue(f, now)
	t := &b.taker
	b.trim(now)
	if b.kind.counted() && t.home != nil && !t.pending && t.tokens() < t.reported {
		m := message(out, t.home.id)
		m.Asks = append(m.Asks, b.report())
	}
	return rs
}

// hasten renews at once to a home that has no loan yet, and to one whose loan is
// missed here.
func (f *Fleet) hasten(now time.Time, b *bucket) {
	p := b.taker.home
	w := b.share > 0 && b.lent.part == 0
	if b.lent.part > 0 && !b.lent.ending && now.Sub(b.taker.demand.refused) < time.Second {
		p, w = f.peers[b.lent.to], true
	}
	if !w || p == nil || now.Sub(p.hastened) < hastenEvery || (b.wish(now) == 0) != (b.lent.part > 0) {
		return
	}
	p.due, p.hastened = now, now
}

// announce asks for loans at once when a limit that is lent on demand comes into
// use.
func (f *Fleet) announce(now time.Time, b *bucket) {
	t := &b.taker
	use := t.self && !b.kind.always() && now.Sub(t.demand.lastUse()) < idleAfter
	if use && !t.announced {
		for _, p := range f.peers {
			p.due = now
		}
	}
	t.announced = use
}

// Receive takes in a message of another VM, also of one that is not counted yet.
// Messages that are repeated or late are dropped.
func (f *Fleet) Receive(now time.Time, from member.ID, m *peerpb.LimitMessage) {
	f.mu.Lock()
	if f.start.IsZero() || f.paused || m.GetTo() != f.Self.Incarnation {
		f.mu.Unlock()
		return
	}
	p := f.peer(now, from)
	if m.GetSent() <= p.echo {
		f.mu.Unlock()
		return
	}
	p.echo, p.heard = m.GetSent(), now
	if m.GetRenewal() {
		f.renewed(now, p, m)
	}
	f.mu.Unlock()
	f.take(now, p, m)
}

// take takes in what a message says beside loans.
func (f *Fleet) take(now time.Time, p *peer, m *peerpb.LimitMessage) {
	n := f.buckets.Load()
	for _, r := range m.GetReturns() {
		if b := n.byID[r.GetLimit()]; b != nil {
			b.mu.Lock()
			b.returned(now, p.id, r.GetSerial(), float64(r.GetLevel())/milli)
			b.mu.Unlock()
		}
	}
	var gs []*peerpb.LimitGrant
	for _, a := range m.GetAsks() {
		if b := n.byID[a.GetLimit()]; b != nil {
			b.mu.Lock()
			g := b.asked(f, now, p, a)
			b.mu.Unlock()
			gs = append(gs, g)
		}
	}
	gs = slices.DeleteFunc(gs, func(g *peerpb.LimitGrant) bool { return g == nil })
	if len(gs) > 0 {
		f.post(now, p, &peerpb.LimitMessage{Grants: gs})
	}
	for _, g := range m.GetGrants() {
		if b := n.byID[g.GetLimit()]; b != nil {
			b.mu.Lock()
			rs := b.granted(f, now, p, g)
			b.mu.Unlock()
			answer(rs)
		}
	}
}
