package caller

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Delays of a graceful shutdown.
const (
	// http1IdleDelay is how long an HTTP/1.1 connection must be idle before it
	// is closed.
	http1IdleDelay = 100 * time.Millisecond
	// newConnDelay is the same for a connection that has not carried a request
	// yet.
	newConnDelay = time.Second
	// http2CloseDelay is how long an idle HTTP/2 connection stays open after
	// the GOAWAY frame.
	http2CloseDelay = 2 * time.Second
)

// http2Preface starts every HTTP/2 connection (RFC 9113, section 3.4).
var http2Preface = []byte("PRI * HTTP/2.0")

// Phases of a connection: before the first request, between requests and during
// a request.
const (
	phaseNew int32 = iota
	phaseIdle
	phaseActive
)

// conn is a caller's connection. During a graceful shutdown, an HTTP/1.1
// connection is closed only while no request is arriving on it.
type conn struct {
	net.Conn
	listener *listener

	phase atomic.Int32
	http2 atomic.Bool
	// readStarted is set once the first bytes were read.
	readStarted atomic.Bool
	// dataReceived is set if bytes were read in the current phase.
	dataReceived atomic.Bool
	// closeDelayed is set once Close has delayed the close.
	closeDelayed atomic.Bool
	closeOnce    sync.Once
	// framing is used by the reader and, between two requests, by setPhase.
	framing framingScanner
	// mu guards the two fields below.
	mu           sync.Mutex
	readDeadline time.Time
	// interrupted is set while the read deadline is replaced by interruptRead.
	interrupted bool
	// idleSince is when interruptIfIdle first found the connection idle. Only
	// listener.closeIdle uses it.
	idleSince time.Time
}

// Read reads from the connection. It records that data arrived, scans the heads
// of unencrypted HTTP/1.1 requests and detects HTTP/2.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.resumeRead() {
		n, err = c.Conn.Read(b)
	}
	if n == 0 {
		return n, err
	}
	c.dataReceived.Store(true)
	if c.phase.Load() != phaseActive && !c.listener.encrypted && !c.http2.Load() {
		c.framing.scan(b[:n])
	}
	if !c.readStarted.Swap(true) && bytes.HasPrefix(b[:n], http2Preface[:min(n, len(http2Preface))]) {
		c.http2.Store(true)
	}
	return n, err
}

// SetReadDeadline sets the deadline and keeps it, so that resumeRead can restore
// it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the read and the write deadline.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// interruptRead interrupts the reader, which then closes the connection if no
// data has arrived. Only the reader can decide this: bytes that Read has just
// taken from the kernel are not yet recorded in dataReceived.
func (c *conn) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// resumeRead ends an interruption by interruptRead. It closes the connection if
// no data has arrived; otherwise it restores the read deadline and returns true,
// and the reader must read again.
func (c *conn) resumeRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		return false
	}
	c.interrupted = false
	if !c.dataReceived.Load() && !c.hasUnreadData() {
		_ = c.closeNow()
		return false
	}
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

// Close closes the connection. While the server drains, the first Close of an
// idle HTTP/2 connection is delayed by http2CloseDelay, so that the GOAWAY frame
// reaches the caller and requests that it sent before receiving it are answered.
func (c *conn) Close() error {
	delayed := c.listener.draining.Load() && c.http2.Load() && c.phase.Load() == phaseIdle
	if !delayed || !c.closeDelayed.CompareAndSwap(false, true) {
		return c.closeNow()
	}
	time.AfterFunc(http2CloseDelay, func() {
		if c.phase.Load() == phaseIdle {
			_ = c.closeNow()
		}
	})
	return nil
}

// CloseWrite closes the writing side, so that the caller can read a refusal
// before the connection is reset.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
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

// interruptIfIdle calls interruptRead if the connection has been idle for long
// enough.
func (c *conn) interruptIfIdle(now time.Time) {
	p := c.phase.Load()
	if p == phaseActive || c.dataReceived.Load() {
		c.idleSince = time.Time{}
		return
	}
	if c.idleSince.IsZero() {
		c.idleSince = now
	}
	wait := http1IdleDelay
	if p == phaseNew {
		wait = newConnDelay
	}
	if now.Sub(c.idleSince) >= wait {
		c.interruptRead()
	}
}

// hasUnreadData reports whether the kernel holds bytes that were not read yet.
func (c *conn) hasUnreadData() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	_ = r.Control(func(fd uintptr) {
		fs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fs, 0)
		waiting = err == nil && n > 0 && fs[0].Revents&unix.POLLIN != 0
	})
	return waiting
}

// setPhase sets the phase of the connection.
func (c *conn) setPhase(phase int32) {
	c.dataReceived.Store(false)
	if phase == phaseIdle {
		c.framing.reset()
	}
	c.phase.Store(phase)
}
