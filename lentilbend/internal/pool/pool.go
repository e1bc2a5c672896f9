// Package pool keeps connections to backend servers. It bounds them per
// server, opens them ahead of need, never sends a request twice, and detects
// connections that broke without notice.
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
	maxQueueWait   = 200 * time.Millisecond
	maxQueueLength = 256
)

// Pool keeps the connections to one backend server. Use Set.Pool.
type Pool struct {
	set       *Set
	address   netip.AddrPort
	host      string
	transport *http.Transport

	mu sync.Mutex
	// idle has the longest idle connection first.
	idle []*Conn
	// suspects are idle connections that may be broken, since a request on
	// another one got no answer. They are not used until they are restored.
	suspects []*Conn
	busy     map[*Conn]struct{}
	opening  int
	// openingSince is when opening last rose from 0: no dial under way began
	// earlier.
	openingSince time.Time
	waiters      []*waiter
	// testConn was opened while there were suspects. If a request on it is
	// answered, the suspects are closed; if it is silent too, they are restored
	// to idle.
	testConn *Conn
	closed   bool
	// serverIdleTimeout is the shortest idle time after which the server
	// closed a connection; 0 when unknown.
	serverIdleTimeout time.Duration
	lastUsed          time.Time
	// baselines holds the baseline latency of each kind of request.
	baselines map[string]*baseline
	counts    counts
}

// counts are the totals of a pool since its creation.
type counts struct {
	opened, openFailed, closedIdle, silent, suspectsClosed, suspectsRestored uint64
}

func (c *counts) add(o counts) {
	c.opened += o.opened
	c.openFailed += o.openFailed
	c.closedIdle += o.closedIdle
	c.silent += o.silent
	c.suspectsClosed += o.suspectsClosed
	c.suspectsRestored += o.suspectsRestored
}

// waiter is a request that waits for a connection.
type waiter struct {
	ready chan takeResult
}

type takeResult struct {
	conn *Conn
	err  error
}

// Take returns a connection for one request. With nonIdempotent set, for a
// request that must not run twice, it returns no connection that the server
// may be about to close. The error is ErrBusy, ErrUnreachable, that of opening
// a connection, or that of ctx; nothing was sent.
func (p *Pool) Take(ctx context.Context, nonIdempotent bool) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return p.set.Pool(p.address).Take(ctx, nonIdempotent)
	}
	p.lastUsed = p.set.Now()
	if c := p.takeIdle(nonIdempotent); c != nil {
		p.dialAhead()
		p.mu.Unlock()
		return c, nil
	}
	if len(p.waiters) >= maxQueueLength {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	w := &waiter{ready: make(chan takeResult, 1)}
	p.waiters = append(p.waiters, w)
	p.dialForWaiters()
	p.mu.Unlock()
	return p.wait(ctx, w)
}

func (p *Pool) wait(ctx context.Context, w *waiter) (*Conn, error) {
	t := time.NewTimer(maxQueueWait)
	defer t.Stop()
	select {
	case d := <-w.ready:
		return d.conn, d.err
	case <-t.C:
		p.cancelWait(w)
		return nil, p.waitTimeoutError()
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, ctx.Err()
	}
}

// waitTimeoutError returns the error of a request that waited for maxQueueWait:
// ErrUnreachable when dials have been under way for more than half of that time,
// else ErrBusy.
func (p *Pool) waitTimeoutError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opening > 0 && time.Since(p.openingSince) > maxQueueWait/2 {
		return ErrUnreachable
	}
	return ErrBusy
}

// cancelWait removes a waiter from the queue and puts back the connection that
// it may have received meanwhile.
func (p *Pool) cancelWait(w *waiter) {
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

// takeIdle returns the connection that became idle last, or nil. For a
// non-idempotent request it returns none that has been idle for more than 3/4
// of the server's idle timeout.
func (p *Pool) takeIdle(nonIdempotent bool) *Conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if nonIdempotent && p.serverIdleTimeout > 0 && p.set.Now().Sub(c.idleSince) > p.serverIdleTimeout*3/4 {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if c.client.Err() != nil {
			c.removed = true
			continue
		}
		p.markBusy(c)
		return c
	}
	return nil
}

func (p *Pool) markBusy(c *Conn) {
	c.busy = true
	c.silent = false
	c.info = RequestInfo{}
	p.busy[c] = struct{}{}
}

// put makes a connection idle or hands it to a waiter.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.removed {
		return
	}
	if p.closed {
		p.discard(c)
		return
	}
	delete(p.busy, c)
	c.busy = false
	c.idleSince = p.set.Now()
	p.handOver(c)
}

// handOver gives a usable connection to the first waiter, or else makes it
// idle.
func (p *Pool) handOver(c *Conn) {
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, c)
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	p.markBusy(c)
	w.ready <- takeResult{conn: c}
}

// handleClose removes a closed connection.
func (p *Pool) handleClose(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.removed {
		return
	}
	if !c.busy {
		p.recordIdleClose(p.set.Now().Sub(c.idleSince))
	}
	p.remove(c)
	p.dialForWaiters()
}

func (p *Pool) remove(c *Conn) {
	c.removed = true
	delete(p.busy, c)
	same := func(o *Conn) bool { return o == c }
	if !c.busy {
		p.idle = slices.DeleteFunc(p.idle, same)
		p.suspects = slices.DeleteFunc(p.suspects, same)
	}
	if p.testConn == c {
		p.testConn = nil
	}
}

// discard removes and closes a connection that no request uses. Closing runs the
// client's state hook, which locks the mutex, so it is done in the background.
func (p *Pool) discard(c *Conn) {
	p.remove(c)
	go func() { _ = c.client.Close() }()
}

// recordIdleClose updates serverIdleTimeout after the server closed a
// connection that was idle for d. Less than a second does not count as an idle
// timeout.
func (p *Pool) recordIdleClose(d time.Duration) {
	p.counts.closedIdle++
	if d < time.Second {
		return
	}
	if p.serverIdleTimeout == 0 || d < p.serverIdleTimeout {
		p.serverIdleTimeout = d
	}
}

func (p *Pool) setRequestInfo(c *Conn, i RequestInfo) {
	p.mu.Lock()
	c.info = i
	p.mu.Unlock()
}

// recordAnswer adds the latency of an answer to the baseline. An answer on the
// test connection closes the suspects, unless that connection was silent; a late
// answer on a silent connection restores them.
func (p *Pool) recordAnswer(c *Conn, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.baselines[c.info.Kind]
	if !ok {
		b = &baseline{}
		p.baselines[c.info.Kind] = b
	}
	b.add(d)
	if p.testConn == c && !c.silent {
		p.closeSuspects()
	}
	if c.silent {
		c.silent = false
		p.restoreSuspects()
	}
}
