package head

import (
	"context"
	"net"
	"sync/atomic"
)

// Conn is a connection to a server whose answers are checked.
type Conn struct {
	net.Conn
	// scanner checks the current answer. newAnswer is set when the next byte belongs to
	// another one.
	scanner   Scanner
	newAnswer atomic.Bool
	// err is the error of scanner. All later reads return it: the parser of net/http drops
	// an error that follows a part of a line, and reads on.
	err error
}

// NextAnswer makes the next byte that is read the first one of another answer.
func (c *Conn) NextAnswer() {
	c.newAnswer.Store(true)
}

// Read returns an error if the head of an answer is malformed, and from then on.
func (c *Conn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if c.newAnswer.Swap(false) {
		c.scanner = Scanner{}
	}
	if c.err = c.scanner.Scan(b[:n]); c.err != nil {
		return 0, c.err
	}
	return n, err
}

// DialContext returns a function for the DialContext field of an http.Transport that
// checks answers. It is for requests without a body, which are written before their
// answers begin. A rejected answer may make the transport send a GET request again over a
// new connection, as it does after an idle connection was closed.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &requestConn{Conn{Conn: n}}, nil
	}
}

// requestConn is a connection on which each write begins a request.
type requestConn struct {
	Conn
}

// Write writes a request.
func (c *requestConn) Write(b []byte) (int, error) {
	c.NextAnswer()
	return c.Conn.Write(b)
}
