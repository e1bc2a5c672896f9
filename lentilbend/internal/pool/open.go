package pool

import (
	"context"
	"net"
	"net/http"
	"time"
)

// open returns how many connections are open or being opened.
func (p *Pool) open() int {
	return len(p.idle) + len(p.doubtful) + len(p.busy) + p.opening
}

// room reports whether one more connection may be opened. It closes a
// connection in doubt to make room.
func (p *Pool) room() bool {
	if p.retired {
		return false
	}
	n := p.set.allowance(p.address)
	if p.open() < n {
		return true
	}
	if len(p.doubtful) == 0 || p.open() > n {
		return false
	}
	p.discard(p.doubtful[0])
	return true
}

// openForWaiters starts to open connections for requests that wait.
func (p *Pool) openForWaiters() {
	for p.opening < len(p.waiters) && p.room() {
		p.start()
	}
}

// openAhead opens a connection before it is needed.
func (p *Pool) openAhead() {
	if len(p.idle)+p.opening < p.set.Ahead && len(p.doubtful) == 0 && p.room() {
		p.start()
	}
}

func (p *Pool) start() {
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
	client, err := p.client.NewClientConn(context.WithValue(ctx, connKey{}, c), "http", p.host)
	if err != nil {
		p.dialed(nil, err)
		return
	}
	c.client = client
	p.dialed(c, nil)
	client.SetStateHook(c.changed)
}

// dialed takes the result of dial.
func (p *Pool) dialed(c *Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.dialFailed(err)
		return
	}
	p.counts.opened++
	c.idleSince = p.set.Now()
	if p.retired {
		p.discard(c)
		return
	}
	if len(p.doubtful) > 0 && p.trial == nil {
		p.trial = c
	}
	p.offer(c)
}

// dialFailed tells the first waiter, and all of them when nothing is left to
// wait for.
func (p *Pool) dialFailed(err error) {
	p.counts.failed++
	n := min(1, len(p.waiters))
	if p.open() == 0 {
		n = len(p.waiters)
	}
	for _, w := range p.waiters[:n] {
		w.ready <- delivery{err: err}
	}
	p.waiters = p.waiters[n:]
}

// connKey is the context key under which dial finds the connection.
type connKey struct{}

// newTransport returns a transport that only opens connections. Its request
// path with the standard retries is never used.
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
			w, err := newWire(n, now)
			if err != nil {
				_ = n.Close()
				return nil, err
			}
			ctx.Value(connKey{}).(*Conn).wire = w
			return w, nil
		},
	}
}
