package pool

import (
	"slices"
	"time"
)

// sweep looks for silent requests and for connections that were idle for too
// long. It returns the functions to call once the mutex is free.
func (p *Pool) sweep(now time.Time) []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reap(now)
	var fs []func()
	for c := range p.busy {
		if f := p.check(c, now); f != nil {
			fs = append(fs, f)
		}
	}
	return fs
}

// check puts a busy connection in doubt when its request is without an answer
// well past the usual latency.
func (p *Pool) check(c *Conn, now time.Time) func() {
	s, ok := c.wire.sentAt()
	if !ok || c.silent || c.wire.heardAt().After(s) {
		return nil
	}
	if now.Sub(s) < p.usual[c.trip.Kind].patience() {
		return nil
	}
	c.silent = true
	p.counts.silent++
	if p.trial == c {
		p.lift()
		return c.trip.Silent
	}
	p.doubt(s)
	return c.trip.Silent
}

// doubt sets aside the idle connections that were not heard from since sent,
// and opens a new one to be tried.
func (p *Pool) doubt(sent time.Time) {
	old := func(c *Conn) bool { return !c.wire.heardAt().After(sent) }
	for _, c := range p.idle {
		if old(c) {
			p.doubtful = append(p.doubtful, c)
		}
	}
	p.idle = slices.DeleteFunc(p.idle, old)
	if len(p.doubtful) > 0 && p.trial == nil && p.opening == 0 && p.room() {
		p.start()
	}
}

// condemn closes the connections in doubt: a new one answered where they were
// silent.
func (p *Pool) condemn() {
	p.trial = nil
	for _, c := range slices.Clone(p.doubtful) {
		p.counts.condemned++
		p.discard(c)
	}
}

// lift ends the doubt: the server is slow, not the connections lost.
func (p *Pool) lift() {
	p.trial = nil
	if len(p.doubtful) == 0 {
		return
	}
	p.counts.lifted++
	cs := p.doubtful
	p.doubtful = nil
	p.idle = slices.Concat(cs, p.idle)
	for len(p.waiters) > 0 && len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.offer(c)
	}
}

// reap closes connections that were idle for too long or are beyond the
// allowance.
func (p *Pool) reap(now time.Time) {
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.set.IdleTimeout {
		p.discard(p.idle[0])
	}
	for len(p.doubtful) > 0 && now.Sub(p.doubtful[0].idleSince) > p.set.IdleTimeout {
		p.discard(p.doubtful[0])
	}
	n := p.set.allowance(p.address)
	for len(p.idle) > 0 && p.open() > n {
		p.discard(p.idle[0])
	}
}

// retire closes what is idle; busy connections close when they come back.
func (p *Pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for _, c := range slices.Concat(p.idle, p.doubtful) {
		p.discard(c)
	}
}

// unused reports whether the pool has no connection and was not asked for one
// for longer than the idle timeout.
func (p *Pool) unused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open() == 0 && len(p.waiters) == 0 && now.Sub(p.lastUsed) > p.set.IdleTimeout
}
