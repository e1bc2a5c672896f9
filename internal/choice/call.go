package choice

import (
	"net/netip"
	"time"
)

// call is a request in flight to a server, an element of its server's calls.
type call struct {
	set    *Set
	server *server
	kind   *latencyStats
	start  time.Time
	// queueWait is the wait in the server's queue that was expected at the
	// start.
	queueWait time.Duration
	// wait is that time in units of the usual time without a queue.
	wait       float64
	prev, next *call
	ended      bool
	basis      Basis
	nextCheck  time.Time // earliest time of the next CheckDue
}

// Server returns the server's address.
func (c *call) Server() netip.AddrPort {
	return c.server.address
}

// Name returns the server's name.
func (c *call) Name() string {
	return c.server.name
}

// Basis returns what was known of the server when it was chosen.
func (c *call) Basis() Basis {
	return c.basis
}

// End records the outcome of the call. Only the first call of End has an
// effect.
func (c *call) End(now time.Time, o Outcome) {
	c.set.endCall(now, c, o)
}

// calls is a linked list of calls in flight, oldest first.
type calls struct {
	first, last *call
	count       int
}

func (l *calls) push(c *call) {
	c.prev = l.last
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
	l.count++
}

func (l *calls) remove(c *call) {
	if c.prev == nil {
		l.first = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		l.last = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.prev, c.next = nil, nil
	l.count--
}

// maxScannedCalls bounds the calls in flight that are read to score a server.
const maxScannedCalls = 16

// startedSince returns how many calls started after t, at most maxScannedCalls.
func (l *calls) startedSince(t time.Time) int {
	n := 0
	for c := l.last; c != nil && n < maxScannedCalls && c.start.After(t); c = c.prev {
		n++
	}
	return n
}

// lateness returns how late the oldest calls are: the sum of the squares of the
// time by which each exceeds the 90th percentile latency of its kind, in units
// of that latency. The square gives little weight to a small lateness, which is
// common.
func (l *calls) lateness(now time.Time) float64 {
	var s float64
	n := 0
	for c := l.first; c != nil && n < maxScannedCalls; c = c.next {
		p90 := c.kind.p90
		d := now.Sub(c.start) - p90 - c.queueWait
		if d > 0 && p90 > 0 {
			x := float64(d) / float64(p90)
			s += x * x
		}
		n++
	}
	return s
}
