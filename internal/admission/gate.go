package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Gate admits the requests of one service. Set the exported fields before use. All
// methods are safe for concurrent use.
type Gate struct {
	// Capacity returns the capacity of the service.
	Capacity func(now time.Time) Capacity
	// Work returns the expected processing time of a kind of request; 0 if it is
	// not known.
	Work func(kind string) time.Duration
	// Rand is the random source; nil for a randomly seeded one.
	Rand *rand.Rand

	mu       sync.Mutex
	capacity Capacity
	readAt   time.Time // when capacity was read
	kinds    map[string]*kind
	waiting  []*Ticket
	running  int
	arrivals rate // of this VM, all kinds
	// notifications are the calls of Request.Notify that are still to be made.
	notifications []notification
	counts        counts
}

// counts are totals since the start of the process.
type counts struct {
	admitted, waited uint64
	refused          [CauseDeadline + 1]uint64
}

type notification struct {
	ticket   *Ticket // nil for a refusal
	notify   func(Decision)
	decision Decision
}

// Ticket identifies a waiting or running request in a Gate.
type Ticket struct {
	request Request
	kind    *kind
	work    time.Duration
	arrived time.Time
	state   ticketState
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketEnded
)

// Parameters of waiting.
const (
	// maxWaiting bounds the waiting requests of a VM.
	maxWaiting = 128
	// capacityTTL is how long a reading of the capacity is used.
	capacityTTL = 10 * time.Millisecond
	// minWorkRatio is the least processing time of a request relative to the mean of
	// its kind. A request with less time left can't end before its deadline.
	minWorkRatio = 0.5
	// minRetryAfter bounds the time until capacity is expected.
	minRetryAfter = 50 * time.Millisecond
	// retrySpread is the greatest fraction by which that time is extended, so that
	// callers do not retry all at the same time.
	retrySpread = 0.25
)

// Enter asks for admission of r. The ticket is nil unless the decision is Admitted or
// Waiting. A ticket whose request was admitted must be ended with Leave.
func (g *Gate) Enter(now time.Time, r Request) (*Ticket, Decision) {
	defer g.notify()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readCapacity(now)
	if !g.capacity.Known {
		g.admitAll(now)
		return nil, Unknown{}
	}
	t := &Ticket{request: r, kind: g.findKind(r), work: g.workOf(r.Kind), arrived: now}
	g.arrivals.add(now, 1)
	t.kind.arrived.add(now, 1)
	g.assess(now)
	if !r.Deadline.IsZero() && now.Add(time.Duration(minWorkRatio*float64(t.work))).After(r.Deadline) {
		return nil, g.count(Refused{Cause: CauseDeadline})
	}
	g.refuseHopeless(now)
	g.addWaiting(t)
	g.admitWaiting(now)
	if t.state == ticketRunning {
		// The decision is returned, not notified.
		g.dropNotification(t)
		return t, Admitted{}
	}
	if g.isHopeless(now, t) {
		g.removeWaiting(t)
		return nil, g.refusal(now, t)
	}
	if len(g.waiting) > maxWaiting {
		if v := g.leastWorth(now); v != t {
			g.refuse(now, v)
		} else {
			g.removeWaiting(t)
			return nil, g.refusal(now, t)
		}
	}
	g.counts.waited++
	return t, Waiting{}
}

// Leave ends a running request or withdraws a waiting one. served says that the caller
// got a response of a server. Further calls for the same ticket have no effect.
func (g *Gate) Leave(now time.Time, t *Ticket, served bool) {
	defer g.notify()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case ticketWaiting:
		g.removeWaiting(t)
	case ticketRunning:
		g.running--
		t.kind.recordEnd(now, served)
	case ticketEnded:
		return
	}
	t.state = ticketEnded
	g.update(now)
}

// Tick refuses requests that can no longer be served in time and admits others. Call it
// every few tens of milliseconds while requests are waiting.
func (g *Gate) Tick(now time.Time) {
	defer g.notify()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update(now)
}

func (g *Gate) update(now time.Time) {
	if len(g.waiting) == 0 {
		return
	}
	g.readCapacity(now)
	if !g.capacity.Known {
		g.admitAll(now)
		return
	}
	g.assess(now)
	g.refuseHopeless(now)
	g.admitWaiting(now)
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// readCapacity reads the capacity, at most once in capacityTTL.
func (g *Gate) readCapacity(now time.Time) {
	if g.Rand == nil {
		g.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if g.readAt.IsZero() || now.Sub(g.readAt) >= capacityTTL {
		g.capacity, g.readAt = g.Capacity(now), now
	}
}

// workOf returns the expected processing time of a kind of request.
func (g *Gate) workOf(kind string) time.Duration {
	if d := g.Work(kind); d > 0 {
		return d
	}
	return g.capacity.Work
}

// notify makes the pending calls of Request.Notify. It must be called without the
// lock.
func (g *Gate) notify() {
	g.mu.Lock()
	ns := g.notifications
	g.notifications = nil
	g.mu.Unlock()
	for _, n := range ns {
		n.notify(n.decision)
	}
}
