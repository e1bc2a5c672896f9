package limit

import (
	"math"
	"sync"
	"time"

	"lentilbend.example/internal/member"
)

// epsilon is the tolerated rounding error of a sum of fractions, in tokens.
const epsilon = 1e-9

// sharePieces is the number of equal pieces into which a share is divided for
// delegation.
const sharePieces = 16

// never is later than any time in use.
var never = time.Unix(1<<40, 0)

// bucket is this VM's part of one limit. Every field below mu is guarded by it.
//
// The VM holds the part of its share that is not delegated, and the delegations
// received from other VMs. The level and the outstanding tokens together never
// exceed the burst of the fraction held, and grow no faster than its rate.
type bucket struct {
	id   uint32
	kind Kind

	mu   sync.Mutex
	spec Spec
	// refilledAt is the time of the last refill.
	refilledAt time.Time
	// level is the number of tokens; unused for limits on concurrent requests.
	level float64
	// longTermDrift is the fraction by which refilling is slowed, since this
	// VM's clock may run fast.
	longTermDrift float64

	// share is this VM's fraction of the limit, including what it has delegated;
	// 0 while unusable.
	share float64
	// shareExpiry is when the share becomes unusable unless it is extended.
	shareExpiry time.Time
	delegated   delegationOut
	// serial numbers the delegations of this VM's share.
	serial      uint32
	received    []delegationIn
	outstanding []grantRecord
	// outstandingTokens is the sum over outstanding.
	outstandingTokens int

	// heldFraction is the fraction of the limit that this VM holds; nextChange is
	// when it or outstandingTokens next changes because something expires.
	heldFraction float64
	nextChange   time.Time

	// running is the number of this VM's requests that hold permits of the
	// bucket. runningUntil is the latest deadline of all requests that got a
	// permit here, from the bucket or from the owner.
	running      int
	runningUntil time.Time
	// maxHoldTime is the longest time that any spec so far let a permit be held.
	maxHoldTime time.Duration

	client ownerClient
}

// delegationOut is the delegation of pieces of this VM's share to another VM.
type delegationOut struct {
	to     member.ID
	serial uint32
	pieces int
	// level is the number of tokens passed on when the delegation began.
	level float64
	// until is when the pieces are usable here again, even if all messages of
	// the other VM are lost.
	until time.Time
	// ending is set once the delegation is no longer renewed.
	ending bool
}

// delegationIn is a part of another VM's share that is delegated to this VM.
type delegationIn struct {
	from   member.ID
	serial uint32
	// fraction is the fraction of the whole limit.
	fraction float64
	until    time.Time
	// revoked is set once it is no longer used; it is returned together with
	// level tokens.
	revoked bool
	level   float64
}

// grantRecord is what another VM may still use of the tokens or permits that
// this VM granted to it.
type grantRecord struct {
	to member.ID
	// number is that of the token request.
	number uint32
	tokens int
	until  time.Time
}

// capacity is the size of the whole limit in tokens or permits.
func (b *bucket) capacity() float64 {
	if b.kind.limitsConcurrency() {
		return float64(b.spec.Permits)
	}
	return b.spec.Burst
}

// keptFraction is the fraction of the limit that is this VM's share less what it
// has delegated.
func (b *bucket) keptFraction() float64 {
	return b.share * float64(sharePieces-b.delegated.pieces) / sharePieces
}

// recompute updates the derived fields after a change of the share, the
// delegations or the outstanding grants.
func (b *bucket) recompute() {
	b.heldFraction, b.outstandingTokens, b.nextChange = 0, 0, never
	if b.share > 0 {
		b.heldFraction = b.keptFraction()
		b.changeBy(b.shareExpiry)
	}
	if b.delegated.pieces > 0 {
		b.changeBy(b.delegated.until)
	}
	for _, d := range b.received {
		if !d.revoked {
			b.heldFraction += d.fraction
		}
		b.changeBy(d.until)
	}
	for _, g := range b.outstanding {
		b.outstandingTokens += g.tokens
		b.changeBy(g.until)
	}
	b.clampLevel()
	b.updateOwner()
}

// changeBy moves nextChange to t if that is earlier.
func (b *bucket) changeBy(t time.Time) {
	if t.Before(b.nextChange) {
		b.nextChange = t
	}
}

// clampLevel limits the level to the burst held less the outstanding tokens.
func (b *bucket) clampLevel() {
	b.level = max(0, min(b.level, b.heldFraction*b.capacity()-float64(b.outstandingTokens)))
}

// refill adds the tokens due up to now and drops what has expired. A time before
// the last refill is ignored.
func (b *bucket) refill(now time.Time) {
	for !now.Before(b.nextChange) {
		b.accrue(b.nextChange)
		b.dropExpired(b.refilledAt)
	}
	b.accrue(now)
}

// accrue adds the tokens due up to t for the fraction held.
func (b *bucket) accrue(t time.Time) {
	d := t.Sub(b.refilledAt)
	if d <= 0 {
		return
	}
	b.refilledAt = t
	if b.kind.limitsConcurrency() {
		return
	}
	b.level += d.Seconds() * b.spec.Rate * b.heldFraction * (1 - b.longTermDrift)
	b.clampLevel()
}

// dropExpired drops the share, delegations and grants that have expired at t.
func (b *bucket) dropExpired(t time.Time) {
	if !t.Before(b.shareExpiry) {
		b.share = 0
	}
	if b.delegated.pieces > 0 && !t.Before(b.delegated.until) {
		b.delegated = delegationOut{}
	}
	b.received = filterInPlace(b.received, func(d delegationIn) bool { return t.Before(d.until) })
	b.outstanding = filterInPlace(b.outstanding, func(g grantRecord) bool { return t.Before(g.until) })
	b.recompute()
}

// filterInPlace keeps the elements for which ok is true, reusing ts.
func filterInPlace[T any](ts []T, ok func(T) bool) []T {
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

// available is the number of tokens or permits that can be used at once.
func (b *bucket) available() float64 {
	if b.kind.limitsConcurrency() {
		return b.heldFraction*b.capacity() - float64(b.running+b.outstandingTokens)
	}
	return b.level
}

// wholeAvailable is available rounded down, and not less than 0.
func (b *bucket) wholeAvailable() int {
	return max(0, int(math.Floor(b.available()+epsilon)))
}

// spend takes n tokens. Permits are counted by the requests and grants that hold
// them.
func (b *bucket) spend(n int) {
	if !b.kind.limitsConcurrency() {
		b.level = max(0, b.level-float64(n))
	}
}

// capacityBeyond is the burst of the fraction that is still held after t.
func (b *bucket) capacityBeyond(t time.Time) float64 {
	var s float64
	if t.Before(b.shareExpiry) {
		s = b.keptFraction()
	}
	for _, d := range b.received {
		if !d.revoked && t.Before(d.until) {
			s += d.fraction
		}
	}
	return s * b.capacity()
}

// canGiveUp reports whether the rest of the fraction held would still cover the
// running requests and outstanding grants.
func (b *bucket) canGiveUp(fraction float64) bool {
	left := (b.heldFraction - fraction) * b.capacity()
	out := float64(b.outstandingTokens)
	if b.kind.limitsConcurrency() {
		out += float64(b.running)
	}
	return out <= left+epsilon
}

// splitLevel removes and returns the tokens that belong to a fraction held,
// rounded down to the thousandths in which messages state levels.
func (b *bucket) splitLevel(fraction float64) float64 {
	if b.heldFraction <= 0 {
		return 0
	}
	n := math.Floor(1000*b.level*min(1, fraction/b.heldFraction)) / 1000
	b.level -= n
	return n
}

// nextTokenIn is the time until a whole token is available, at most
// maxRetryAfter; 0 if unknown.
func (b *bucket) nextTokenIn() time.Duration {
	r := b.spec.Rate * b.heldFraction
	if b.kind.limitsConcurrency() || r <= 0 {
		return 0
	}
	d := time.Duration((1 - b.level) / r * float64(time.Second))
	return min(max(d, 0), maxRetryAfter)
}
