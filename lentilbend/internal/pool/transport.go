package pool

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"time"
)

const (
	// maxShortBody is the longest body of an answer that Transport accepts, in bytes.
	maxShortBody = 4 << 10
	// shortKind is the kind of the requests that Transport sends.
	shortKind = "(short)"
)

// Errors of Transport.RoundTrip.
var (
	// errBodyTooLong means that the body was longer than maxShortBody.
	errBodyTooLong = errors.New("pool: the answer's body is too long")
	// errStray means that the answer belongs to an earlier request.
	errStray = errors.New("pool: the answer belongs to an earlier request of the connection")
	// errInvalidStatus means that the answer's status is not that of a final answer, or
	// does not allow its body.
	errInvalidStatus = errors.New("pool: the answer has an invalid status")
)

// Transport sends short requests, such as health checks, over the connections of a
// Set, so that the connection that answered one is ready for the next request to the
// server. It sends a request once. Set the exported fields before use.
type Transport struct {
	Pools *Set
	// Timeout bounds a request whose context has no deadline.
	Timeout time.Duration
	// IsStray reports whether an answer belongs to another request, which was sent on
	// the connection earlier. It may be nil.
	IsStray func(h http.Header) bool
}

// RoundTrip sends a request to the server that its URL names, and reads the whole
// answer. The connection is closed after any error. Errors are those of Pool.Take,
// of the connection, or say that the answer is too long, has an invalid status or belongs
// to an earlier request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	server, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, err
	}
	c, err := t.Pools.Pool(server).Take(r.Context(), false)
	if err != nil {
		return nil, err
	}
	deadline, ok := r.Context().Deadline()
	if !ok {
		deadline = t.Pools.Now().Add(t.Timeout)
	}
	a, err := t.exchange(c, r, deadline)
	if err != nil {
		c.Close()
		return nil, err
	}
	c.Release()
	return a, nil
}

// finalOnly ends a request to which an informational answer (1xx) comes. A short request
// asks for none, and after one that is a final answer with a wrong status, no other comes
// before the deadline.
var finalOnly = &httptrace.ClientTrace{
	Got1xxResponse: func(int, textproto.MIMEHeader) error { return errInvalidStatus },
}

// exchange sends r on c and reads the whole answer.
func (t *Transport) exchange(c *Conn, r *http.Request, deadline time.Time) (*http.Response, error) {
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), finalOnly))
	a, err := c.RoundTrip(r, RequestInfo{Kind: shortKind, Deadline: deadline})
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	if !IsValidFinal(a) {
		return nil, errInvalidStatus
	}
	if t.IsStray != nil && t.IsStray(a.Header) {
		return nil, errStray
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxShortBody+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxShortBody {
		return nil, errBodyTooLong
	}
	c.RecordAnswer(c.TimeToFirstByte())
	a.Body = io.NopCloser(bytes.NewReader(b))
	return a, nil
}
