package choice

import (
	"net/netip"
	"time"
)

// call is one request in flight; calls of a server form a list by start.
type call struct {
	set    *Set
	server *server
	kind   *latencies
	start  time.Time
	// wait is the wait in the server's queue that was expected at the start.
	wait       time.Duration
	prev, next *call
	ended      bool
	basis      Basis
}

// Server returns the server's address.
func (c *call) Server() netip.AddrPort {
	return c.server.address
}

// Name returns the server's own name.
func (c *call) Name() string {
	return c.server.name
}

// Basis returns what the choice of the server rested on.
func (c *call) Basis() Basis {
	return c.basis
}

// End tells how the call ended. Further calls do nothing.
func (c *call) End(now time.Time, o Outcome) {
	c.set.end(now, c, o)
}

// calls is a list of calls in flight, oldest first.
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

// scanned is the most calls in flight that one look at a server goes through.
const scanned = 16

// since returns how many calls started after t, at most scanned.
func (l *calls) since(t time.Time) int {
	n := 0
	for c := l.last; c != nil && n < scanned && c.start.After(t); c = c.prev {
		n++
	}
	return n
}

// lateness returns by how many times the late latency of their kind the oldest
// calls are late, squared, in sum: a little lateness is common, much is not.
func (l *calls) lateness(now time.Time) float64 {
	var s float64
	n := 0
	for c := l.first; c != nil && n < scanned; c = c.next {
		late := c.kind.late
		d := now.Sub(c.start) - late - c.wait
		if d > 0 && late > 0 {
			x := float64(d) / float64(late)
			s += x * x
		}
		n++
	}
	return s
}
