package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener returns connections that can be made silent, and limits how many are
// open.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection. It closes connections beyond
// Server.Connections at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := &conn{Conn: c, set: &l.server.conns, firstWriteDelay: l.server.OpenTime, closed: make(chan struct{})}
		if l.server.conns.add(n, l.server.Connections) {
			return n, nil
		}
		_ = c.Close()
	}
}

// connSet holds the open connections of a server.
type connSet struct {
	mu      sync.Mutex
	open    map[*conn]bool
	refused uint64
}

// add adds a connection. It returns false if maxOpen connections are open already;
// 0 means no limit.
func (s *connSet) add(c *conn, maxOpen int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*conn]bool{}
	}
	if maxOpen > 0 && len(s.open) >= maxOpen {
		s.refused++
		return false
	}
	s.open[c] = true
	return true
}

func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *connSet) refusedCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// silenceAll makes all open connections silent permanently. The read deadline wakes
// blocked reads.
func (s *connSet) silenceAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.silent.Store(true)
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// closeAll closes all open connections, including the silent ones, which conn.Close
// leaves open.
func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeOnce.Do(func() { close(c.closed) })
		_ = c.Conn.Close()
	}
}

// conn is a connection that can be made silent: it then discards what it receives,
// sends nothing, and does not tell the peer when the server closes it.
type conn struct {
	net.Conn
	set *connSet
	// firstWriteDelay delays the first write on the connection.
	firstWriteDelay time.Duration
	written         atomic.Bool
	silent          atomic.Bool
	closeOnce       sync.Once
	// closed is closed by connSet.closeAll.
	closed chan struct{}
}

// Read reads from the connection. On a silent connection it blocks until the server
// is closed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.silent.Load() {
		return n, err
	}
	go c.discard()
	<-c.closed
	return 0, net.ErrClosed
}

// discard reads and drops what the peer sends, so that the peer's writes do not
// block.
func (c *conn) discard() {
	_ = c.Conn.SetReadDeadline(time.Time{})
	b := make([]byte, 4096)
	for {
		if _, err := c.Conn.Read(b); err != nil {
			return
		}
	}
}

// Write sends b, or drops it on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if c.firstWriteDelay > 0 && c.written.CompareAndSwap(false, true) {
		time.Sleep(c.firstWriteDelay)
	}
	return c.Conn.Write(b)
}

// Close closes the connection; a silent one stays open for the peer.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.set.remove(c)
	return c.Conn.Close()
}

// SetReadDeadline has no effect on a silent connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.silent.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}
