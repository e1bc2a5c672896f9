// Package http1 serves the HTTP/1.0 and HTTP/1.1 connections of callers. It finds
// the boundaries of the messages itself, strictly, so that what a caller sends is
// understood in one way only however it is cut into packets, and it serves
// pipelined requests at the same time where that is allowed.
package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Server serves connections. Set the exported fields before use.
type Server struct {
	// Handler serves the requests. Its http.ResponseWriter implements
	// ArrivalRecorder and the methods of http.ResponseController except Hijack.
	Handler http.Handler
	// Refuse answers what is not a valid request.
	Refuse func(w http.ResponseWriter, r *http.Request, e *Error)
	// Concurrent reports whether a request may run beside others of its
	// connection; nil if none may.
	Concurrent func(r *http.Request) bool
	// MaxHeaderBytes is the largest request line and header that are read, in
	// bytes.
	MaxHeaderBytes int
	// HeaderTimeout is how long a caller may take to send a header, from its
	// first byte on; 0 for no limit.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open; 0 for no limit.
	IdleTimeout time.Duration
	// Panicked is called with the value of a handler's panic, other than
	// http.ErrAbortHandler; nil to ignore it.
	Panicked func(v any)

	draining atomic.Bool
	workers  workers
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

// StartDrain makes a connection serve no further request beside those that it
// serves already, so that the last of them can close it.
func (s *Server) StartDrain() {
	s.draining.Store(true)
}

// ArrivalRecorder tells when the head of a request had been read, which may be
// earlier than the start of its handler.
type ArrivalRecorder interface {
	ReceivedAt() time.Time
}

// NewReader returns a reader for a connection that is then passed to ServeConn.
func NewReader(n net.Conn) *bufio.Reader {
	return bufio.NewReaderSize(n, readBufferSize)
}

// ServeConn serves requests until the connection ends, and closes it. raw is the
// connection below TLS, or n, and r reads from n. If the connection begins with the
// preface of HTTP/2, ServeConn leaves it open, the preface still to be read from r,
// and returns true.
func (s *Server) ServeConn(n, raw net.Conn, r *bufio.Reader) bool {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &conn{
		server: s, net: n, raw: raw, reader: r,
		ctx: ctx, cancel: cancel, changed: make(chan struct{}, 1),
	}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	http2 := c.serve()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	return http2
}

// headLimit returns how long a head may be, in bytes.
func (s *Server) headLimit() int {
	if s.MaxHeaderBytes > 0 {
		return s.MaxHeaderBytes
	}
	return http.DefaultMaxHeaderBytes
}

// CloseIdle starts to close the connections that idle checks in a row have found
// waiting for a request, or unused checks if they have not carried one yet. It
// returns the number of open connections.
func (s *Server) CloseIdle(idle, unused int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle(idle, unused)
	}
	return len(s.conns)
}

// Len returns the number of open connections.
func (s *Server) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
}

// closeWrite ends the sending side of a connection.
func closeWrite(n net.Conn) {
	if w, ok := n.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
}

// hasUnreadData reports whether the kernel holds bytes that were not read yet.
func (c *conn) hasUnreadData() bool {
	return c.reader.Buffered() > 0 || pollSocket(c.raw, unix.POLLIN)
}

// isClosedByPeer reports whether the other end has closed a connection, even if
// bytes that it sent before were not read yet.
func isClosedByPeer(n net.Conn) bool {
	return pollSocket(n, unix.POLLRDHUP)
}

// pollSocket reports whether one of the events has occurred at a socket.
func pollSocket(n net.Conn, events int16) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	occurred := false
	_ = r.Control(func(fd uintptr) {
		fs := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(fs, 0)
		occurred = err == nil && n > 0 && fs[0].Revents&(events|unix.POLLHUP|unix.POLLERR) != 0
	})
	return occurred
}
