package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// holes makes connections lose what is written or what is read.
type holes struct {
	mu    sync.Mutex
	conns []*hole
}

type hole struct {
	net.Conn
	loseWrites, loseReads atomic.Bool
	closed                chan struct{}
	once                  sync.Once
}

// Write loses what it is given while loseWrites is set.
func (h *hole) Write(b []byte) (int, error) {
	if h.loseWrites.Load() {
		return len(b), nil
	}
	return h.Conn.Write(b)
}

// Read gives nothing more while loseReads is set.
func (h *hole) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if h.loseReads.Load() {
		<-h.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection.
func (h *hole) Close() error {
	h.once.Do(func() { close(h.closed) })
	return h.Conn.Close()
}

func (h *holes) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	x := &hole{Conn: c, closed: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, x)
	return x, nil
}

// lose makes all connections of now lossy; new ones work.
func (h *holes) lose(writes, reads bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.loseWrites.Store(writes)
		c.loseReads.Store(reads)
	}
}
