package backend

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lentilbend.example/internal/dialect"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/filter/key"
)

// bufferSize is the size of the pooled buffers, in bytes: the largest body that
// is held whole, and the most of a streamed body that is held at once.
const bufferSize = 32 << 10

// drainTime is how long a caller may take to send the rest of a body that was
// answered before its end.
const drainTime = time.Second

// errTooLarge means that a body is longer than the limit.
var errTooLarge = errors.New("backend: the request's body is too large")

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// body is the body of a request on its way to backend servers. A small one is
// held whole, so that it can be sent again; others are streamed once.
type body struct {
	from    io.Reader
	length  int64
	limit   int64
	secret  exchange.Secret
	dialect *dialect.Dialect
	// trailer is filled from source when the body has been read.
	source  http.Header
	trailer http.Header

	buffer *[bufferSize]byte
	read   atomic.Int64
	whole  atomic.Bool
	failed atomic.Pointer[error]
}

// newBody returns the body of x.Request, which may be at most limit bytes
// long. A small body is read here.
func newBody(x *exchange.Exchange, limit int64) (*body, error) {
	r := x.Request
	b := &body{from: r.Body, length: r.ContentLength, limit: limit, secret: x.Secret, dialect: x.EffectiveDialect()}
	if r.ContentLength > limit {
		return b, errTooLarge
	}
	if b.length == 0 || r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		return b, nil
	}
	if len(r.Trailer) > 0 {
		b.source, b.trailer = r.Trailer, announced(r.Trailer, b.dialect.Workspace)
	}
	c := http.NewResponseController(x.Writer)
	_ = c.SetReadDeadline(x.Deadline)
	if b.length > 0 && b.length <= bufferSize {
		b.buffer = buffers.Get().(*[bufferSize]byte)
		_, err := io.ReadFull(r.Body, b.buffer[:b.length])
		b.whole.Store(err == nil)
		return b, err
	}
	_ = c.EnableFullDuplex()
	return b, nil
}

// announced returns the names of a trailer without values. A caller names no
// workspace.
func announced(t http.Header, workspace string) http.Header {
	h := http.Header{}
	for n := range t {
		h[n] = nil
	}
	delete(h, workspace)
	return h
}

// reader returns what is sent to a backend server.
func (b *body) reader() io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	if b.buffer != nil {
		return io.NopCloser(bytes.NewReader(b.buffer[:b.length]))
	}
	return b
}

// Read reads the caller's body within the limit.
func (b *body) Read(p []byte) (int, error) {
	if int64(len(p)) > b.limit+1 {
		p = p[:b.limit+1]
	}
	n, err := b.from.Read(p)
	b.read.Add(int64(n))
	b.limit -= int64(n)
	if b.limit < 0 {
		err = errTooLarge
	}
	if err == io.EOF {
		b.whole.Store(true)
		b.passTrailer()
		return n, err
	}
	if err != nil {
		b.failed.Store(&err)
	}
	return n, err
}

// Close leaves the caller's body to the server that owns it.
func (b *body) Close() error {
	return nil
}

func (b *body) passTrailer() {
	for n := range b.trailer {
		if vs := b.source[n]; len(vs) > 0 {
			b.trailer[n] = vs
		}
	}
	key.StripHeader(b.trailer, b.secret, b.dialect.Credentials)
}

// streamed reports whether the body is read from the caller while it is sent.
func (b *body) streamed() bool {
	return b.length != 0 && b.buffer == nil
}

// leftUnread says to x's caller, when the body was not read to its end, that
// the connection ends after the answer. The library would read the rest and
// the next request at once, and panic. It reads a short rest, so that the
// caller gets the answer, and has drainTime for it.
func (b *body) leftUnread(x *exchange.Exchange, now time.Time) {
	if b.length == 0 || b.whole.Load() || x.Request.ProtoMajor != 1 {
		return
	}
	x.Writer.Header()["Connection"] = []string{"close"}
	_ = http.NewResponseController(x.Writer).SetReadDeadline(now.Add(drainTime))
}

// again reports whether the whole body can be sent once more.
func (b *body) again() bool {
	return b.length == 0 || b.buffer != nil || b.read.Load() == 0
}

// failure returns why the caller's body could not be read, or nil.
func (b *body) failure() error {
	if e := b.failed.Load(); e != nil {
		return *e
	}
	return nil
}

// free gives the buffer back. The body must not be in use any more.
func (b *body) free() {
	if b.buffer != nil {
		buffers.Put(b.buffer)
		b.buffer = nil
	}
}
