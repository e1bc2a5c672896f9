package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Limits of one connection.
const (
	// maxPipelined is how many requests of a connection may be served at once.
	// What a caller sends behind them stays unread.
	maxPipelined = 16
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
	// peerCheckInterval is how often a connection that is not read is checked
	// for having been closed by the caller.
	peerCheckInterval = 100 * time.Millisecond
	// lingerTime and lingerBytes bound what is read from a caller after the last
	// answer, so that closing the connection does not reset it before the caller
	// has read that answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// longAgo is a deadline that interrupts a read.
var longAgo = time.Unix(1, 0)

// errCallerGone is the cause of the context's end after the caller has closed the
// connection.
var errCallerGone = errors.New("http1: the caller has closed the connection")

// conn is a caller's connection. One goroutine reads requests; each request is
// served by a worker, and the answers are written in the order of the requests.
type conn struct {
	server *Server
	net    net.Conn
	// raw is the connection below TLS, or net.
	raw    net.Conn
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelCauseFunc

	// changed tells the reader that an answer has ended.
	changed chan struct{}

	mu sync.Mutex
	// pending are the answers that are not written yet, in order.
	pending []*response
	// closing is set once the last answer of the connection is known. Requests
	// behind it are not served.
	closing bool
	// awaiting is set while the reader waits for the first byte of a request.
	awaiting bool
	// interrupted is set while an idle connection is being closed.
	interrupted bool
	served      bool
	// idleChecks counts the checks that have found the connection idle.
	idleChecks int
	heldBytes  int
	// openBody is the body that a handler reads; nil for none.
	openBody *body
}

// serve reads and serves requests until the connection ends, and closes it. It
// returns true, with the connection open, if the caller speaks HTTP/2.
func (c *conn) serve() bool {
	defer c.cancel(errCallerGone)
	if c.awaitRequest() {
		c.setReadDeadline(deadlineAfter(c.server.HeaderTimeout))
		if c.hasHTTP2Preface() {
			c.setReadDeadline(time.Time{})
			return true
		}
		for c.serveRequest() {
		}
	}
	c.discard()
	c.waitPending()
	_ = c.net.Close()
	return false
}

// http2Preface starts every HTTP/2 connection (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// hasHTTP2Preface reports whether the connection begins with the preface of HTTP/2.
func (c *conn) hasHTTP2Preface() bool {
	for i := range len(http2Preface) {
		b, err := c.reader.Peek(i + 1)
		if err != nil || b[i] != http2Preface[i] {
			return false
		}
	}
	return true
}

// serveRequest reads one request and starts to serve it. It returns false after
// the last request.
func (c *conn) serveRequest() bool {
	if !c.waitFor(func() bool { return len(c.pending) < maxPipelined }) || !c.awaitRequest() {
		return false
	}
	c.setReadDeadline(deadlineAfter(c.server.HeaderTimeout))
	buffer := writeBuffers.Get().(*[]byte)
	defer putBuffer(buffer)
	head, err := readHead(c.reader, (*buffer)[:0], c.server.headLimit())
	*buffer = head
	if err != nil {
		return c.refuseHead(err)
	}
	f, err := checkHead(head)
	if err != nil {
		return c.refuseHead(err)
	}
	b := bufferedReaders.Get().(*bufio.Reader)
	b.Reset(bytes.NewReader(head))
	q, err := parseRequest(b, f)
	b.Reset(nil)
	bufferedReaders.Put(b)
	if err != nil {
		return c.refuseHead(err)
	}
	return c.start(c.newResponse(q, f))
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() bool {
	for {
		c.mu.Lock()
		if c.closing && len(c.pending) == 0 {
			c.mu.Unlock()
			return false
		}
		c.awaiting = true
		if c.reader.Buffered() == 0 {
			c.resetIdleDeadline()
		}
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.awaiting, c.idleChecks = false, 0
		closing, interrupted := c.closing, c.interrupted
		c.interrupted = false
		idle := len(c.pending) == 0
		c.mu.Unlock()
		switch {
		case closing:
			return false
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel(errCallerGone)
			return false
		case interrupted && (!idle || c.hasUnreadData()):
		case idle:
			return false
		}
	}
}

// resetIdleDeadline sets the read deadline of a connection that waits for a
// request. The idle timeout counts only while nothing is served.
func (c *conn) resetIdleDeadline() {
	if len(c.pending) > 0 {
		c.setReadDeadline(time.Time{})
		return
	}
	c.setReadDeadline(deadlineAfter(c.server.IdleTimeout))
}

// deadlineAfter returns the deadline of a timeout that begins now, or no deadline for
// 0.
func deadlineAfter(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// newResponse returns the answer to a request.
func (c *conn) newResponse(q *http.Request, f framing) *response {
	r := &response{conn: c, http10: f.http10, received: time.Now(), header: http.Header{}}
	q.RemoteAddr = c.net.RemoteAddr().String()
	if f.length != 0 {
		r.body = newBody(c, q, f)
		q.Body = r.body
		if expectsContinue(q) {
			r.body.onFirstRead = r.writeContinue
		}
	}
	r.request = q.WithContext(c.ctx)
	if r.body != nil {
		r.body.request = r.request
	}
	r.mustClose = q.Close || f.http10 && !hasToken(q.Header["Connection"], "keep-alive")
	r.exclusive = f.http10 || c.server.Concurrent == nil || !c.server.Concurrent(r.request)
	return r
}

// start serves a request beside the earlier ones, or after them if one of them may
// not run beside others. It returns false if no request can follow.
func (c *conn) start(r *response) bool {
	last := r.mustClose
	if !c.waitFor(func() bool { return c.mayStart(r) }) || !c.enqueue(r) {
		return false
	}
	c.server.workers.run(r)
	if r.body != nil && !c.waitBody(r.body) {
		return false
	}
	return !last
}

// mayStart reports whether a request may run beside the pending ones. While the
// server drains, none may: the last of those pending closes the connection.
func (c *conn) mayStart(r *response) bool {
	if len(c.pending) == 0 {
		return true
	}
	return !c.server.draining.Load() && !r.exclusive && !c.pending[len(c.pending)-1].exclusive
}

// enqueue adds an answer to the pending ones. It returns false if the connection
// closes with an earlier answer.
func (c *conn) enqueue(r *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.served = true
	r.writable = len(c.pending) == 0
	if !r.writable {
		r.turn = make(chan struct{})
	}
	if r.writable {
		c.setWriteDeadline(time.Time{})
	}
	if r.body != nil {
		c.openBody = r.body
		c.setReadDeadline(time.Time{})
	}
	c.pending = append(c.pending, r)
	return true
}

// waitBody waits until the handler has read the body of its request, and returns
// false if it ended without reading all of it.
func (c *conn) waitBody(b *body) bool {
	<-b.done
	c.mu.Lock()
	c.openBody = nil
	c.mu.Unlock()
	return b.complete()
}

// waitFor waits until ready is true. It returns false if the connection ends or
// closes with an earlier answer.
func (c *conn) waitFor(ready func() bool) bool {
	var t *time.Ticker
	for {
		c.mu.Lock()
		ok, closing := ready(), c.closing
		c.mu.Unlock()
		if closing {
			return false
		}
		if ok {
			return true
		}
		if t == nil {
			t = time.NewTicker(peerCheckInterval)
			defer t.Stop()
		}
		select {
		case <-c.changed:
		case <-c.ctx.Done():
			return false
		case <-t.C:
			if isClosedByPeer(c.raw) {
				c.cancel(errCallerGone)
				return false
			}
		}
	}
}

// refuseHead refuses what is not a request, or closes the connection after an error
// of reading it. It returns false, since nothing behind it can be understood.
func (c *conn) refuseHead(err error) bool {
	var e *Error
	switch {
	case errors.As(err, &e):
	case errors.Is(err, os.ErrDeadlineExceeded):
		e = &Error{Status: http.StatusRequestTimeout, Reason: "The request's header did not arrive in time."}
	default:
		c.cancel(errCallerGone)
		return false
	}
	r := &response{
		conn: c, received: time.Now(), header: http.Header{}, mustClose: true,
		request: (&http.Request{Method: http.MethodGet, Header: http.Header{}}).WithContext(c.ctx), refusal: e,
	}
	if c.enqueue(r) {
		c.server.workers.run(r)
	}
	return false
}

// decideClose decides whether the connection closes after an answer. wanted says
// that the handler asked for it, which has to wait for the last of the requests
// that are being served.
func (c *conn) decideClose(r *response, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.mustClose || wanted && len(c.pending) == 1 {
		c.closing = true
		return true
	}
	return false
}

// endAnswer removes an answer that has been written or given up, and allows the next
// one to be written.
func (c *conn) endAnswer() {
	c.mu.Lock()
	c.pending[0] = nil
	c.pending = c.pending[1:]
	var next *response
	switch {
	case len(c.pending) > 0:
		next = c.pending[0]
	case c.closing:
		c.pending = nil
		closeWrite(c.net)
		c.setReadDeadline(time.Now().Add(lingerTime))
	case c.awaiting:
		c.pending = nil
		c.resetIdleDeadline()
	default:
		c.pending = nil
	}
	c.mu.Unlock()
	if next != nil {
		next.allowWriting()
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// abort closes the connection in place of an answer, or in the middle of one. An
// answer that would end with the connection must not look complete, so that the
// connection is reset.
func (c *conn) abort(r *response) {
	if t, ok := c.raw.(interface{ SetLinger(int) error }); ok && r.http10 {
		_ = t.SetLinger(0)
	}
	c.cancel(errCallerGone)
	_ = c.raw.Close()
}

// discard reads and ignores what a caller sends after the last request, and notices
// when it closes the connection.
func (c *conn) discard() {
	c.mu.Lock()
	if len(c.pending) > 0 {
		c.setReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c.reader, lingerBytes); err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		if len(c.pending) > 0 && err != nil {
			c.cancel(errCallerGone)
		}
		c.mu.Unlock()
	}
}

// waitPending waits until the handlers of all requests have returned.
func (c *conn) waitPending() {
	for {
		c.mu.Lock()
		n := len(c.pending)
		c.mu.Unlock()
		if n == 0 || c.ctx.Err() != nil {
			return
		}
		select {
		case <-c.changed:
		case <-c.ctx.Done():
		}
	}
}

// write writes bytes of the first pending answer.
func (c *conn) write(b []byte) error {
	if _, err := c.net.Write(b); err != nil {
		c.cancel(errCallerGone)
		return err
	}
	return nil
}

// reserveHeld reserves n bytes for answers that wait for those before them.
func (c *conn) reserveHeld(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldBytes+n > maxHeldBytes {
		return false
	}
	c.heldBytes += n
	return true
}

// releaseHeld releases n reserved bytes.
func (c *conn) releaseHeld(n int) {
	if n == 0 {
		return
	}
	c.mu.Lock()
	c.heldBytes -= n
	c.mu.Unlock()
}

// closeIfIdle closes the connection once the given number of checks in a row have
// found that it waits for a request. The checks are counted rather than the time, so
// that a pause of the whole machine closes no connection.
func (c *conn) closeIfIdle(idle, unused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaiting || len(c.pending) > 0 {
		return
	}
	limit := idle
	if !c.served {
		limit = unused
	}
	if c.idleChecks++; c.idleChecks >= limit {
		c.idleChecks = 0
		c.interrupted = true
		c.setReadDeadline(longAgo)
	}
}

// interruptBody interrupts a read of a body whose request has ended.
func (c *conn) interruptBody() {
	c.setReadDeadline(longAgo)
}

// setBodyDeadline sets the deadline for reading a body that is not complete.
func (c *conn) setBodyDeadline(b *body, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openBody == b && !b.complete() {
		return c.net.SetReadDeadline(t)
	}
	return nil
}

func (c *conn) setReadDeadline(t time.Time) {
	_ = c.net.SetReadDeadline(t)
}

func (c *conn) setWriteDeadline(t time.Time) {
	_ = c.net.SetWriteDeadline(t)
}
