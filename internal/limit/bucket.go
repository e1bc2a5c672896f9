package limit

import (
	"math"
	"sync"
	"time"

	"lentilbend.example/internal/member"
)

// epsilon is the error of a sum of fractions, in tokens.
const epsilon = 1e-9

// parts is how many pieces a share is lent in.
const parts = 16

// never is later than any time in use.
var never = time.Unix(1<<40, 0)

// bucket is this VM's part of one limit. Every field below mu is guarded by it.
//
// The parts held are the rest of the own share and the loans that came in. The
// level and the charges together never exceed the burst of the parts held, and
// they grow no faster than their rate.
type bucket struct {
	id   uint32
	kind Kind

	mu   sync.Mutex
	spec Spec
	// at is the time up to which the level is worked out.
	at time.Time
	// level is the number of tokens; unused for kinds that are returned.
	level float64
	// skew is how much slower than this VM's clock tokens come, as a part of 1.
	skew float64

	// share is the own part of the limit, lent or not; 0 when unusable.
	share float64
	// shareUntil ends the own part.
	shareUntil time.Time
	lent       lent
	serial     uint32
	loans      []loan
	charges    []charge
	// charged is the sum of the charges.
	charged int

	// held is the sum of the parts held; change is when it or charged changes
	// next without a message.
	held   float64
	change time.Time

	// running is the number of own requests that hold units of the bucket,
	// runningUntil the latest deadline of any own request.
	running      int
	runningUntil time.Time
	// longest is the longest time that any spec let a unit be held.
	longest time.Duration

	taker taker
}

// lent is the own share while another VM may use a part of it.
type lent struct {
	to     member.ID
	serial uint32
	part   int
	level  float64
	// until is when the part is free again, whatever was lost.
	until time.Time
	// ending says that it is renewed no more.
	ending bool
}

// loan is a part of another VM's share.
type loan struct {
	from   member.ID
	serial uint32
	part   float64
	until  time.Time
	// recalled says that it is used no more and goes back, with level.
	recalled bool
	level    float64
}

// charge is what another VM may still use of tokens given to it.
type charge struct {
	to     member.ID
	number uint32
	tokens int
	until  time.Time
}

// full is the size of the whole limit in tokens or units.
func (b *bucket) full() float64 {
	if b.kind.counted() {
		return float64(b.spec.Units)
	}
	return b.spec.Burst
}

// kept is the part of the own share that is not lent.
func (b *bucket) kept() float64 {
	return b.share * float64(parts-b.lent.part) / parts
}

// recount works out the parts held after a change of them.
func (b *bucket) recount() {
	b.held, b.charged, b.change = 0, 0, never
	if b.share > 0 {
		b.held = b.kept()
		b.until(b.shareUntil)
	}
	if b.lent.part > 0 {
		b.until(b.lent.until)
	}
	for _, l := range b.loans {
		if !l.recalled {
			b.held += l.part
		}
		b.until(l.until)
	}
	for _, c := range b.charges {
		b.charged += c.tokens
		b.until(c.until)
	}
	b.clip()
	b.elect()
}

func (b *bucket) until(t time.Time) {
	if t.Before(b.change) {
		b.change = t
	}
}

func (b *bucket) clip() {
	b.level = max(0, min(b.level, b.held*b.full()-float64(b.charged)))
}

// refill brings the bucket up to now. Time that goes back is ignored.
func (b *bucket) refill(now time.Time) {
	for !now.Before(b.change) {
		b.accrue(b.change)
		b.expire(b.at)
	}
	b.accrue(now)
}

func (b *bucket) accrue(t time.Time) {
	d := t.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = t
	if b.kind.counted() {
		return
	}
	b.level += d.Seconds() * b.spec.Rate * b.held * (1 - b.skew)
	b.clip()
}

// expire drops the parts and charges that have ended.
func (b *bucket) expire(t time.Time) {
	if !t.Before(b.shareUntil) {
		b.share = 0
	}
	if b.lent.part > 0 && !t.Before(b.lent.until) {
		b.lent = lent{}
	}
	b.loans = keep(b.loans, func(l loan) bool { return t.Before(l.until) })
	b.charges = keep(b.charges, func(c charge) bool { return t.Before(c.until) })
	b.recount()
}

func keep[T any](ts []T, ok func(T) bool) []T {
	n := 0
	for _, t := range ts {
		if ok(t) {
			ts[n] = t
			n++
		}
	}
	clear(ts[n:])
	return ts[:n]
}

// available is how many tokens or units could be used at once.
func (b *bucket) available() float64 {
	if b.kind.counted() {
		return b.held*b.full() - float64(b.running+b.charged)
	}
	return b.level
}

// whole is the number of whole tokens or units that could be used at once.
func (b *bucket) whole() int {
	return max(0, int(math.Floor(b.available()+epsilon)))
}

// spend takes n tokens; units are counted by what holds them.
func (b *bucket) spend(n int) {
	if !b.kind.counted() {
		b.level = max(0, b.level-float64(n))
	}
}

// lasting is the burst of the parts that are held beyond t.
func (b *bucket) lasting(t time.Time) float64 {
	var s float64
	if t.Before(b.shareUntil) {
		s = b.kept()
	}
	for _, l := range b.loans {
		if !l.recalled && t.Before(l.until) {
			s += l.part
		}
	}
	return s * b.full()
}

// spare reports whether a part can be given up with nothing out against it.
func (b *bucket) spare(part float64) bool {
	left := (b.held - part) * b.full()
	out := float64(b.charged)
	if b.kind.counted() {
		out += float64(b.running)
	}
	return out <= left+epsilon
}

// split takes the level that goes with a part out of the bucket.
func (b *bucket) split(part float64) float64 {
	if b.held <= 0 {
		return 0
	}
	n := math.Floor(1000*b.level*min(1, part/b.held)) / 1000
	b.level -= n
	return n
}

// next is how long it takes until a whole token is there.
func (b *bucket) next() time.Duration {
	r := b.spec.Rate * b.held
	if b.kind.counted() || r <= 0 {
		return 0
	}
	d := time.Duration((1 - b.level) / r * float64(time.Second))
	return min(max(d, 0), maxRetry)
}
