package caller

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// headMost is how much of a head is looked at, in bytes; longer ones are refused
// for their size.
const headMost = 64 << 10

// framing looks at the heads of HTTP/1.1 requests as they are read, for what
// the library mends without a word: two ways to tell the end of a body, and
// line ends that another party on the way may not take as such. Both let one
// request hide in another (RFC 9112, sections 2.2 and 6.3).
type framing struct {
	head      []byte
	whole     bool
	ambiguous atomic.Bool
}

// begin starts with the head of the next request.
func (f *framing) begin() {
	f.head, f.whole = f.head[:0], false
}

// read takes bytes that were read.
func (f *framing) read(b []byte) {
	if f.whole {
		return
	}
	f.head = append(f.head, b[:min(len(b), headMost-len(f.head))]...)
	end := bytes.Index(f.head, []byte("\r\n\r\n"))
	bare := bytes.Index(f.head, []byte("\n\n"))
	if bare >= 0 && (end < 0 || bare < end) {
		end = bare
	}
	if end < 0 && len(f.head) < headMost {
		return
	}
	f.whole = true
	if end >= 0 && (end == bare || ambiguous(f.head[:end])) {
		f.ambiguous.Store(true)
	}
}

// ambiguous reports whether a head, without its empty line, can be read in two
// ways.
func ambiguous(head []byte) bool {
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		if bytes.IndexByte(line, '\n') >= 0 {
			return true
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if bytes.ContainsAny(value, ",+-") {
				return true
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
		}
	}
	return lengths > 1 || codings > 1 || lengths > 0 && codings > 0
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn lets handlers find the connection of a request.
func withConn(ctx context.Context, n net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, n)
}

// misframed reports whether the framing of a request on r's connection was
// ambiguous.
func misframed(r *http.Request) bool {
	n, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	if t, ok := n.(interface{ NetConn() net.Conn }); ok {
		n = t.NetConn()
	}
	c, ok := n.(*conn)
	return ok && c.framing.ambiguous.Load()
}
