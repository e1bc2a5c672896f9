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

// Times of a planned stop.
const (
	// quietTime is how long nothing must have come on an idle HTTP/1.1
	// connection before it is closed.
	quietTime = 100 * time.Millisecond
	// newTime is the same for one on which no request has come at all.
	newTime = time.Second
	// lingerTime is how long an idle HTTP/2 connection stays open after its
	// end was announced.
	lingerTime = 2 * time.Second
)

// preface starts every HTTP/2 connection (RFC 9113, section 3.4).
var preface = []byte("PRI * HTTP/2.0")

// Phases of a connection.
const (
	isNew int32 = iota
	isIdle
	isActive
)

// conn is a caller's connection. During a planned stop it is closed only when
// nothing has arrived on it.
type conn struct {
	net.Conn
	owner *listener

	phase   atomic.Int32
	http2   atomic.Bool
	begun   atomic.Bool
	touched atomic.Bool
	lingers atomic.Bool
	once    sync.Once
	// framing is used by the reader and, between two requests, by enter.
	framing framing
	// mu guards the two fields below.
	mu       sync.Mutex
	deadline time.Time
	probed   bool
	// quiet is since when nothing came, as seen by closeIdle, which alone
	// uses it.
	quiet time.Time
}

// Read notes that bytes arrived.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.resume() {
		n, err = c.Conn.Read(b)
	}
	if n == 0 {
		return n, err
	}
	c.touched.Store(true)
	if c.phase.Load() != isActive && !c.owner.secure && !c.http2.Load() {
		c.framing.read(b[:n])
	}
	if !c.begun.Swap(true) && bytes.HasPrefix(b[:n], preface[:min(n, len(preface))]) {
		c.http2.Store(true)
	}
	return n, err
}

// SetReadDeadline sets the deadline that a probe interrupts.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// probe interrupts the reader, which then closes the connection itself if no
// byte has arrived. Nobody else can tell: bytes that were just read stand
// neither in the kernel nor yet in touched.
func (c *conn) probe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probed = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// resume ends a probe. It returns true when the reader must go on.
func (c *conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.probed {
		return false
	}
	c.probed = false
	if !c.touched.Load() && !c.pending() {
		_ = c.end()
		return false
	}
	_ = c.Conn.SetReadDeadline(c.deadline)
	return true
}

// Close closes the connection. The first close of an idle HTTP/2 connection
// while the server leaves waits for lingerTime: the announcement of the end
// must still reach the caller, and requests that crossed it be answered.
func (c *conn) Close() error {
	waits := c.owner.leaving.Load() && c.http2.Load() && c.phase.Load() == isIdle
	if !waits || !c.lingers.CompareAndSwap(false, true) {
		return c.end()
	}
	time.AfterFunc(lingerTime, func() {
		if c.phase.Load() == isIdle {
			_ = c.end()
		}
	})
	return nil
}

// CloseWrite ends the writing side, so that a refusal is read before the
// connection is reset.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *conn) end() error {
	var err error
	c.once.Do(func() {
		err = c.Conn.Close()
		c.owner.forget(c)
	})
	return err
}

// probeIfQuiet probes a connection that waited for a request for long enough.
func (c *conn) probeIfQuiet(now time.Time) {
	p := c.phase.Load()
	if p == isActive || c.touched.Load() {
		c.quiet = time.Time{}
		return
	}
	if c.quiet.IsZero() {
		c.quiet = now
	}
	wait := quietTime
	if p == isNew {
		wait = newTime
	}
	if now.Sub(c.quiet) >= wait {
		c.probe()
	}
}

// pending reports whether bytes wait to be read.
func (c *conn) pending() bool {
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

// enter notes the phase that the server is in with the connection.
func (c *conn) enter(phase int32) {
	c.touched.Store(false)
	if phase == isIdle {
		c.framing.begin()
	}
	c.phase.Store(phase)
}
