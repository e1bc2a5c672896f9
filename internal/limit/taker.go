package limit

import (
	"math"
	"time"

	"lentilbend.example/internal/peerpb"
)

// Timing of token requests to the owner.
const (
	// A token granted for a waiting request is valid for validityRoundTrips
	// average round trips, within these bounds. A request without an answer in
	// that time has timed out.
	minTokenValidity = 12 * time.Millisecond
	maxTokenValidity = 200 * time.Millisecond
	// prefetchValidity is how long prefetched tokens are valid.
	prefetchValidity = time.Second
	// timeoutBackoff is the pause of token requests after a timeout.
	timeoutBackoff = 200 * time.Millisecond
	// shortGrantBackoff is the step by which the pause grows with each
	// successive grant that was too small.
	shortGrantBackoff  = 20 * time.Millisecond
	maxRetryAfter      = 10 * time.Second
	validityRoundTrips = 4
)

// maxWaiting bounds the requests of each limit that wait for the owner.
const maxWaiting = 1024

// ownerClient is the state of a VM as a client of a limit's owner.
type ownerClient struct {
	// owner is nil if this VM is the owner, or if none is known.
	owner *peer
	// bestOther is the best-ranked owner among the other VMs; selfFirst is set if
	// this VM ranks before it.
	bestOther *peer
	selfFirst bool
	// isOwner is set if this VM is the owner.
	isOwner bool
	// batches are the tokens and permits granted by the owner.
	batches []tokenBatch
	// running is the number of this VM's requests that hold permits of batches.
	running int
	// requestNumber is that of the last token request, grantNumber that of the
	// last grant received.
	requestNumber uint32
	grantNumber   uint32
	// reportedTokens is the number of tokens last reported to the owner.
	reportedTokens int
	waiting        []waiter
	// requested is the number of tokens in the pending token request, not
	// counting prefetched ones. The request was sent at sentAt; its tokens are
	// valid for validity after that.
	requested int
	sentAt    time.Time
	validity  time.Duration
	pending   bool
	// nextRequest is the earliest time of the next token request; shortGrants
	// grows with each grant that was too small and falls with each sufficient one.
	nextRequest time.Time
	shortGrants int
	// scarce is set if the last grant had no prefetched tokens, so the owner
	// probably has none to spare.
	scarce bool
	// unready is set if the last token request timed out or reached a VM without
	// a part of the limit.
	unready bool
	// roundTrip is a moving average of the time until a grant arrives.
	roundTrip time.Duration
	demand    demand
	// delegationsWanted is set while this VM, as the owner of a limit that is
	// delegated on demand, asks for delegations since the limit is in use.
	delegationsWanted bool
}

// tokenBatch is a number of tokens or permits that expire together.
type tokenBatch struct {
	tokens int
	until  time.Time
}

// waiter is a request that waits for the owner's answer.
type waiter struct {
	done     func(Answer)
	deadline time.Time
	// retried is set once a token request for it has timed out.
	retried bool
}

// take decides on one request. It returns nil if the request waits for the owner.
func (b *bucket) take(f *Fleet, now, deadline time.Time, done func(Answer)) Answer {
	b.refill(now)
	c := &b.client
	c.demand.requests++
	c.demand.lastLocalRequest = now
	if b.available() >= 1-epsilon {
		b.spend(1)
		if b.kind.limitsConcurrency() {
			b.running++
			b.extendRunningUntil(deadline)
		}
		return Granted{}
	}
	if b.useBatch(now) {
		b.extendRunningUntil(deadline)
		return Granted{fromOwner: true}
	}
	c.demand.lastLocalShortage = now
	if c.isOwner || c.owner == nil {
		return Refused{RetryAfter: b.nextTokenIn(), Unready: b.heldFraction <= 0}
	}
	if now.Before(c.nextRequest) {
		return Refused{RetryAfter: c.nextRequest.Sub(now), Unready: c.unready}
	}
	if len(c.waiting) >= maxWaiting {
		return Refused{RetryAfter: shortGrantBackoff}
	}
	c.waiting = append(c.waiting, waiter{done: done, deadline: deadline})
	if !c.pending {
		b.requestTokens(f, now, 0)
	}
	return nil
}

// tryTake takes a token without waiting. If none is available here it requests one
// from the owner for a later call.
func (b *bucket) tryTake(f *Fleet, now time.Time) bool {
	b.refill(now)
	c := &b.client
	c.demand.requests++
	c.demand.lastLocalRequest = now
	if b.available() >= 1-epsilon {
		b.spend(1)
		return true
	}
	if b.useBatch(now) {
		return true
	}
	c.demand.lastLocalShortage = now
	if c.isOwner || c.owner == nil || c.pending || now.Before(c.nextRequest) {
		return false
	}
	// Request the longest validity, so that a later call can still use the token.
	c.roundTrip = max(c.roundTrip, maxTokenValidity/validityRoundTrips)
	b.requestTokens(f, now, 1)
	return false
}

// extendRunningUntil moves runningUntil to the deadline of a request that holds a
// permit, if that is later.
func (b *bucket) extendRunningUntil(deadline time.Time) {
	if b.kind.limitsConcurrency() && deadline.After(b.runningUntil) {
		b.runningUntil = deadline
	}
}

// useBatch takes the granted token that expires first.
func (b *bucket) useBatch(now time.Time) bool {
	b.dropExpiredBatches(now)
	c := &b.client
	if b.kind.limitsConcurrency() {
		if c.tokens() <= c.running {
			return false
		}
		c.running++
		return true
	}
	if len(c.batches) == 0 {
		return false
	}
	c.batches[0].tokens--
	if c.batches[0].tokens == 0 {
		c.batches = c.batches[1:]
	}
	return true
}

// tokens is the number of tokens or permits granted by the owner, including
// permits in use.
func (c *ownerClient) tokens() int {
	n := 0
	for _, t := range c.batches {
		n += t.tokens
	}
	return n
}

// dropExpiredBatches drops expired tokens. Permits in use count as those that
// expire last, and are kept until they are returned.
func (b *bucket) dropExpiredBatches(now time.Time) {
	c := &b.client
	if !b.kind.limitsConcurrency() {
		c.batches = filterInPlace(c.batches, func(t tokenBatch) bool { return now.Before(t.until) })
		return
	}
	idle := c.tokens() - c.running
	for i := range c.batches {
		if idle <= 0 || now.Before(c.batches[i].until) {
			break
		}
		n := min(idle, c.batches[i].tokens)
		c.batches[i].tokens -= n
		idle -= n
	}
	c.batches = filterInPlace(c.batches, func(t tokenBatch) bool { return t.tokens > 0 })
}

// requestTokens sends one token request for all waiting requests and for extra
// tokens. It also asks to prefetch half of the demand expected during
// prefetchValidity.
func (b *bucket) requestTokens(f *Fleet, now time.Time, extra int) {
	c := &b.client
	c.requestNumber++
	c.pending, c.sentAt, c.requested = true, now, len(c.waiting)+extra
	c.validity = min(max(validityRoundTrips*c.roundTrip, minTokenValidity), maxTokenValidity).Truncate(time.Millisecond)
	if c.roundTrip == 0 {
		c.validity = maxTokenValidity
	}
	more := int(math.Ceil(c.demand.rate * prefetchValidity.Seconds() / 2))
	a := b.usageReport()
	a.Number = c.requestNumber
	a.Want, a.More = uint32(c.requested), uint32(more)
	a.ValidMs = uint32(c.validity.Milliseconds())
	f.send(now, c.owner, &peerpb.LimitMessage{Asks: []*peerpb.LimitAsk{a}})
}

// usageReport returns a report to the owner of how many of its tokens or permits
// are held here, including permits in use.
func (b *bucket) usageReport() *peerpb.LimitAsk {
	c := &b.client
	c.reportedTokens = c.tokens()
	return &peerpb.LimitAsk{Limit: b.id, Held: uint32(c.reportedTokens), Seen: c.grantNumber}
}

// reply is an answer to deliver once the bucket is unlocked.
type reply struct {
	done   func(Answer)
	answer Answer
}

// handleTimeout refuses the waiting requests whose deadline has passed and ends a
// token request that was not answered in time. Each request that waited for it is
// retried once if its deadline allows.
func (b *bucket) handleTimeout(f *Fleet, now time.Time) []reply {
	c := &b.client
	rs := c.refuseLate(now)
	if !c.pending || now.Sub(c.sentAt) < c.validity {
		return rs
	}
	c.pending = false
	c.roundTrip = min(2*c.roundTrip, maxTokenValidity)
	c.waiting = filterInPlace(c.waiting, func(w waiter) bool {
		if !w.retried && now.Add(c.validity).Before(w.deadline) {
			return true
		}
		rs = append(rs, reply{done: w.done, answer: Refused{RetryAfter: timeoutBackoff, Unready: true}})
		return false
	})
	for i := range c.waiting {
		c.waiting[i].retried = true
	}
	if len(c.waiting) > 0 && c.owner != nil {
		b.requestTokens(f, now, 0)
		return rs
	}
	c.nextRequest, c.unready = now.Add(timeoutBackoff), true
	return append(rs, c.refuseWaiting()...)
}

// refuseLate refuses the waiting requests whose deadline has passed.
func (c *ownerClient) refuseLate(now time.Time) []reply {
	var rs []reply
	c.waiting = filterInPlace(c.waiting, func(w waiter) bool {
		if now.Before(w.deadline) {
			return true
		}
		rs = append(rs, reply{done: w.done, answer: Refused{}})
		return false
	})
	return rs
}

// refuseWaiting refuses all waiting requests.
func (c *ownerClient) refuseWaiting() []reply {
	var rs []reply
	for _, w := range c.waiting {
		rs = append(rs, reply{done: w.done, answer: Refused{RetryAfter: timeoutBackoff, Unready: true}})
	}
	c.waiting, c.pending = nil, false
	return rs
}
