package pool

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lentilbend.example/internal/head"
)

// Errors of a request of which no byte was written.
var (
	// ErrDeadlinePassed means that the deadline passed before the first byte
	// was written.
	ErrDeadlinePassed = errors.New("pool: the deadline passed before the first byte was written")
	// ErrDelayed means that the process was paused between the making of the
	// request and its first byte, so that the remaining time stated in its
	// header is wrong.
	ErrDelayed = errors.New("pool: the request was delayed before its first byte was written")
	// ErrClosed means that the server closed the connection while it was
	// idle, or sent bytes on it.
	ErrClosed = errors.New("pool: the server closed the idle connection")
)

// maxSendDelay is the longest time from the start of a request that is not
// streamed to its first byte.
const maxSendDelay = 20 * time.Millisecond

// trackedConn is a network connection that records when bytes are written and
// read, and checks each request before its first byte is written. One request
// uses it at a time.
type trackedConn struct {
	head.Conn
	now func() time.Time
	// base is 1 ns before the connection was wrapped, so that firstWrite is
	// never 0 after a write.
	base time.Time
	// raw is nil when the connection has no file descriptor.
	raw syscall.RawConn
	// pollInput sets hasInput.
	pollInput func(fd uintptr)
	hasInput  bool

	// writing is held while bytes are written. It guards writeError, the error with
	// which the connection broke, if a write returned it.
	writing    sync.Mutex
	writeError error

	// startedAt, deadline and streamed belong to the current request.
	startedAt time.Time
	deadline  time.Time
	streamed  bool
	// firstWrite and lastRead are nanoseconds after base. firstWrite is 0
	// before the first byte of the current request.
	firstWrite atomic.Int64
	lastRead   atomic.Int64
}

func newTrackedConn(n net.Conn, now func() time.Time) (*trackedConn, error) {
	t := &trackedConn{Conn: head.Conn{Conn: n}, now: now, base: now().Add(-time.Nanosecond)}
	t.lastRead.Store(1)
	c, ok := n.(syscall.Conn)
	if !ok {
		return t, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("pool: get the raw connection: %w", err)
	}
	t.raw = raw
	t.pollInput = func(fd uintptr) { t.hasInput = pollReadable(int32(fd)) }
	return t, nil
}

// pollReadable reports whether the socket has bytes to read or the end of the
// stream. An idle connection must have neither.
func pollReadable(fd int32) bool {
	fs := [1]unix.PollFd{{Fd: fd, Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(fs[:], 0)
	return err == nil && n > 0
}

// hasHungUp reports whether both directions of a socket have ended. That is so after a
// reset, but not if the peer has only closed its direction.
func hasHungUp(fd int32) bool {
	fs := [1]unix.PollFd{{Fd: fd}}
	n, err := unix.Poll(fs[:], 0)
	return err == nil && n > 0 && fs[0].Revents&unix.POLLHUP != 0
}

// beginRequest prepares the connection for the next request.
func (t *trackedConn) beginRequest(i RequestInfo) {
	t.startedAt = t.now()
	t.deadline = i.Deadline
	t.streamed = i.Streamed
	t.firstWrite.Store(0)
}

// Read records when bytes arrive, and returns an error if the head of an answer is
// malformed. It returns io.EOF only if the peer has closed its direction, not after a reset.
func (t *trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.lastRead.Store(int64(t.now().Sub(t.base)))
	}
	if errors.Is(err, io.EOF) {
		if e := t.breakError(); e != nil {
			return n, e
		}
	}
	return n, err
}

// breakError returns the error with which the connection broke if a write returned it,
// else nil. The kernel reports the error of a socket only once, to a read or to a write;
// later reads find the end of the stream.
func (t *trackedConn) breakError() error {
	hungUp := true
	if t.raw != nil {
		// Control fails if the connection was closed here, as after a failed write.
		_ = t.raw.Control(func(fd uintptr) { hungUp = hasHungUp(int32(fd)) })
	}
	if !hungUp {
		return nil
	}
	// A write under way returns at once, since the socket has hung up or is closed.
	t.writing.Lock()
	defer t.writing.Unlock()
	return t.writeError
}

// Write checks the request before its first byte.
func (t *trackedConn) Write(b []byte) (int, error) {
	if t.firstWrite.Load() != 0 {
		return t.write(b)
	}
	now := t.now()
	if err := t.check(now); err != nil {
		return 0, err
	}
	t.firstWrite.Store(int64(now.Sub(t.base)))
	n, err := t.write(b)
	if n == 0 && err != nil {
		t.firstWrite.Store(0)
	}
	return n, err
}

// write writes b and keeps the error with which the connection broke. EPIPE is no such
// error: it may follow an orderly close by the peer.
func (t *trackedConn) write(b []byte) (int, error) {
	t.writing.Lock()
	defer t.writing.Unlock()
	n, err := t.Conn.Write(b)
	var e syscall.Errno
	if errors.As(err, &e) && e != syscall.EPIPE {
		t.writeError = err
	}
	return n, err
}

// check returns an error when the current request must not be written.
func (t *trackedConn) check(now time.Time) error {
	if !now.Before(t.deadline) {
		return ErrDeadlinePassed
	}
	if !t.streamed && now.Sub(t.startedAt) > maxSendDelay {
		return ErrDelayed
	}
	if t.raw == nil {
		return nil
	}
	if err := t.raw.Control(t.pollInput); err != nil || t.hasInput {
		return ErrClosed
	}
	return nil
}

// firstWriteTime returns when the first byte of the current request was
// written, and false before that.
func (t *trackedConn) firstWriteTime() (time.Time, bool) {
	d := t.firstWrite.Load()
	return t.base.Add(time.Duration(d)), d != 0
}

// lastReadTime returns when the last byte was read, or the connection was
// opened.
func (t *trackedConn) lastReadTime() time.Time {
	return t.base.Add(time.Duration(t.lastRead.Load()))
}
