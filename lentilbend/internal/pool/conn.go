package pool

import (
	"net/http"
	"time"
)

// RequestInfo is what the pool needs to know about a request.
type RequestInfo struct {
	// Kind is the kind of request, which selects the baseline latency.
	Kind string
	// Deadline is checked again just before the first byte is written.
	Deadline time.Time
	// Streamed says that the first byte may wait for the caller's body; such
	// a wait gives no ErrDelayed.
	Streamed bool
	// OnSilent is called at most once, from Sweep, when no byte of the answer
	// has come within the silence timeout, which is well above the baseline
	// latency. It must not block and may be nil.
	OnSilent func()
}

// Conn is a connection in use by one request, which ends its use with Release
// or Close.
type Conn struct {
	pool    *Pool
	client  *http.ClientConn
	tracked *trackedConn

	// The pool's mutex guards the fields below.
	idleSince time.Time
	busy      bool
	removed   bool
	silent    bool
	info      RequestInfo
}

// RoundTrip sends r and returns the response with its body unread. It never
// sends a request twice.
func (c *Conn) RoundTrip(r *http.Request, i RequestInfo) (*http.Response, error) {
	c.tracked.beginRequest(i)
	c.pool.setRequestInfo(c, i)
	return c.client.RoundTrip(r)
}

// Host returns the server's address and port as text.
func (c *Conn) Host() string {
	return c.pool.host
}

// Written reports whether any byte of the current request was written. It is
// exact once RoundTrip has returned.
func (c *Conn) Written() bool {
	_, ok := c.tracked.firstWriteTime()
	return ok
}

// TimeToFirstByte returns the time from the first byte written to the last
// byte read so far. Call it as soon as RoundTrip has returned, when only the
// head of the answer has been read.
func (c *Conn) TimeToFirstByte() time.Duration {
	s, ok := c.tracked.firstWriteTime()
	if !ok {
		return 0
	}
	return max(0, c.tracked.lastReadTime().Sub(s))
}

// SentAt returns when the first byte of the current request was written. Call it
// only if Written reports true.
func (c *Conn) SentAt() time.Time {
	t, _ := c.tracked.firstWriteTime()
	return t
}

// RecordAnswer tells the pool that the head of an answer came d after the first
// byte of the request was written.
func (c *Conn) RecordAnswer(d time.Duration) {
	c.pool.recordAnswer(c, d)
}

// Release gives the connection back to the pool after the answer was read to its
// end. It closes the connection and returns false when it cannot be used again,
// because the request is still being written or the server closes it.
func (c *Conn) Release() bool {
	if c.client.Err() != nil || c.client.Available() == 0 {
		c.Close()
		return false
	}
	c.tracked.NextAnswer()
	c.pool.put(c)
	return true
}

// Close ends the connection, and with it the request on it.
func (c *Conn) Close() {
	_ = c.client.Close()
	c.pool.handleClose(c)
}

// handleStateChange is the state hook of the http.ClientConn.
func (c *Conn) handleStateChange(*http.ClientConn) {
	if c.client.Err() != nil {
		c.pool.handleClose(c)
	}
}
