package caller

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// maxHeadSize is the size up to which a request's head (request line and header) is
// checked, in bytes. It equals the default limit of the header, so longer heads are
// refused for their size. They pass unchecked if the limit was raised.
const maxHeadSize = 64 << 10

// framingScanner scans the heads of unencrypted HTTP/1.1 requests as they are read.
// It finds what net/http accepts without an error although it allows request
// smuggling (RFC 9112, sections 2.2 and 6.3): more than one way to find the end of
// the body, and bare line feeds, which another proxy may not take as line ends.
// A head that arrives before the previous request was answered is not scanned.
type framingScanner struct {
	head []byte
	// headComplete is set once the head has ended or reached maxHeadSize.
	headComplete bool
	ambiguous    atomic.Bool
}

// reset prepares for the head of the next request.
func (f *framingScanner) reset() {
	f.head, f.headComplete = f.head[:0], false
}

// scan scans bytes that were read from the connection.
func (f *framingScanner) scan(b []byte) {
	if f.headComplete {
		return
	}
	f.head = append(f.head, b[:min(len(b), maxHeadSize-len(f.head))]...)
	end := bytes.Index(f.head, []byte("\r\n\r\n"))
	bare := bytes.Index(f.head, []byte("\n\n"))
	if bare >= 0 && (end < 0 || bare < end) {
		end = bare
	}
	if end < 0 && len(f.head) < maxHeadSize {
		return
	}
	f.headComplete = true
	if end >= 0 && (end == bare || isAmbiguous(f.head[:end])) {
		f.ambiguous.Store(true)
	}
}

// isAmbiguous reports whether a head, without the empty line at its end, can be
// parsed in more than one way.
func isAmbiguous(head []byte) bool {
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

// withConn stores the connection in the context of its requests.
func withConn(ctx context.Context, n net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, n)
}

// hasAmbiguousFraming reports whether a request on r's connection, r or an
// earlier one, had ambiguous framing.
func hasAmbiguousFraming(r *http.Request) bool {
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
