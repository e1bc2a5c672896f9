package pool

import (
	"context"
	"net"
	"net/http"
	"time"
)

// connCount returns how many connections are open or being opened.
func (p *Pool) connCount() int {
	return len(p.idle) + len(p.suspects) + len(p.busy) + p.opening
}

// makeRoom reports whether one more connection may be opened. At the limit it
// closes a suspect connection, if there is one, to make room.
func (p *Pool) makeRoom() bool {
	if p.closed {
		return false
	}
	n := p.set.maxConns(p.address)
	if p.connCount() < n {
		return true
	}
	if len(p.suspects) == 0 || p.connCount() > n {
		return false
	}
	p.discard(p.suspects[0])
	return true
}

// dialForWaiters starts to open connections for the queued requests.
func (p *Pool) dialForWaiters() {
	for p.opening < len(p.waiters) && p.makeRoom() {
		p.startDial()
	}
}

// dialAhead starts to open a connection when fewer than MinIdle are idle or
// being opened and there are no suspects.
func (p *Pool) dialAhead() {
	if len(p.idle)+p.opening < p.set.MinIdle && len(p.suspects) == 0 && p.makeRoom() {
		p.startDial()
	}
}

func (p *Pool) startDial() {
	if p.opening == 0 {
		p.openingSince = time.Now()
	}
	p.opening++
	go p.dial()
}

func (p *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), p.set.DialTimeout)
	defer cancel()
	c := &Conn{pool: p}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, connKey{}, c), "http", p.host)
	if err != nil {
		p.handleDial(nil, err)
		return
	}
	c.client = client
	p.handleDial(c, nil)
	client.SetStateHook(c.handleStateChange)
}

// handleDial adds the opened connection to the pool, or handles the error.
func (p *Pool) handleDial(c *Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.handleDialError(err)
		return
	}
	p.counts.opened++
	c.idleSince = p.set.Now()
	if p.closed {
		p.discard(c)
		return
	}
	if len(p.suspects) > 0 && p.testConn == nil {
		p.testConn = c
	}
	p.handOver(c)
}

// handleDialError returns err to the first waiter, or to all of them when no
// connection is open or being opened that could serve them.
func (p *Pool) handleDialError(err error) {
	p.counts.openFailed++
	n := min(1, len(p.waiters))
	if p.connCount() == 0 {
		n = len(p.waiters)
	}
	for _, w := range p.waiters[:n] {
		w.ready <- takeResult{err: err}
	}
	p.waiters = p.waiters[n:]
}

// connKey is the context key under which DialContext finds the Conn that dial
// is opening.
type connKey struct{}

// newTransport returns a transport that only opens connections. Requests don't
// pass through its RoundTrip, which may send a request a second time.
func newTransport(now func() time.Time) *http.Transport {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     15 * time.Second,
		Interval: 5 * time.Second,
		Count:    3,
	}}
	return &http.Transport{
		Protocols:              p,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 256 << 10,
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			n, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			t, err := newTrackedConn(n, now)
			if err != nil {
				_ = n.Close()
				return nil, err
			}
			ctx.Value(connKey{}).(*Conn).tracked = t
			return t, nil
		},
	}
}
