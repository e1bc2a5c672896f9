// Package fair divides the capacity of a service's backend servers among
// workspaces by weight.
//
// A Gate is an adaptive concurrency limiter with weighted fair queueing. It
// learns how many requests may run at once from this VM and queues the others
// for a short time. When the queues are full, it sheds the load of the workspace
// that is furthest over its share. Each entry VM has its own Gate for each
// service and doesn't coordinate with other VMs: the servers' load reports give
// all VMs about the same view of how full the servers are.
package fair

import (
	"sync"
	"time"
)

// Request describes a request that asks for admission.
type Request struct {
	Workspace string
	// Weight is the workspace's share relative to the others'; it must be
	// positive.
	Weight float64
	// Deadline is when the request must have ended; zero means no deadline.
	Deadline time.Time
	// Notify is called once with the final decision if Enter returns Waiting,
	// unless Leave withdraws the request first. The call may come before Enter
	// returns. It must not block.
	Notify func(d Decision)
}

// Decision is the result of admission: Admitted, Waiting or Refused.
type Decision interface {
	decision()
}

// Admitted means that the request may run now.
type Admitted struct{}

// Waiting means that the request is queued; Request.Notify gets the final
// decision.
type Waiting struct{}

// Refused means that the request must not run.
type Refused struct {
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

func (Admitted) decision() {}
func (Waiting) decision()  {}
func (Refused) decision()  {}

// Ticket identifies a waiting or running request in a Gate.
type Ticket struct {
	request  Request
	flow     *flow
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

// Sample is the measurement of one finished attempt at a backend server.
type Sample struct {
	// Latency is the response time; 0 if there was no response.
	Latency time.Duration
	// Reported is set if Queued and Slots come from the server's load report.
	Reported bool
	Queued   int
	Slots    int
	// Shed is set if the server refused the request without starting it.
	Shed bool
}

const (
	// The time that a request may wait is a multiple of the base latency within
	// fixed bounds. The multiple is greater for a workspace that has had no more
	// than its share.
	minWaitTimeout               = 10 * time.Millisecond
	maxWaitTimeout               = 200 * time.Millisecond
	waitTimeoutFactor            = 8
	waitTimeoutFactorWithinShare = 15
	// The queues of all workspaces together hold up to queueCapacityFactor times
	// the concurrency limit, or up to minQueueCapacity requests if that is more.
	queueCapacityFactor = 5
	minQueueCapacity    = 32
	retryAfter          = time.Second
)

// Gate admits the requests of one service. Its zero value is ready to use. All
// methods are safe for concurrent use; each Gate has a lock of its own, so that
// services don't contend.
type Gate struct {
	mu    sync.Mutex
	limit limit
	// flows is keyed by workspace.
	flows map[string]*flow
	// virtualTime is the greatest start tag admitted so far.
	virtualTime float64
	running     int
	waiting     int
	admitted    uint64
	refused     uint64
	// notifications are the calls of Request.Notify that are still to be made.
	notifications []notification
}

type notification struct {
	notify   func(Decision)
	decision Decision
}

// SetMinLimit sets the lower bound of the concurrency limit, which holds
// whatever the latencies and reports are. n is the number of requests from this
// VM that the servers' slots can certainly run.
func (g *Gate) SetMinLimit(n float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.floor = max(minLimit, n)
}

// Enter asks for admission of r. The ticket is nil if r is refused at once. A
// ticket whose request was admitted must be ended with Leave.
func (g *Gate) Enter(now time.Time, r Request) (*Ticket, Decision) {
	defer g.notify()
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.flow(r.Workspace, r.Weight)
	t := &Ticket{request: r, flow: f, arrived: now}
	f.recordArrival(g.virtualTime)
	t.expires = g.waitDeadline(now, f, r.Deadline)
	if g.running < g.limit.current() && g.waiting == 0 {
		g.admit(now, t)
		return t, Admitted{}
	}
	if !now.Before(t.expires) || !g.enqueue(t) {
		f.refused++
		g.refused++
		g.deleteIdle(f)
		return nil, Refused{RetryAfter: retryAfter}
	}
	g.admitWaiting(now)
	return t, Waiting{}
}

// Leave ends a running request or withdraws a waiting one. Further calls for the
// same ticket have no effect.
func (g *Gate) Leave(now time.Time, t *Ticket) {
	defer g.notify()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case ticketWaiting:
		g.removeWaiting(t)
	case ticketRunning:
		g.running--
		t.flow.running--
		t.flow.recordRunTime(now.Sub(t.admitted))
	case ticketEnded:
		return
	}
	t.state = ticketEnded
	g.deleteIdle(t.flow)
	g.admitWaiting(now)
}

// Tick refuses requests that have waited too long. Call it every few
// milliseconds while requests are waiting.
func (g *Gate) Tick(now time.Time) {
	defer g.notify()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuseExpired(now)
	g.admitWaiting(now)
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// Observe adjusts the limit by the sample of a finished attempt.
func (g *Gate) Observe(now time.Time, s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.observe(now, s, g.running)
}

// notify makes the pending calls of Request.Notify. It must be called without
// the lock.
func (g *Gate) notify() {
	g.mu.Lock()
	ns := g.notifications
	g.notifications = nil
	g.mu.Unlock()
	for _, n := range ns {
		n.notify(n.decision)
	}
}

// waitDeadline returns when a request that arrives now will have waited too long,
// or can no longer end before its deadline at the base latency.
func (g *Gate) waitDeadline(now time.Time, f *flow, deadline time.Time) time.Time {
	timeout := waitTimeoutFactor * g.limit.baseLatency
	if f.finishTag() <= g.virtualTime {
		timeout = waitTimeoutFactorWithinShare * g.limit.baseLatency
	}
	expires := now.Add(min(max(timeout, minWaitTimeout), maxWaitTimeout))
	if latest := deadline.Add(-g.limit.baseLatency); !deadline.IsZero() && latest.Before(expires) {
		return latest
	}
	return expires
}

func (g *Gate) admit(now time.Time, t *Ticket) {
	t.state = ticketRunning
	t.admitted = now
	t.flow.running++
	t.flow.admitted++
	g.running++
	g.admitted++
	g.virtualTime = max(g.virtualTime, t.flow.startTag())
	t.flow.charge()
}

// refuse refuses a request that was waiting.
func (g *Gate) refuse(t *Ticket) {
	t.state = ticketEnded
	t.flow.refused++
	g.refused++
	g.notifications = append(g.notifications, notification{t.request.Notify, Refused{RetryAfter: retryAfter}})
}

// admitWaiting admits waiting requests while there is room, in the order of
// their workspaces' start tags.
func (g *Gate) admitWaiting(now time.Time) {
	for g.waiting > 0 && g.running < g.limit.current() {
		f := g.nextFlow()
		t := f.pop()
		g.waiting--
		if !now.Before(t.expires) {
			g.refuse(t)
			continue
		}
		g.admit(now, t)
		g.notifications = append(g.notifications, notification{t.request.Notify, Admitted{}})
	}
}

// refuseExpired refuses the requests that have waited too long, and deletes idle
// flows.
func (g *Gate) refuseExpired(now time.Time) {
	for _, f := range g.flows {
		for len(f.queue) > 0 && !now.Before(f.queue[0].expires) {
			g.waiting--
			g.refuse(f.pop())
		}
		g.deleteIdle(f)
	}
}
