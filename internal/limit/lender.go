package limit

import (
	"math"
	"time"

	"lentilbend.example/internal/member"
)

// Bounds of lending.
const (
	// keepTokens and keepUnits are the sizes of an own share that is used by
	// its VM; smaller ones are lent whole.
	keepTokens = 64
	keepUnits  = 8
	// tinyTokens is the size of an own share below which all of it is lent,
	// smallPart the part lent of one between the two.
	tinyTokens = 8
	smallPart  = 4
	// keepFactor is how far an own share exceeds the demand on it.
	keepFactor = 1.25
	// scarceFactor is the same while the home runs short.
	scarceFactor = 1.02
	// partStep is the least change of a part that is lent, in pieces.
	partStep = 4
	// idlePart is the part lent of a large number of units without demand.
	idlePart = 12
	// idleRate is the demand below which a share is idle, in requests a second.
	idleRate = 0.1
	// easyPart is the most that is lent of a large share while its home has
	// enough, and wantedFor how long a word that it has not counts.
	easyPart  = 8
	wantedFor = 10 * time.Second
	// settled is how long a demand is watched before a large share is lent.
	settled = 5 * time.Second
	// idleAfter is how long an unused limit is lent whose kind is lent on
	// demand.
	idleAfter = time.Minute
)

// wish is how many pieces of the own share should be lent to the home.
func (b *bucket) wish(now time.Time) int {
	t := &b.taker
	if t.self || t.home == nil {
		return 0
	}
	if !b.kind.always() && now.Sub(t.demand.lastUse()) > idleAfter {
		return 0
	}
	own := b.share * b.full()
	switch {
	case b.large():
	case b.kind.counted():
		return lentUnits(own)
	default:
		return lentTokens(own)
	}
	if t.demand.since.IsZero() || now.Sub(t.demand.since) < settled || now.Sub(t.demand.refused) < settled {
		return 0
	}
	if b.kind.counted() {
		if t.demand.rate < idleRate && b.running == 0 {
			return idlePart
		}
		return 0
	}
	r := b.share * b.spec.Rate
	if r <= 0 {
		return 0
	}
	if now.Sub(t.demand.wanted) > wantedFor {
		return min(easyPart, max(0, int(parts*(1-keepFactor*t.demand.rate/r))))
	}
	return min(parts-1, max(0, int(parts*(1-scarceFactor*t.demand.rate/r))))
}

// lend starts or renews the loan of a part of the own share. It returns false
// if there is none to p.
func (b *bucket) lend(now time.Time, p member.ID, until time.Time) bool {
	b.refill(now)
	w := b.wish(now)
	if w > 0 && b.taker.home.id != p {
		w = 0
	}
	if b.lent.part > 0 {
		return b.renew(w, p, until)
	}
	if w == 0 || b.share <= 0 || !b.spare(b.share*float64(w)/parts) {
		return false
	}
	b.serial++
	n := lent{to: p, serial: b.serial, part: w, until: until}
	n.level = b.split(b.share * float64(w) / parts)
	b.lent = n
	b.recount()
	return true
}

// renew extends a loan whose part is still near what should be lent.
func (b *bucket) renew(w int, p member.ID, until time.Time) bool {
	d := w - b.lent.part
	if b.lent.to != p || w == 0 || b.share <= 0 || d >= partStep || -d >= partStep || b.lent.ending {
		b.lent.ending = b.lent.ending || b.lent.to == p
		return false
	}
	if until.After(b.lent.until) {
		b.lent.until = until
		b.recount()
	}
	return true
}

// returned ends the loan before its time.
func (b *bucket) returned(now time.Time, from member.ID, serial uint32, level float64) {
	b.refill(now)
	if b.lent.part == 0 || b.lent.to != from || b.lent.serial != serial {
		return
	}
	b.lent = lent{}
	b.recount()
	b.level += level
	b.clip()
}

// large reports whether the own share serves its VM by itself.
func (b *bucket) large() bool {
	if b.kind.counted() {
		return b.share*b.full() >= keepUnits
	}
	return b.share*b.full() >= keepTokens
}

// lentTokens is the part to lend of a small share of a rate. Unless it is tiny
// most of it stays, since the requests here use it up anyway, and go on when the
// home is lost.
func lentTokens(own float64) int {
	if own < tinyTokens {
		return parts
	}
	return smallPart
}

// lentUnits is the part to lend of a small number of units: half of the whole
// ones stay, so that some work can go on when the home is lost.
func lentUnits(own float64) int {
	if own < 2 {
		return parts
	}
	return int(parts * (1 - math.Floor(own/2)/own))
}
