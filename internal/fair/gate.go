// Package fair shares out what the backend servers of a service can bear among
// workspaces by weight.
//
// A Gate learns how many requests may run at once from here, holds the others
// in short queues with deadlines, and refuses early those of the workspace that
// is most over its share. Each entry VM has its own Gate for each service and
// asks no other: the servers' reports tell all of them alike how full the
// servers are.
package fair

import (
	"sync"
	"time"
)

// Request is a request that wants to run.
type Request struct {
	Workspace string
	// Weight is the workspace's share, relative to the others'; it is
	// positive.
	Weight float64
	// Deadline is when the request must have ended.
	Deadline time.Time
	// Done is called once when Enter returned Waiting. It must not block.
	Done func(v Verdict)
}

// Verdict is what becomes of a request: one of the types below.
type Verdict interface {
	verdict()
}

// Admitted means that the request may run now.
type Admitted struct{}

// Waiting means that Request.Done will tell.
type Waiting struct{}

// Refused means that the request must not run.
type Refused struct {
	// RetryAfter is how long a caller should wait.
	RetryAfter time.Duration
}

func (Admitted) verdict() {}
func (Waiting) verdict()  {}
func (Refused) verdict()  {}

// Ticket is a request's place in a Gate.
type Ticket struct {
	request  Request
	share    *share
	arrived  time.Time
	expires  time.Time
	admitted time.Time
	state    ticketState
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketEnded
)

// Sample is what one ended attempt at a backend server tells.
type Sample struct {
	// Latency is how long the answer took; 0 when there was none.
	Latency time.Duration
	// Reported says that Queued and Slots come from a load report.
	Reported bool
	Queued   int
	Slots    int
	// Shed says that the server did not start the request.
	Shed bool
}

// Bounds of waiting.
const (
	patienceLeast = 10 * time.Millisecond
	patienceMost  = 200 * time.Millisecond
	// patienceLatencies is how long a request waits, in usual latencies, and
	// patienceWithin for a workspace that had no more than its share.
	patienceLatencies = 8
	patienceWithin    = 15
	// waitingFactor is the most requests that wait, in requests that run.
	waitingFactor = 5
	waitingLeast  = 32
	retryAfter    = time.Second
)

// Gate admits the requests of one service. Its zero value may be used. A Gate
// has one lock; services share none.
type Gate struct {
	mu      sync.Mutex
	limit   limit
	shares  map[string]*share
	virtual float64
	running int
	waiting int
	admits  uint64
	refuses uint64
	// resolved are tickets whose Done is still to be called.
	resolved []resolution
}

type resolution struct {
	done    func(Verdict)
	verdict Verdict
}

// SetLeast sets how many requests may run at once whatever the latencies are:
// those that the servers' slots surely bear.
func (g *Gate) SetLeast(n float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.least = max(limitLeast, n)
}

// Enter asks for r to run. The ticket is nil when it is refused.
func (g *Gate) Enter(now time.Time, r Request) (*Ticket, Verdict) {
	defer g.resolve()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.share(r.Workspace, r.Weight)
	t := &Ticket{request: r, share: s, arrived: now}
	s.arrive(g.virtual)
	t.expires = g.expiry(now, s, r.Deadline)
	if g.running < g.limit.whole() && g.waiting == 0 {
		g.admit(now, t)
		return t, Admitted{}
	}
	if !now.Before(t.expires) || !g.queue(t) {
		s.refused++
		g.refuses++
		g.drop(s)
		return nil, Refused{RetryAfter: retryAfter}
	}
	g.fill(now)
	return t, Waiting{}
}

// Leave ends an admitted request, or takes back one that waits.
func (g *Gate) Leave(now time.Time, t *Ticket) {
	defer g.resolve()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case ticketWaiting:
		g.remove(t)
	case ticketRunning:
		g.running--
		t.share.running--
		t.share.spend(now.Sub(t.admitted))
	case ticketEnded:
		return
	}
	t.state = ticketEnded
	g.drop(t.share)
	g.fill(now)
}

// Tick refuses requests that waited too long. It is to be called every few
// milliseconds while requests wait.
func (g *Gate) Tick(now time.Time) {
	defer g.resolve()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	g.fill(now)
}

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// Observe takes what an ended attempt tells.
func (g *Gate) Observe(now time.Time, s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.observe(now, s, g.running)
}

// resolve tells the callers what became of their requests, without the lock.
func (g *Gate) resolve() {
	g.mu.Lock()
	rs := g.resolved
	g.resolved = nil
	g.mu.Unlock()
	for _, r := range rs {
		r.done(r.verdict)
	}
}

// expiry is when a request is no longer worth running, or waited too long.
func (g *Gate) expiry(now time.Time, s *share, deadline time.Time) time.Time {
	p := patienceLatencies * g.limit.base
	if s.over() <= g.virtual {
		p = patienceWithin * g.limit.base
	}
	e := now.Add(min(max(p, patienceLeast), patienceMost))
	if d := deadline.Add(-g.limit.base); !deadline.IsZero() && d.Before(e) {
		return d
	}
	return e
}

func (g *Gate) admit(now time.Time, t *Ticket) {
	t.state = ticketRunning
	t.admitted = now
	t.share.running++
	t.share.admitted++
	g.running++
	g.admits++
	g.virtual = max(g.virtual, t.share.start())
	t.share.charge()
}

func (g *Gate) refuse(t *Ticket) {
	t.state = ticketEnded
	t.share.refused++
	g.refuses++
	g.resolved = append(g.resolved, resolution{t.request.Done, Refused{RetryAfter: retryAfter}})
}

// fill admits waiting requests, the workspace that had least by its weight
// first.
func (g *Gate) fill(now time.Time) {
	for g.waiting > 0 && g.running < g.limit.whole() {
		s := g.least()
		t := s.pop()
		g.waiting--
		if !now.Before(t.expires) {
			g.refuse(t)
			continue
		}
		g.admit(now, t)
		g.resolved = append(g.resolved, resolution{t.request.Done, Admitted{}})
	}
}

func (g *Gate) expire(now time.Time) {
	for _, s := range g.shares {
		for len(s.queue) > 0 && !now.Before(s.queue[0].expires) {
			g.waiting--
			g.refuse(s.pop())
		}
		g.drop(s)
	}
}
