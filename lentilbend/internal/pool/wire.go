package pool

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Errors of a request of which no byte was written.
var (
	// ErrLate means that the deadline passed before the first byte.
	ErrLate = errors.New("pool: the deadline passed before the first byte")
	// ErrStale means that the process was held up after the request was
	// made, so that the time left that it states is wrong.
	ErrStale = errors.New("pool: the request was held up before the first byte")
	// ErrClosed means that the server closed the connection while it was
	// idle.
	ErrClosed = errors.New("pool: the server closed the idle connection")
)

// staleAfter is how long a request may wait between its making and its first
// byte.
const staleAfter = 20 * time.Millisecond

// wire is a network connection that notes when bytes pass, and checks the
// request once more before its first byte. One request uses it at a time.
type wire struct {
	net.Conn
	now  func() time.Time
	base time.Time
	raw  syscall.RawConn
	poll func(fd uintptr)
	dead bool

	// made and deadline belong to the current request.
	made     time.Time
	deadline time.Time
	streamed bool
	// sent and heard are durations after base; sent is 0 before the first
	// byte of the current request.
	sent  atomic.Int64
	heard atomic.Int64
}

func newWire(n net.Conn, now func() time.Time) (*wire, error) {
	w := &wire{Conn: n, now: now, base: now().Add(-time.Nanosecond)}
	w.heard.Store(1)
	c, ok := n.(syscall.Conn)
	if !ok {
		return w, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("pool: %w", err)
	}
	w.raw = raw
	w.poll = func(fd uintptr) { w.dead = readable(int32(fd)) }
	return w, nil
}

// readable reports whether the socket has something to read, an end included.
// An idle connection must have neither.
func readable(fd int32) bool {
	fs := [1]unix.PollFd{{Fd: fd, Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(fs[:], 0)
	return err == nil && n > 0
}

// begin prepares the wire for the next request.
func (w *wire) begin(t Trip) {
	w.made = w.now()
	w.deadline = t.Deadline
	w.streamed = t.Streamed
	w.sent.Store(0)
}

// Read notes the time of bytes that arrive.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.heard.Store(int64(w.now().Sub(w.base)))
	}
	return n, err
}

// Write checks the request before its first byte.
func (w *wire) Write(b []byte) (int, error) {
	if w.sent.Load() != 0 {
		return w.Conn.Write(b)
	}
	now := w.now()
	if err := w.check(now); err != nil {
		return 0, err
	}
	w.sent.Store(int64(now.Sub(w.base)))
	n, err := w.Conn.Write(b)
	if n == 0 && err != nil {
		w.sent.Store(0)
	}
	return n, err
}

func (w *wire) check(now time.Time) error {
	if !now.Before(w.deadline) {
		return ErrLate
	}
	if !w.streamed && now.Sub(w.made) > staleAfter {
		return ErrStale
	}
	if w.raw == nil {
		return nil
	}
	if err := w.raw.Control(w.poll); err != nil || w.dead {
		return ErrClosed
	}
	return nil
}

// sentAt returns when the first byte of the current request was written.
func (w *wire) sentAt() (time.Time, bool) {
	d := w.sent.Load()
	return w.base.Add(time.Duration(d)), d != 0
}

// heardAt returns when the last byte was read, or the connection was opened.
func (w *wire) heardAt() time.Time {
	return w.base.Add(time.Duration(w.heard.Load()))
}
