package limit

import (
	"time"

	"lentilbend.example/internal/member"
)

// place finds the home of every limit.
func (f *Fleet) place(now time.Time) {
	var cs []member.ID
	if !f.leaving {
		cs = append(cs, f.Self)
	}
	for _, m := range f.members {
		if m.Answering && !m.Leaving && m.ID != f.Self {
			cs = append(cs, m.ID)
		}
	}
	var rs []reply
	for _, b := range f.buckets.Load().byKey {
		h, ok := home(b.id, cs)
		b.mu.Lock()
		rs = append(rs, b.move(now, f.peers[h], ok && h == f.Self)...)
		b.mu.Unlock()
	}
	answer(rs)
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
