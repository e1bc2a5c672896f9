package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener hands out connections that can be made silent.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the bound; more are closed at
// once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := &conn{Conn: c, all: &l.server.conns, wait: l.server.OpenTime, released: make(chan struct{})}
		if l.server.conns.add(n, l.server.Connections) {
			return n, nil
		}
		_ = c.Close()
	}
}

// conns are the open connections of a server.
type conns struct {
	mu      sync.Mutex
	open    map[*conn]bool
	refused uint64
}

// add returns false when most connections are open already.
func (s *conns) add(c *conn, most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*conn]bool{}
	}
	if most > 0 && len(s.open) >= most {
		s.refused++
		return false
	}
	s.open[c] = true
	return true
}

func (s *conns) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *conns) refusals() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// silence makes all open connections silent for good.
func (s *conns) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.silent.Store(true)
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// release closes the silent connections.
func (s *conns) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.once.Do(func() { close(c.released) })
		_ = c.Conn.Close()
	}
}

// conn is a connection that may have gone silent: what comes is lost, nothing
// is sent, and its end is not told.
type conn struct {
	net.Conn
	all      *conns
	wait     time.Duration
	begun    atomic.Bool
	silent   atomic.Bool
	once     sync.Once
	released chan struct{}
}

// Read returns what came, or blocks for good on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.silent.Load() {
		return n, err
	}
	go c.discard()
	<-c.released
	return 0, net.ErrClosed
}

// discard reads what still comes, so that the peer's sends go on.
func (c *conn) discard() {
	_ = c.Conn.SetReadDeadline(time.Time{})
	b := make([]byte, 4096)
	for {
		if _, err := c.Conn.Read(b); err != nil {
			return
		}
	}
}

// Write sends b, or loses it on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if c.wait > 0 && c.begun.CompareAndSwap(false, true) {
		time.Sleep(c.wait)
	}
	return c.Conn.Write(b)
}

// Close ends the connection; a silent one stays open for the peer.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.all.remove(c)
	return c.Conn.Close()
}

// SetReadDeadline has no effect on a silent connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.silent.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}
