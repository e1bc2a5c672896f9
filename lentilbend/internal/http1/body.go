package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"sync"
	"time"
)

// maxChunkLine is the longest line that begins a chunk, extensions included, in
// bytes.
const maxChunkLine = 4 << 10

// body is the body of a request. It is read from the connection by the handler
// while the connection's own reader waits.
type body struct {
	conn    *conn
	request *http.Request
	// onFirstRead asks for the body with 100 Continue; nil if the caller does
	// not wait for it.
	onFirstRead func() error

	mu        sync.Mutex
	remaining int64
	// chunked is set for a body of chunks. remaining then counts the current
	// chunk, and chunkOpen is set until its end was read.
	chunked   bool
	chunkOpen bool
	err       error
	// done is closed once err is set.
	done chan struct{}
}

// newBody returns the body of a request with the given framing.
func newBody(c *conn, r *http.Request, f framing) *body {
	b := &body{conn: c, request: r, done: make(chan struct{})}
	if f.length < 0 {
		b.chunked = true
	} else {
		b.remaining = f.length
	}
	return b
}

// Read reads the body. The error is io.EOF at its end, and of type *Error if a chunk
// is malformed.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if f := b.onFirstRead; f != nil {
		b.onFirstRead = nil
		if err := f(); err != nil {
			return 0, b.end(err)
		}
	}
	n, err := b.read(p)
	if err != nil {
		return n, b.end(err)
	}
	return n, nil
}

// end records the error that ends the body and returns it.
func (b *body) end(err error) error {
	var e *Error
	if !errors.Is(err, io.EOF) && !errors.As(err, &e) {
		err = wrapReadError(err)
	}
	b.err = err
	close(b.done)
	return err
}

func (b *body) read(p []byte) (int, error) {
	if b.chunked && b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	n := 0
	if len(p) > 0 {
		var err error
		n, err = b.conn.reader.Read(p[:min(int64(len(p)), b.remaining)])
		b.remaining -= int64(n)
		if err != nil {
			return n, noEOF(err)
		}
	}
	if b.remaining == 0 && !b.chunked {
		return n, io.EOF
	}
	return n, nil
}

// nextChunk reads the end of the current chunk and the line that begins the next
// one. It returns io.EOF after the trailer that follows the last chunk.
func (b *body) nextChunk() error {
	if b.chunkOpen {
		b.chunkOpen = false
		if err := b.readChunkEnd(); err != nil {
			return err
		}
	}
	line, err := appendLine(b.conn.reader, nil, maxChunkLine)
	if err != nil {
		return noEOF(err)
	}
	if b.remaining, err = parseChunkLine(line); err != nil {
		return err
	}
	if b.remaining > 0 {
		b.chunkOpen = true
		return nil
	}
	if err := b.readTrailer(); err != nil {
		return noEOF(err)
	}
	return io.EOF
}

// readChunkEnd reads the CRLF behind the data of a chunk.
func (b *body) readChunkEnd() error {
	var end [2]byte
	if _, err := io.ReadFull(b.conn.reader, end[:]); err != nil {
		return noEOF(err)
	}
	if string(end[:]) != "\r\n" {
		return badRequest("A chunk is malformed.")
	}
	return nil
}

// parseChunkLine parses the line that begins a chunk (RFC 9112, section 7.1) and
// returns the size of the chunk in bytes. Extensions are ignored.
func parseChunkLine(line []byte) (int64, error) {
	line = line[:len(line)-len(crlf)]
	n, i := int64(0), 0
	for ; i < len(line); i++ {
		d, ok := hexDigit(line[i])
		if !ok {
			break
		}
		if n > 1<<55 {
			return 0, badRequest("The size of a chunk is too large.")
		}
		n = n<<4 | d
	}
	if i == 0 {
		return 0, badRequest("The size of a chunk is malformed.")
	}
	rest := line[i:]
	for len(rest) > 0 && (rest[0] == ' ' || rest[0] == '\t') {
		rest = rest[1:]
	}
	if len(rest) == 0 && i == len(line) {
		return n, nil
	}
	if len(rest) == 0 || rest[0] != ';' {
		return 0, badRequest("The size of a chunk is malformed.")
	}
	for _, c := range rest {
		if c < ' ' && c != '\t' || c == 0x7f {
			return 0, badRequest("An extension of a chunk is malformed.")
		}
	}
	return n, nil
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (int64, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}

// readTrailer reads the trailer fields into the request's Trailer. Fields that frame
// or route a message are not allowed in it (RFC 9110, section 6.5.1).
func (b *body) readTrailer() error {
	size := 0
	for {
		line, err := appendLine(b.conn.reader, nil, b.conn.server.headLimit()-size)
		if err != nil {
			return err
		}
		if len(line) == len(crlf) {
			return nil
		}
		size += len(line)
		name, value, err := splitField(line[:len(line)-len(crlf)])
		if err != nil {
			return err
		}
		n := textproto.CanonicalMIMEHeaderKey(string(name))
		switch n {
		case "Content-Length", "Transfer-Encoding", "Trailer", "Host":
			return badRequest("A trailer field is not allowed.")
		}
		if b.request.Trailer == nil {
			b.request.Trailer = http.Header{}
		}
		b.request.Trailer[n] = append(b.request.Trailer[n], string(value))
	}
}

// Close ends the reading of the body.
func (b *body) Close() error {
	return nil
}

// complete reports whether the body was read to its end.
func (b *body) complete() bool {
	select {
	case <-b.done:
		return errors.Is(b.err, io.EOF)
	default:
		return false
	}
}

// skipBuffered reads the rest of a body if all of it has arrived already.
func (b *body) skipBuffered() {
	if !b.mu.TryLock() {
		return
	}
	defer b.mu.Unlock()
	if b.err != nil || b.chunked || b.onFirstRead != nil || b.remaining > int64(b.conn.reader.Buffered()) {
		return
	}
	if _, err := b.conn.reader.Discard(int(b.remaining)); err == nil {
		b.remaining = 0
		_ = b.end(io.EOF)
	}
}

// abandon ends the body at the end of its request. A read in another goroutine is
// interrupted; nothing more is read from the connection.
func (b *body) abandon() {
	if b.skipBuffered(); b.complete() {
		return
	}
	b.conn.interruptBody()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		_ = b.end(http.ErrBodyReadAfterClose)
	}
}

// noEOF returns io.ErrUnexpectedEOF in place of io.EOF.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// setReadDeadline makes reads of the body fail after t.
func (b *body) setReadDeadline(t time.Time) error {
	return b.conn.setBodyDeadline(b, t)
}

var _ io.ReadCloser = (*body)(nil)

// bufferedReaders holds readers that parse a head.
var bufferedReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 1<<10) }}
