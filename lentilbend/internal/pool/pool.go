// Package pool keeps connections to backend servers. It bounds them per
// server, opens them ahead of need, never sends a request twice, and leaves
// connections that went silent.
package pool

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Errors of Take. Nothing was sent.
var (
	// ErrBusy means that no connection came free in time and none may be
	// opened.
	ErrBusy = errors.New("pool: all connections to the server are busy")
	// ErrUnreachable means that a connection was not opened in time.
	ErrUnreachable = errors.New("pool: no connection to the server could be opened in time")
)

// Bounds of the queue for a connection.
const (
	queueLongest = 200 * time.Millisecond
	queueLength  = 256
)

// Pool keeps the connections to one backend server. Use Set.Pool.
type Pool struct {
	set     *Set
	address netip.AddrPort
	host    string
	client  *http.Transport

	mu       sync.Mutex
	idle     []*Conn
	doubtful []*Conn
	busy     map[*Conn]struct{}
	opening  int
	// openingSince is when the oldest opening under way may have begun.
	openingSince time.Time
	waiters      []*waiter
	trial        *Conn
	retired      bool
	// lived is the shortest idle time after which the server closed a
	// connection; 0 when unknown.
	lived    time.Duration
	lastUsed time.Time
	usual    map[string]*usual
	counts   counts
}

// counts are totals since the start.
type counts struct {
	opened, failed, closedIdle, silent, condemned, lifted uint64
}

func (c *counts) add(o counts) {
	c.opened += o.opened
	c.failed += o.failed
	c.closedIdle += o.closedIdle
	c.silent += o.silent
	c.condemned += o.condemned
	c.lifted += o.lifted
}

// waiter is a request that waits for a connection.
type waiter struct {
	ready chan delivery
}

type delivery struct {
	conn *Conn
	err  error
}

// Take returns a connection for one request. A careful request, one that must
// not run twice, gets none that the server may be about to close. The error is
// ErrBusy, ErrUnreachable, that of opening a connection, or that of ctx; nothing was sent.
func (p *Pool) Take(ctx context.Context, careful bool) (*Conn, error) {
	p.mu.Lock()
	if p.retired {
		p.mu.Unlock()
		return p.set.Pool(p.address).Take(ctx, careful)
	}
	p.lastUsed = p.set.Now()
	if c := p.pop(careful); c != nil {
		p.openAhead()
		p.mu.Unlock()
		return c, nil
	}
	if len(p.waiters) >= queueLength {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	w := &waiter{ready: make(chan delivery, 1)}
	p.waiters = append(p.waiters, w)
	p.openForWaiters()
	p.mu.Unlock()
	return p.wait(ctx, w)
}

func (p *Pool) wait(ctx context.Context, w *waiter) (*Conn, error) {
	t := time.NewTimer(queueLongest)
	defer t.Stop()
	select {
	case d := <-w.ready:
		return d.conn, d.err
	case <-t.C:
		p.leave(w)
		return nil, p.whyLate()
	case <-ctx.Done():
		p.leave(w)
		return nil, ctx.Err()
	}
}

// whyLate returns why a request waited for too long.
func (p *Pool) whyLate() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opening > 0 && time.Since(p.openingSince) > queueLongest/2 {
		return ErrUnreachable
	}
	return ErrBusy
}

// leave takes a waiter out of the queue and puts back what it was given.
func (p *Pool) leave(w *waiter) {
	p.mu.Lock()
	p.waiters = slices.DeleteFunc(p.waiters, func(o *waiter) bool { return o == w })
	p.mu.Unlock()
	select {
	case d := <-w.ready:
		if d.conn != nil {
			p.put(d.conn)
		}
	default:
	}
}

// pop takes the idle connection that was used last.
func (p *Pool) pop(careful bool) *Conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if careful && p.lived > 0 && p.set.Now().Sub(c.idleSince) > p.lived*3/4 {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if c.client.Err() != nil {
			c.dropped = true
			continue
		}
		p.hold(c)
		return c
	}
	return nil
}

func (p *Pool) hold(c *Conn) {
	c.busy = true
	c.silent = false
	c.trip = Trip{}
	p.busy[c] = struct{}{}
}

// put makes a connection idle or hands it to a waiter.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.dropped {
		return
	}
	if p.retired {
		p.discard(c)
		return
	}
	delete(p.busy, c)
	c.busy = false
	c.idleSince = p.set.Now()
	p.offer(c)
}

// offer hands a usable connection to the first waiter, else keeps it idle.
func (p *Pool) offer(c *Conn) {
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, c)
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	p.hold(c)
	w.ready <- delivery{conn: c}
}

// drop forgets a closed connection.
func (p *Pool) drop(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.dropped {
		return
	}
	if !c.busy {
		p.noteClosed(p.set.Now().Sub(c.idleSince))
	}
	p.forget(c)
	p.openForWaiters()
}

func (p *Pool) forget(c *Conn) {
	c.dropped = true
	delete(p.busy, c)
	same := func(o *Conn) bool { return o == c }
	if !c.busy {
		p.idle = slices.DeleteFunc(p.idle, same)
		p.doubtful = slices.DeleteFunc(p.doubtful, same)
	}
	if p.trial == c {
		p.trial = nil
	}
}

// discard closes a connection that nobody uses. The client's state hook needs
// the mutex, so it closes in the background.
func (p *Pool) discard(c *Conn) {
	p.forget(c)
	go func() { _ = c.client.Close() }()
}

// noteClosed learns after which idle time the server closes connections.
func (p *Pool) noteClosed(age time.Duration) {
	p.counts.closedIdle++
	if age < time.Second {
		return
	}
	if p.lived == 0 || age < p.lived {
		p.lived = age
	}
}

func (p *Pool) begin(c *Conn, t Trip) {
	p.mu.Lock()
	c.trip = t
	p.mu.Unlock()
}

func (p *Pool) answered(c *Conn, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.usual[c.trip.Kind]
	if !ok {
		u = &usual{}
		p.usual[c.trip.Kind] = u
	}
	u.add(d)
	if p.trial == c && !c.silent {
		p.condemn()
	}
	if c.silent {
		c.silent = false
		p.lift()
	}
}
