package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// lossyDialer dials connections that can be made to lose what is written or read.
type lossyDialer struct {
	mu    sync.Mutex
	conns []*lossyConn
}

// lossyConn is a connection whose two directions can fail without an error.
type lossyConn struct {
	net.Conn
	loseWrites, loseReads atomic.Bool
	closed                chan struct{}
	once                  sync.Once
}

// Write discards b and reports success while loseWrites is set.
func (h *lossyConn) Write(b []byte) (int, error) {
	if h.loseWrites.Load() {
		return len(b), nil
	}
	return h.Conn.Write(b)
}

// Read discards what it reads and blocks until Close while loseReads is set.
func (h *lossyConn) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if h.loseReads.Load() {
		<-h.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection and unblocks Read.
func (h *lossyConn) Close() error {
	h.once.Do(func() { close(h.closed) })
	return h.Conn.Close()
}

// dial opens a TCP connection and remembers it for setLossy.
func (h *lossyDialer) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	x := &lossyConn{Conn: c, closed: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, x)
	return x, nil
}

// setLossy sets which directions of the connections dialled so far lose data.
// Later connections work.
func (h *lossyDialer) setLossy(writes, reads bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.loseWrites.Store(writes)
		c.loseReads.Store(reads)
	}
}
