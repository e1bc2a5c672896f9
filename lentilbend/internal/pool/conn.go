package pool

import (
	"net/http"
	"time"
)

// Trip is what the pool must know of a request.
type Trip struct {
	// Kind is the kind of request whose usual latency applies.
	Kind string
	// Deadline is checked again just before the first byte is written.
	Deadline time.Time
	// Streamed says that the first byte may wait for the caller's body.
	Streamed bool
	// Silent is called once, from Sweep, when no byte of the answer came well
	// past the usual latency. It must not block and may be nil.
	Silent func()
}

// Conn is a connection that one request holds. It goes back by Release or
// Close.
type Conn struct {
	pool   *Pool
	client *http.ClientConn
	wire   *wire

	// The pool's mutex guards the fields below.
	idleSince time.Time
	busy      bool
	dropped   bool
	silent    bool
	trip      Trip
}

// RoundTrip sends r and returns the head of the answer. It never sends a
// request twice.
func (c *Conn) RoundTrip(r *http.Request, t Trip) (*http.Response, error) {
	c.wire.begin(t)
	c.pool.begin(c, t)
	return c.client.RoundTrip(r)
}

// Host returns the server's address as text.
func (c *Conn) Host() string {
	return c.pool.host
}

// Written reports whether any byte of the current request was written. It is
// exact once RoundTrip has returned.
func (c *Conn) Written() bool {
	_, ok := c.wire.sentAt()
	return ok
}

// FirstByte returns the time from the first byte written to the last byte
// read so far; call it when RoundTrip has returned.
func (c *Conn) FirstByte() time.Duration {
	s, ok := c.wire.sentAt()
	if !ok {
		return 0
	}
	return max(0, c.wire.heardAt().Sub(s))
}

// Sent returns when the first byte of the current request was written.
func (c *Conn) Sent() time.Time {
	t, _ := c.wire.sentAt()
	return t
}

// Answered tells the pool that the head of an answer came after d.
func (c *Conn) Answered(d time.Duration) {
	c.pool.answered(c, d)
}

// Release gives the connection back after the answer was read to its end. It
// returns false when the connection cannot be used again, because the request
// is still being written or the server closes it.
func (c *Conn) Release() bool {
	if c.client.Err() != nil || c.client.Available() == 0 {
		c.Close()
		return false
	}
	c.pool.put(c)
	return true
}

// Close ends the connection, and with it the request on it.
func (c *Conn) Close() {
	_ = c.client.Close()
	c.pool.drop(c)
}

// changed is the client's state hook.
func (c *Conn) changed(*http.ClientConn) {
	if c.client.Err() != nil {
		c.pool.drop(c)
	}
}
