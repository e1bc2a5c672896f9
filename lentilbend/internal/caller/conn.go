package caller

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// http2CloseDelay is how long an idle HTTP/2 connection stays open during a graceful
// shutdown after the GOAWAY frame.
const http2CloseDelay = 2 * time.Second

// conn is a caller's connection.
type conn struct {
	net.Conn
	listener *listener

	// prefix holds bytes of an HTTP/2 connection that were read before its
	// protocol was known; nil for none.
	prefix *bufio.Reader
	http2  atomic.Bool
	// idle is set while an HTTP/2 connection carries no request.
	idle atomic.Bool
	// closeDelayed is set once Close has delayed the close.
	closeDelayed atomic.Bool
	closeOnce    sync.Once
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	if c.prefix != nil && c.prefix.Buffered() > 0 {
		return c.prefix.Read(b[:min(len(b), c.prefix.Buffered())])
	}
	return c.Conn.Read(b)
}

// Close closes the connection. While the server drains, the first Close of an
// idle HTTP/2 connection is delayed by http2CloseDelay, so that the GOAWAY frame
// reaches the caller and requests that it sent before receiving it are answered.
func (c *conn) Close() error {
	delayed := c.listener.draining.Load() && c.http2.Load() && c.idle.Load()
	if !delayed || !c.closeDelayed.CompareAndSwap(false, true) {
		return c.closeNow()
	}
	time.AfterFunc(http2CloseDelay, func() {
		if c.idle.Load() {
			_ = c.closeNow()
		}
	})
	return nil
}

// CloseWrite closes the writing side, so that the caller can read the last answer
// before the connection is closed.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets how the kernel closes the connection, as net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// SyscallConn returns the connection's socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return s.SyscallConn()
}

// closeNow closes the connection without delay.
func (c *conn) closeNow() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.listener.remove(c)
	})
	return err
}
