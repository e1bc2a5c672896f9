package limit

import (
	"time"

	"lentilbend.example/internal/peerpb"
)

// granted takes a grant in and answers those that wait.
func (b *bucket) granted(f *Fleet, now time.Time, from *peer, g *peerpb.LimitGrant) []reply {
	t := &b.taker
	if !t.pending || t.home != from || g.GetNumber() != t.number {
		return nil
	}
	b.refill(now)
	t.pending, t.seen = false, g.GetNumber()
	t.measure(now.Sub(t.sent))
	got := int(g.GetTokens())
	b.add(t.sent.Add(f.less(t.valid)), got)
	b.add(t.sent.Add(f.less(time.Duration(g.GetAheadMs())*time.Millisecond)), int(g.GetAhead()))
	t.scarce, t.unready = g.GetAhead() == 0, g.GetUnready()
	short := got < t.asked
	b.pace(now, g, short)
	return b.serve(f, now, short)
}

// measure takes a round trip into the estimate.
func (t *taker) measure(d time.Duration) {
	if t.trip == 0 {
		t.trip = d
	}
	t.trip += (d - t.trip) / 8
}

// add keeps the lots in the order of their ends.
func (b *bucket) add(until time.Time, n int) {
	if n == 0 {
		return
	}
	t := &b.taker
	i := len(t.lots)
	for i > 0 && until.Before(t.lots[i-1].until) {
		i--
	}
	t.lots = append(t.lots, lot{})
	copy(t.lots[i+1:], t.lots[i:])
	t.lots[i] = lot{tokens: n, until: until}
}

// pace spaces the asks for a limit that runs short.
func (b *bucket) pace(now time.Time, g *peerpb.LimitGrant, short bool) {
	t := &b.taker
	if !short {
		t.shorts = max(0, t.shorts-1)
		return
	}
	t.shorts++
	w := shortStep
	if !b.kind.counted() && b.spec.Rate > 0 {
		w = time.Duration(b.spec.Burst / b.spec.Rate / 8 * float64(time.Second))
	}
	w = min(w, time.Duration(t.shorts-1)*shortStep, time.Second)
	t.after = now.Add(max(w, time.Duration(g.GetRetryMs())*time.Millisecond))
}

// serve answers those that wait as far as there are tokens. The others are
// refused if the grant was short, else they ask again.
func (b *bucket) serve(f *Fleet, now time.Time, short bool) []reply {
	t := &b.taker
	var rs []reply
	for len(t.waiting) > 0 {
		w := t.waiting[0]
		switch {
		case !now.Before(w.deadline):
			rs = append(rs, reply{done: w.done, answer: Refused{}})
		case b.useLot(now):
			b.occupy(w.deadline)
			rs = append(rs, reply{done: w.done, answer: Granted{lot: true}})
		case short:
			rs = append(rs, reply{done: w.done, answer: Refused{RetryAfter: t.after.Sub(now), Unready: t.unready}})
		default:
			b.ask(f, now, 0)
			return rs
		}
		t.waiting = t.waiting[1:]
	}
	t.waiting = nil
	return rs
}
