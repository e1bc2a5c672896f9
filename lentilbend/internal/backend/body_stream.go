package backend

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"

	"lentilbend.example/internal/dialect"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/filter/key"
)

// errAttemptEnded means that the attempt that reads a body has ended.
var errAttemptEnded = errors.New("backend: the attempt that sends the body has ended")

// bodyStream is a body that is read from the caller while it is sent. The transport of
// an attempt may still wait for the caller after the attempt has ended, so that no
// attempt reads from the caller into a buffer of its own: what arrives goes to the
// window, from which the current attempt takes it.
type bodyStream struct {
	src     io.Reader
	secret  exchange.Secret
	dialect *dialect.Dialect
	// callerTrailer is filled by src at its end. trailerNames are the names that were
	// announced, without values.
	callerTrailer http.Header
	trailerNames  http.Header
	// complete is set when src was read to its end.
	complete *atomic.Bool

	mu sync.Mutex
	// changed wakes readers when a read of src or an attempt has ended.
	changed sync.Cond
	// current is the reader of the current attempt, the only one that gets bytes.
	current *bodyReader
	// window holds size bytes of the body, from offset start on.
	window *[bufferSize]byte
	start  int64
	size   int
	// remaining is how many more bytes may be read within the limit.
	remaining int64
	// filling is set while src is read into the window, without the mutex.
	filling bool
	// err ends the body.
	err error
}

// newBodyStream returns the body of x.Request, which may be at most limit bytes long.
// It sets complete when the body was read to its end.
func newBodyStream(x *exchange.Exchange, limit int64, complete *atomic.Bool) *bodyStream {
	s := &bodyStream{
		src:       x.Request.Body,
		secret:    x.Secret,
		dialect:   x.EffectiveDialect(),
		complete:  complete,
		window:    buffers.Get().(*[bufferSize]byte),
		remaining: limit,
	}
	s.changed.L = &s.mu
	if t := x.Request.Trailer; len(t) > 0 {
		s.callerTrailer, s.trailerNames = t, trailerNames(t, s.dialect.Workspace)
	}
	return s
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

// newReader returns the reader of the next attempt. Earlier readers get errAttemptEnded.
// The body must be replayable.
func (s *bodyStream) newReader() *bodyReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = &bodyReader{stream: s, trailer: maps.Clone(s.trailerNames)}
	s.changed.Broadcast()
	return s.current
}

// rewind makes all readers get errAttemptEnded, and reports whether the window still
// holds the beginning of the body.
func (s *bodyStream) rewind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = nil
	s.changed.Broadcast()
	return s.start == 0
}

// replayable reports whether the window holds the beginning of the body.
func (s *bodyStream) replayable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.start == 0
}

// readError returns why src could not be read to its end, or nil.
func (s *bodyStream) readError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == io.EOF {
		return nil
	}
	return s.err
}

// fill reads the next bytes from src into the window, in place of those before it if it
// is full. The mutex is not held meanwhile.
func (s *bodyStream) fill() {
	if s.size == len(s.window) {
		s.start += int64(s.size)
		s.size = 0
	}
	p := s.window[s.size:]
	if int64(len(p)) > s.remaining+1 {
		p = p[:s.remaining+1]
	}
	s.filling = true
	s.mu.Unlock()
	n, err := s.src.Read(p)
	s.mu.Lock()
	s.filling = false
	s.size += n
	s.remaining -= int64(n)
	s.err = err
	if s.remaining < 0 {
		s.err = errTooLarge
	}
	if s.err == io.EOF {
		s.complete.Store(true)
	}
	s.changed.Broadcast()
}

// releaseWindow returns the window to the pool if the body was read to its end. No
// reader may be in use.
func (s *bodyStream) releaseWindow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current = nil; s.err != nil && !s.filling && s.window != nil {
		buffers.Put(s.window)
		s.window = nil
	}
}

// bodyReader reads a bodyStream for one attempt.
type bodyReader struct {
	stream *bodyStream
	offset int64
	// trailer is filled at the end of the body.
	trailer http.Header
}

// Read reads the body from its beginning. The error is errAttemptEnded once another
// attempt may read the body, errTooLarge beyond the limit, or that of the caller's body.
func (r *bodyReader) Read(p []byte) (int, error) {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.current == r {
		switch {
		case r.offset < s.start+int64(s.size):
			n := copy(p, s.window[r.offset-s.start:s.size])
			r.offset += int64(n)
			return n, nil
		case s.err == io.EOF:
			r.fillTrailer()
			return 0, io.EOF
		case s.err != nil:
			return 0, s.err
		case s.filling:
			s.changed.Wait()
		default:
			s.fill()
		}
	}
	return 0, errAttemptEnded
}

// Close does nothing: net/http closes the caller's body.
func (r *bodyReader) Close() error {
	return nil
}

func (r *bodyReader) fillTrailer() {
	s := r.stream
	for n := range r.trailer {
		if vs := s.callerTrailer[n]; len(vs) > 0 {
			r.trailer[n] = vs
		}
	}
	key.StripHeader(r.trailer, s.secret, s.dialect.CredentialHeaders)
}
