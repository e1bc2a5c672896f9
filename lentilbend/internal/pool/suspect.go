package pool

import (
	"slices"
	"time"
)

// sweep checks for silent requests and closes connections that were idle for
// too long. It returns the OnSilent functions to call once the mutex is free.
func (p *Pool) sweep(now time.Time) []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExcess(now)
	var fs []func()
	for c := range p.busy {
		if f := p.checkSilence(c, now); f != nil {
			fs = append(fs, f)
		}
	}
	return fs
}

// checkSilence marks a busy connection as silent when its request has no
// answer within the silence timeout. The idle connections then become suspect;
// if c is the test connection, the suspects are restored instead. It returns
// OnSilent of the request that has just become silent, else nil.
func (p *Pool) checkSilence(c *Conn, now time.Time) func() {
	s, ok := c.tracked.firstWriteTime()
	if !ok || c.silent || c.tracked.lastReadTime().After(s) {
		return nil
	}
	if now.Sub(s) < p.baselines[c.info.Kind].silenceTimeout() {
		return nil
	}
	c.silent = true
	p.counts.silent++
	if p.testConn == c {
		p.restoreSuspects()
		return c.info.OnSilent
	}
	p.suspectIdle(s)
	return c.info.OnSilent
}

// suspectIdle sets aside the idle connections from which nothing was read after
// the silent request was sent: like its connection they may be broken without
// notice. It dials the test connection, unless there is one or a dial is under
// way whose connection will become it.
func (p *Pool) suspectIdle(sent time.Time) {
	old := func(c *Conn) bool { return !c.tracked.lastReadTime().After(sent) }
	for _, c := range p.idle {
		if old(c) {
			p.suspects = append(p.suspects, c)
		}
	}
	p.idle = slices.DeleteFunc(p.idle, old)
	if len(p.suspects) > 0 && p.testConn == nil && p.opening == 0 && p.makeRoom() {
		p.startDial()
	}
}

// closeSuspects closes the suspect connections. It is called when the test
// connection has brought an answer: the server works, so the suspects are taken
// to be broken.
func (p *Pool) closeSuspects() {
	p.testConn = nil
	for _, c := range slices.Clone(p.suspects) {
		p.counts.suspectsClosed++
		p.discard(c)
	}
}

// restoreSuspects makes the suspect connections idle again. It is called when the
// server turns out to be slow and the connections intact.
func (p *Pool) restoreSuspects() {
	p.testConn = nil
	if len(p.suspects) == 0 {
		return
	}
	p.counts.suspectsRestored++
	cs := p.suspects
	p.suspects = nil
	p.idle = slices.Concat(cs, p.idle)
	for len(p.waiters) > 0 && len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.handOver(c)
	}
}

// closeExcess closes connections that were idle for too long or that exceed
// the connection limit.
func (p *Pool) closeExcess(now time.Time) {
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.set.IdleTimeout {
		p.discard(p.idle[0])
	}
	for len(p.suspects) > 0 && now.Sub(p.suspects[0].idleSince) > p.set.IdleTimeout {
		p.discard(p.suspects[0])
	}
	n := p.set.maxConns(p.address)
	for len(p.idle) > 0 && p.connCount() > n {
		p.discard(p.idle[0])
	}
}

// shutDown closes the idle connections; busy ones close when they are
// returned.
func (p *Pool) shutDown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range slices.Concat(p.idle, p.suspects) {
		p.discard(c)
	}
}

// unused reports whether the pool has no connection and was not asked for one
// for longer than the idle timeout.
func (p *Pool) unused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount() == 0 && len(p.waiters) == 0 && now.Sub(p.lastUsed) > p.set.IdleTimeout
}
