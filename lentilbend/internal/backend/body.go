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

// bufferSize is the size of the pooled buffers, in bytes. Bodies whose length is
// known and at most this are buffered whole. Others are streamed; an
// answer's body passes through such a buffer.
const bufferSize = 32 << 10

// unreadBodyTimeout bounds how long a caller may take to send the rest of a
// body that was answered before its end.
const unreadBodyTimeout = time.Second

// errTooLarge means that a body is longer than the limit.
var errTooLarge = errors.New("backend: the request's body is too large")

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// body is the body of a request on its way to backend servers. A small one is
// buffered, so that it can be sent again; others are streamed and can be sent
// only once.
type body struct {
	src    io.Reader
	length int64
	// remaining is how many more bytes may be read within the limit.
	remaining int64
	secret    exchange.Secret
	dialect   *dialect.Dialect
	// trailer is filled from callerTrailer when the body has been read.
	callerTrailer http.Header
	trailer       http.Header

	buffer    *[bufferSize]byte
	bytesRead atomic.Int64
	complete  atomic.Bool
	readErr   atomic.Pointer[error]
}

// newBody returns the body of x.Request, which may be at most limit bytes
// long. A small body is read here. The body can be used for a refusal even with
// an error.
func newBody(x *exchange.Exchange, limit int64) (*body, error) {
	r := x.Request
	b := &body{src: r.Body, length: r.ContentLength, remaining: limit, secret: x.Secret, dialect: x.EffectiveDialect()}
	if r.ContentLength > limit {
		return b, errTooLarge
	}
	if b.length == 0 || r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		return b, nil
	}
	if len(r.Trailer) > 0 {
		b.callerTrailer, b.trailer = r.Trailer, trailerNames(r.Trailer, b.dialect.Workspace)
	}
	c := http.NewResponseController(x.Writer)
	_ = c.SetReadDeadline(x.Deadline)
	if b.length > 0 && b.length <= bufferSize {
		b.buffer = buffers.Get().(*[bufferSize]byte)
		_, err := io.ReadFull(r.Body, b.buffer[:b.length])
		b.complete.Store(err == nil)
		return b, err
	}
	_ = c.EnableFullDuplex()
	return b, nil
}

// trailerNames returns the names of a trailer without values. It omits the
// workspace field, which a caller must not set.
func trailerNames(t http.Header, workspace string) http.Header {
	h := http.Header{}
	for n := range t {
		h[n] = nil
	}
	delete(h, workspace)
	return h
}

// newReader returns the body to send in one attempt.
func (b *body) newReader() io.ReadCloser {
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
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.src.Read(p)
	b.bytesRead.Add(int64(n))
	b.remaining -= int64(n)
	if b.remaining < 0 {
		err = errTooLarge
	}
	if err == io.EOF {
		b.complete.Store(true)
		b.fillTrailer()
		return n, err
	}
	if err != nil {
		b.readErr.Store(&err)
	}
	return n, err
}

// Close does nothing: net/http closes the caller's body.
func (b *body) Close() error {
	return nil
}

func (b *body) fillTrailer() {
	for n := range b.trailer {
		if vs := b.callerTrailer[n]; len(vs) > 0 {
			b.trailer[n] = vs
		}
	}
	key.StripHeader(b.trailer, b.secret, b.dialect.CredentialHeaders)
}

// streamed reports whether the body is read from the caller while it is sent.
func (b *body) streamed() bool {
	return b.length != 0 && b.buffer == nil
}

// closeIfUnread makes an HTTP/1 connection close after the answer when the
// body was not read to its end. Otherwise net/http would read the rest of the
// body and the next request concurrently, and panic. net/http still reads a
// short rest, so that the caller gets the answer; unreadBodyTimeout bounds
// that.
func (b *body) closeIfUnread(x *exchange.Exchange, now time.Time) {
	if b.length == 0 || b.complete.Load() || x.Request.ProtoMajor != 1 {
		return
	}
	x.Writer.Header()["Connection"] = []string{"close"}
	_ = http.NewResponseController(x.Writer).SetReadDeadline(now.Add(unreadBodyTimeout))
}

// replayable reports whether the whole body can be sent once more.
func (b *body) replayable() bool {
	return b.length == 0 || b.buffer != nil || b.bytesRead.Load() == 0
}

// readError returns why the caller's body could not be read, or nil.
func (b *body) readError() error {
	if e := b.readErr.Load(); e != nil {
		return *e
	}
	return nil
}

// releaseBuffer returns the buffer to the pool. The body must no longer be in
// use.
func (b *body) releaseBuffer() {
	if b.buffer != nil {
		buffers.Put(b.buffer)
		b.buffer = nil
	}
}
