package limit

import (
	"math"
	"time"

	"lentilbend.example/internal/peerpb"
)

// Times of asking the home.
const (
	minValid    = 12 * time.Millisecond
	maxValid    = 200 * time.Millisecond
	aheadValid  = time.Second
	askPause    = 200 * time.Millisecond
	shortStep   = 20 * time.Millisecond
	maxRetry    = 10 * time.Second
	validFactor = 4
)

// maxWaiting bounds the requests that wait for the home, for each limit.
const maxWaiting = 1024

// taker is the state of a VM that gets tokens of a limit from its home.
type taker struct {
	home *peer
	// other is the home if this VM is not taken into account; mine says that this
	// VM comes first.
	other *peer
	mine  bool
	// self says that this VM is the home.
	self bool
	lots []lot
	// running is the number of own requests that hold units of the lots.
	running int
	number  uint32
	seen    uint32
	// reported is what the home last heard of the lots.
	reported int
	waiting  []waiter
	// asked is how many of the waiting are in the ask under way.
	asked   int
	sent    time.Time
	valid   time.Duration
	pending bool
	// after is the earliest time of the next ask, shorts how many grants in
	// succession were too small.
	after  time.Time
	shorts int
	scarce bool
	// unready says that the last ask found no part of the limit.
	unready bool
	trip    time.Duration
	demand  demand
	// announced says that the home asked for loans of a limit that is lent on
	// demand.
	announced bool
}

// lot is a number of tokens with one end.
type lot struct {
	tokens int
	until  time.Time
}

type waiter struct {
	done     func(Answer)
	deadline time.Time
	again    bool
}

// take decides on one request. It returns nil when the request waits.
func (b *bucket) take(f *Fleet, now, deadline time.Time, done func(Answer)) Answer {
	b.refill(now)
	t := &b.taker
	t.demand.taken++
	t.demand.used = now
	if b.available() >= 1-epsilon {
		b.spend(1)
		if b.kind.counted() {
			b.running++
			b.occupy(deadline)
		}
		return Granted{}
	}
	if b.useLot(now) {
		b.occupy(deadline)
		return Granted{lot: true}
	}
	t.demand.refused = now
	if t.self || t.home == nil {
		return Refused{RetryAfter: b.next(), Unready: b.held <= 0}
	}
	if now.Before(t.after) {
		return Refused{RetryAfter: t.after.Sub(now), Unready: t.unready}
	}
	if len(t.waiting) >= maxWaiting {
		return Refused{RetryAfter: shortStep}
	}
	t.waiting = append(t.waiting, waiter{done: done, deadline: deadline})
	if !t.pending {
		b.ask(f, now, 0)
	}
	return nil
}

// try takes a token that is at hand. If there is none it asks the home for one
// that a later try may find.
func (b *bucket) try(f *Fleet, now time.Time) bool {
	b.refill(now)
	t := &b.taker
	t.demand.taken++
	t.demand.used = now
	if b.available() >= 1-epsilon {
		b.spend(1)
		return true
	}
	if b.useLot(now) {
		return true
	}
	t.demand.refused = now
	if t.self || t.home == nil || t.pending || now.Before(t.after) {
		return false
	}
	t.trip = max(t.trip, maxValid/validFactor)
	b.ask(f, now, 1)
	return false
}

// occupy notes the deadline of a request that holds a unit.
func (b *bucket) occupy(deadline time.Time) {
	if b.kind.counted() && deadline.After(b.runningUntil) {
		b.runningUntil = deadline
	}
}

// useLot takes a token of the lots, the one that ends first.
func (b *bucket) useLot(now time.Time) bool {
	b.trim(now)
	t := &b.taker
	if b.kind.counted() {
		if t.tokens() <= t.running {
			return false
		}
		t.running++
		return true
	}
	if len(t.lots) == 0 {
		return false
	}
	t.lots[0].tokens--
	if t.lots[0].tokens == 0 {
		t.lots = t.lots[1:]
	}
	return true
}

func (t *taker) tokens() int {
	n := 0
	for _, l := range t.lots {
		n += l.tokens
	}
	return n
}

// trim drops tokens past their end. Units in use count against the lots that
// end first, and stay until they are returned.
func (b *bucket) trim(now time.Time) {
	t := &b.taker
	if !b.kind.counted() {
		t.lots = keep(t.lots, func(l lot) bool { return now.Before(l.until) })
		return
	}
	idle := t.tokens() - t.running
	for i := range t.lots {
		if idle <= 0 || now.Before(t.lots[i].until) {
			break
		}
		n := min(idle, t.lots[i].tokens)
		t.lots[i].tokens -= n
		idle -= n
	}
	t.lots = keep(t.lots, func(l lot) bool { return l.tokens > 0 })
}

// ask sends one ask for all that wait, and for spare tokens beside.
func (b *bucket) ask(f *Fleet, now time.Time, spare int) {
	t := &b.taker
	t.number++
	t.pending, t.sent, t.asked = true, now, len(t.waiting)+spare
	t.valid = min(max(validFactor*t.trip, minValid), maxValid).Truncate(time.Millisecond)
	if t.trip == 0 {
		t.valid = maxValid
	}
	more := int(math.Ceil(t.demand.rate * aheadValid.Seconds() / 2))
	a := b.report()
	a.Number = t.number
	a.Want, a.More = uint32(t.asked), uint32(more)
	a.ValidMs = uint32(t.valid.Milliseconds())
	f.post(now, t.home, &peerpb.LimitMessage{Asks: []*peerpb.LimitAsk{a}})
}

// report tells the home what is left of its tokens.
func (b *bucket) report() *peerpb.LimitAsk {
	t := &b.taker
	t.reported = t.tokens()
	return &peerpb.LimitAsk{Limit: b.id, Held: uint32(t.reported), Seen: t.seen}
}

// reply is an answer to give once no lock is held.
type reply struct {
	done   func(Answer)
	answer Answer
}

// overdue ends an ask that had no answer in time. What waited asks once more,
// if its deadline allows.
func (b *bucket) overdue(f *Fleet, now time.Time) []reply {
	t := &b.taker
	rs := t.late(now)
	if !t.pending || now.Sub(t.sent) < t.valid {
		return rs
	}
	t.pending = false
	t.trip = min(2*t.trip, maxValid)
	t.waiting = keep(t.waiting, func(w waiter) bool {
		if !w.again && now.Add(t.valid).Before(w.deadline) {
			return true
		}
		rs = append(rs, reply{done: w.done, answer: Refused{RetryAfter: askPause, Unready: true}})
		return false
	})
	for i := range t.waiting {
		t.waiting[i].again = true
	}
	if len(t.waiting) > 0 && t.home != nil {
		b.ask(f, now, 0)
		return rs
	}
	t.after, t.unready = now.Add(askPause), true
	return append(rs, t.dismiss()...)
}

// late refuses those whose deadline has passed.
func (t *taker) late(now time.Time) []reply {
	var rs []reply
	t.waiting = keep(t.waiting, func(w waiter) bool {
		if now.Before(w.deadline) {
			return true
		}
		rs = append(rs, reply{done: w.done, answer: Refused{}})
		return false
	})
	return rs
}

// dismiss refuses all that wait.
func (t *taker) dismiss() []reply {
	var rs []reply
	for _, w := range t.waiting {
		rs = append(rs, reply{done: w.done, answer: Refused{RetryAfter: askPause, Unready: true}})
	}
	t.waiting, t.pending = nil, false
	return rs
}
