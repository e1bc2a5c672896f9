package limit

import (
	"slices"
	"time"

	"lentilbend.example/internal/member"
)

// placeEvery is the time between looks at who may be a home.
const placeEvery = 200 * time.Millisecond

// place finds the home of every limit.
func (f *Fleet) place(now time.Time) {
	f.candidates = f.answering(now)
	var rs []reply
	for _, b := range f.buckets.Load().byKey {
		h, ok := home(b.id, f.candidates)
		mine := !f.leaving && (!ok || score(b.id, f.Self.Address) > score(b.id, h.Address))
		b.mu.Lock()
		rs = append(rs, b.move(now, f.peers[h], mine)...)
		b.mu.Unlock()
	}
	answer(rs)
}

// answering returns the other VMs that may be homes: those that answer the
// membership and send renewals. To a VM without a share, which may have no
// promises yet, renewals are enough.
func (f *Fleet) answering(now time.Time) []member.ID {
	var cs []member.ID
	most := 5 * f.period() / 2
	for _, m := range f.members {
		p := f.peers[m.ID]
		if p == nil || m.Leaving || !m.Answering && f.share.Usable {
			continue
		}
		if now.Sub(p.heard) <= most || m.Answering && now.Sub(p.met) <= most {
			cs = append(cs, m.ID)
		}
	}
	return cs
}

// replace looks for other homes when other VMs send renewals than before.
func (f *Fleet) replace(now time.Time) {
	if now.Sub(f.placed) < placeEvery {
		return
	}
	f.placed = now
	if !slices.Equal(f.candidates, f.answering(now)) {
		f.place(now)
	}
}

// move changes the home of a bucket. If it is this VM, p is who is asked while
// this VM has no part of the limit.
func (b *bucket) move(now time.Time, p *peer, mine bool) []reply {
	t := &b.taker
	if t.other == p && t.mine == mine {
		return nil
	}
	t.other, t.mine, t.after = p, mine, time.Time{}
	b.refill(now)
	b.elect()
	return t.dismiss()
}

// elect makes this VM its own home if it is the home and has a part of the
// limit.
func (b *bucket) elect() {
	t := &b.taker
	t.self = t.mine && (b.share > 0 || len(b.loans) > 0 || t.other == nil)
	t.home = t.other
	if t.self {
		t.home = nil
	}
}
