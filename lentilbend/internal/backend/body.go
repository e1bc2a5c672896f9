package backend

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lentilbend.example/lentilbend/internal/exchange"
)

// bufferSize is the size of the pooled buffers, in bytes. Bodies whose length is
// known and at most this are buffered whole. Others are streamed through such a
// buffer, as are the bodies of answers.
const bufferSize = 32 << 10

// unreadBodyTimeout bounds how long a caller may take to send the rest of a
// body that was answered before its end.
const unreadBodyTimeout = time.Second

// errTooLarge means that a body is longer than the limit.
var errTooLarge = errors.New("backend: the request's body is too large")

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// body is the body of a request on its way to backend servers. A small one of known
// length is read before it is sent; others are streamed, and can be sent again as long
// as no more than a buffer of them was read.
type body struct {
	length int64
	// buffer holds a small body; nil for one that is streamed.
	buffer *[bufferSize]byte
	stream *bodyStream
	// complete says that the caller's body was read to its end.
	complete atomic.Bool
}

// newBody returns the body of x.Request, which may be at most limit bytes
// long. A small body is read here. The body can be used for a refusal even with
// an error.
func newBody(x *exchange.Exchange, limit int64) (*body, error) {
	r := x.Request
	b := &body{length: r.ContentLength}
	if r.ContentLength > limit {
		return b, errTooLarge
	}
	if b.length == 0 || r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		return b, nil
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
	b.stream = newBodyStream(x, limit, &b.complete)
	return b, nil
}

// newReader returns the body to send in one attempt, and the trailer that is filled at
// its end. Readers of earlier attempts read nothing more.
func (b *body) newReader() (io.ReadCloser, http.Header) {
	switch {
	case b.length == 0:
		return http.NoBody, nil
	case b.buffer != nil:
		return io.NopCloser(bytes.NewReader(b.buffer[:b.length])), nil
	}
	r := b.stream.newReader()
	return r, r.trailer
}

// transferEncoding returns the coding of the body towards a backend server. Without it
// net/http would read the beginning of the body of a GET or DELETE request to find out
// whether there is one.
func (b *body) transferEncoding() []string {
	if b.length < 0 {
		return []string{"chunked"}
	}
	return nil
}

// streamed reports whether the body is read from the caller while it is sent.
func (b *body) streamed() bool {
	return b.stream != nil
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
	return b.stream == nil || b.stream.replayable()
}

// rewind ends the reading by earlier attempts and reports whether the whole body can
// be sent once more.
func (b *body) rewind() bool {
	return b.stream == nil || b.stream.rewind()
}

// readError returns why the caller's body could not be read, or nil.
func (b *body) readError() error {
	if b.stream == nil {
		return nil
	}
	return b.stream.readError()
}

// releaseBuffer returns the buffer to the pool. The body must no longer be in
// use.
func (b *body) releaseBuffer() {
	if b.buffer != nil {
		buffers.Put(b.buffer)
		b.buffer = nil
	}
	if b.stream != nil {
		b.stream.releaseWindow()
	}
}
