package limit

import (
	"maps"
	"time"

	"lentilbend.example/internal/member"
)

// avoidFor is how long a VM that said it has no part of a limit is not asked
// for it again.
const avoidFor = 5 * time.Second

// candidate is a VM that may be the home of limits.
type candidate struct {
	id member.ID
	// peer is nil for this VM.
	peer *peer
}

// place finds the home of every limit.
func (f *Fleet) place(now time.Time) {
	var cs []candidate
	if !f.leaving {
		cs = append(cs, candidate{id: f.Self})
	}
	for _, m := range f.members {
		if m.Answering && !m.Leaving && m.ID != f.Self {
			cs = append(cs, candidate{id: m.ID, peer: f.peers[m.ID]})
		}
	}
	f.candidates.Store(&cs)
	var rs []reply
	for _, b := range f.buckets.Load().byKey {
		b.mu.Lock()
		rs = append(rs, b.settleHome(f, now)...)
		b.mu.Unlock()
	}
	answer(rs)
}

// settleHome moves the bucket to the candidate with the highest score that may
// have a part of the limit.
func (b *bucket) settleHome(f *Fleet, now time.Time) []reply {
	cs := *f.candidates.Load()
	c, ok := b.highest(cs, func(candidate) bool { return true })
	b.taker.astray = ok && !b.hasPart(now, c)
	if b.taker.astray {
		if d, found := b.highest(cs, func(c candidate) bool { return b.hasPart(now, c) }); found {
			c = d
		}
	}
	return b.move(now, c.peer, ok && c.peer == nil)
}

// highest returns the candidate with the highest score among those that fit.
func (b *bucket) highest(cs []candidate, fits func(candidate) bool) (candidate, bool) {
	var best candidate
	var top uint64
	found := false
	for _, c := range cs {
		if s := score(b.id, c.id.Address); fits(c) && (!found || s > top) {
			best, top, found = c, s, true
		}
	}
	return best, found
}

// hasPart tells whether a candidate may have a part of the limit, as far as is
// known here. A VM that has started lately may have none.
func (b *bucket) hasPart(now time.Time, c candidate) bool {
	if c.peer == nil {
		return b.share > 0 || b.held > 0
	}
	return !now.Before(b.taker.avoided[c.id])
}

// avoid leaves a home that said that it has no part of the limit.
func (b *bucket) avoid(f *Fleet, now time.Time, p *peer) []reply {
	t := &b.taker
	if t.avoided == nil {
		t.avoided = map[member.ID]time.Time{}
	}
	maps.DeleteFunc(t.avoided, func(_ member.ID, u time.Time) bool { return !now.Before(u) })
	t.avoided[p.id] = now.Add(avoidFor)
	return b.settleHome(f, now)
}

// move changes the home of a bucket.
func (b *bucket) move(now time.Time, p *peer, self bool) []reply {
	t := &b.taker
	if t.home == p && t.self == self {
		return nil
	}
	t.home, t.self, t.after = p, self, time.Time{}
	if self {
		return t.dismiss()
	}
	var rs []reply
	if t.pending || p == nil {
		rs = t.dismiss()
	}
	for _, l := range b.loans {
		b.recall(now, l.from)
	}
	return rs
}
