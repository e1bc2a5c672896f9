package http1

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of an answer's buffers, in bytes.
const (
	// writeBufferSize is how much of a body is collected before it is written.
	writeBufferSize = 4 << 10
	// maxHeldBytes is how much of the answers of one connection may be held
	// while the answers before them are written.
	maxHeldBytes = 64 << 10
	// maxJoinedBytes is the size up to which a part of a body is copied behind
	// the bytes before it, so that both are written at once.
	maxJoinedBytes = 16 << 10
	// maxRetainedBuffer is the largest buffer that is used again.
	maxRetainedBuffer = 32 << 10
)

// lateWriteTime is how long an answer that had to wait for those before it may
// take to be written, even if its write deadline has passed.
const lateWriteTime = time.Second

// unknownLength means that the length of an answer's body is not known.
const unknownLength = -1

var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// response is the answer to one request. It implements http.ResponseWriter and the
// methods of http.ResponseController except Hijack.
type response struct {
	conn     *conn
	request  *http.Request
	body     *body
	received time.Time
	http10   bool
	// refusal is set if the request was not valid.
	refusal *Error
	// exclusive is set if no other request of the connection may run beside this.
	exclusive bool

	mu sync.Mutex
	// turn is closed when the answers before this one were written. It is nil
	// for one that had none before it.
	turn chan struct{}
	// writable is set once the answers before this one were written.
	writable bool
	// flushWanted says that the handler has flushed before the answer was writable.
	flushWanted bool

	// header belongs to the handler's goroutine.
	header http.Header
	// fields are the header fields of an answer that was flushed before it was
	// writable, and asksClose says that they ask for the connection to be closed.
	// Another goroutine writes them, while the handler may set the trailer.
	fields        []byte
	asksClose     bool
	trailer       []string
	status        int
	length        int64
	passed        int64
	informational []byte
	buffer        *[]byte
	// held is how many bytes of the buffer count against maxHeldBytes.
	held        int
	headWritten bool
	chunked     bool
	// mustClose is set if the connection can't be used after this answer.
	mustClose     bool
	writeDeadline time.Time
	err           error
}

// ReceivedAt returns when the request's head had been read.
func (r *response) ReceivedAt() time.Time {
	return r.received
}

// Header returns the header to be written.
func (r *response) Header() http.Header {
	return r.header
}

// WriteHeader sets the status. Informational answers are passed on at once. It panics,
// as that of net/http does, if the status is not one of HTTP.
func (r *response) WriteHeader(status int) {
	if status < http.StatusContinue || status > 999 {
		panic(fmt.Sprintf("http1: invalid status %d", status))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHeader(status)
}

func (r *response) writeHeader(status int) {
	if r.status != 0 {
		return
	}
	if status < http.StatusOK && status != http.StatusSwitchingProtocols {
		r.addInformational(status)
		return
	}
	r.status = status
	r.length = unknownLength
	if v := r.header.Get("Content-Length"); v != "" {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil && n >= 0 {
			r.length = n
		}
	}
	if !bodyAllowed(status) {
		r.length = 0
	}
}

// addInformational writes an answer with a status below 200, or holds it until the
// answers before have been written.
func (r *response) addInformational(status int) {
	if r.http10 || len(r.informational) > maxHeldBytes {
		return
	}
	b := appendStatusLine(r.informational, status, false)
	b = appendFields(b, r.header, nil)
	r.informational = append(b, crlf...)
	if r.writable {
		r.emit(nil, false)
	}
}

// bodyAllowed reports whether an answer with this status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// Write writes a part of the body. The error is http.ErrBodyNotAllowed,
// http.ErrContentLength or that of the connection.
func (r *response) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHeader(http.StatusOK)
	if len(p) == 0 {
		return 0, r.err
	}
	if !bodyAllowed(r.status) {
		return 0, http.ErrBodyNotAllowed
	}
	r.passed += int64(len(p))
	if r.length >= 0 && r.passed > r.length {
		return 0, http.ErrContentLength
	}
	if r.request.Method == http.MethodHead {
		return len(p), nil
	}
	if r.err == nil && !r.hold(p) {
		r.emit(p, false)
	}
	if r.err != nil {
		return 0, r.err
	}
	return len(p), nil
}

// hold appends p to the buffer and returns true if there is room.
func (r *response) hold(p []byte) bool {
	n := len(p)
	if r.buffer != nil {
		n += len(*r.buffer)
	}
	if n > writeBufferSize {
		if r.writable || !r.conn.reserveHeld(len(p)) {
			return false
		}
		r.held += len(p)
	}
	if r.buffer == nil {
		r.buffer = writeBuffers.Get().(*[]byte)
	}
	*r.buffer = append(*r.buffer, p...)
	return true
}

// Flush writes what was written so far, or does so as soon as the answers before
// have been written.
func (r *response) Flush() {
	_ = r.FlushError()
}

// FlushError is Flush with the error of the connection.
func (r *response) FlushError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHeader(http.StatusOK)
	if !r.writable {
		if !r.flushWanted && !r.headWritten {
			r.fields, r.asksClose = r.appendHeader(nil), r.wantsClose()
		}
		r.flushWanted = true
		return r.err
	}
	r.emit(nil, false)
	return r.err
}

// SetReadDeadline makes reads of the request's body fail after t.
func (r *response) SetReadDeadline(t time.Time) error {
	if r.body == nil {
		return nil
	}
	return r.body.setReadDeadline(t)
}

// SetWriteDeadline makes writes of the answer fail after t.
func (r *response) SetWriteDeadline(t time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeDeadline = t
	if r.writable {
		r.conn.setWriteDeadline(t)
	}
	return nil
}

// EnableFullDuplex does nothing: a body may always be read beside the answer.
func (r *response) EnableFullDuplex() error {
	return nil
}

// writeContinue asks for the body of a request that expects it.
func (r *response) writeContinue() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status != 0 {
		return nil
	}
	r.informational = append(r.informational, "HTTP/1.1 100 Continue\r\n\r\n"...)
	r.emit(nil, false)
	return r.err
}

// waitTurn waits until the answers before this one have been written. It returns
// false if the connection ends before.
func (r *response) waitTurn() bool {
	if r.writable || r.err != nil {
		return r.err == nil
	}
	r.mu.Unlock()
	var err error
	select {
	case <-r.turn:
	case <-r.conn.ctx.Done():
		err = context.Cause(r.conn.ctx)
	}
	r.mu.Lock()
	if err != nil && !r.writable {
		r.err = err
	}
	return r.err == nil
}

// allowWriting makes the answer writable, and writes what the handler has flushed. It
// is called in the goroutine of the answer before, and must not use the header.
func (r *response) allowWriting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writable = true
	close(r.turn)
	r.conn.releaseHeld(r.held)
	if !r.writeDeadline.IsZero() {
		if t := time.Now().Add(lateWriteTime); t.After(r.writeDeadline) {
			r.writeDeadline = t
		}
	}
	r.conn.setWriteDeadline(r.writeDeadline)
	if r.flushWanted {
		r.emit(nil, false)
	} else if len(r.informational) > 0 {
		r.write(r.informational)
		r.informational = nil
	}
}

// emit writes the head, the buffer and p as soon as it is the answer's turn. With
// last, it also writes the end of the body.
func (r *response) emit(p []byte, last bool) {
	if !r.waitTurn() {
		return
	}
	out := writeBuffers.Get().(*[]byte)
	b := append((*out)[:0], r.informational...)
	r.informational = nil
	if r.status != 0 && !r.headWritten {
		b = r.appendHead(b)
	}
	var held []byte
	if r.buffer != nil {
		held = *r.buffer
	}
	n := len(held) + len(p)
	if r.chunked && n > 0 {
		b = strconv.AppendInt(b, int64(n), 16)
		b = append(b, crlf...)
	}
	b = append(b, held...)
	if len(p) > maxJoinedBytes {
		r.write(b)
		r.write(p)
		b = b[:0]
	} else {
		b = append(b, p...)
	}
	if r.chunked && n > 0 {
		b = append(b, crlf...)
	}
	if r.chunked && last {
		b = r.appendTrailer(append(b, "0\r\n"...))
	}
	r.write(b)
	r.releaseBuffer()
	*out = b
	putBuffer(out)
}

func (r *response) write(b []byte) {
	if r.err == nil && len(b) > 0 {
		r.err = r.conn.write(b)
	}
}

func (r *response) releaseBuffer() {
	if r.buffer == nil {
		return
	}
	putBuffer(r.buffer)
	r.buffer = nil
}

// putBuffer returns a buffer to the pool unless it has grown large.
func putBuffer(b *[]byte) {
	if cap(*b) <= maxRetainedBuffer {
		*b = (*b)[:0]
		writeBuffers.Put(b)
	}
}

// appendHead appends the status line and the header, and decides whether the
// connection closes after this answer.
func (r *response) appendHead(b []byte) []byte {
	r.headWritten = true
	head := r.request.Method == http.MethodHead
	sized := r.length >= 0 || !bodyAllowed(r.status) || head
	r.chunked = !sized && !r.http10
	if r.body != nil && !r.body.complete() {
		r.body.skipBuffered()
		r.mustClose = r.mustClose || !r.body.complete()
	}
	r.mustClose = r.mustClose || !sized && r.http10
	if r.fields == nil {
		r.asksClose = r.wantsClose()
	}
	closes := r.conn.decideClose(r, r.asksClose)
	b = appendStatusLine(b, r.status, r.http10)
	if r.fields == nil {
		b = r.appendHeader(b)
	} else {
		b = append(b, r.fields...)
		r.fields = nil
	}
	switch {
	case r.length >= 0 && bodyAllowed(r.status):
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, r.length, 10)
		b = append(b, crlf...)
	case r.chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	switch {
	case closes:
		b = append(b, "Connection: close\r\n"...)
	case r.http10:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return append(b, crlf...)
}

// appendHeader appends the fields of the header, and Date if it has none.
func (r *response) appendHeader(b []byte) []byte {
	b = appendFields(b, r.header, r.trailerNames())
	if _, ok := r.header["Date"]; !ok {
		b = append(b, "Date: "...)
		b = time.Now().UTC().AppendFormat(b, http.TimeFormat)
		b = append(b, crlf...)
	}
	return b
}

// wantsClose reports whether the handler wants the connection to close after the answer.
func (r *response) wantsClose() bool {
	return hasToken(r.header["Connection"], "close")
}

// trailerNames returns the names that the handler has announced as trailers.
func (r *response) trailerNames() []string {
	for _, v := range r.header["Trailer"] {
		for n := range strings.SplitSeq(v, ",") {
			if n = http.CanonicalHeaderKey(strings.TrimSpace(n)); n != "" {
				r.trailer = append(r.trailer, n)
			}
		}
	}
	return r.trailer
}

// appendTrailer appends the trailer fields and the empty line that ends the answer.
func (r *response) appendTrailer(b []byte) []byte {
	for _, n := range r.trailer {
		for _, v := range r.header[n] {
			b = appendField(b, n, v)
		}
	}
	for n, vs := range r.header {
		if name, ok := strings.CutPrefix(n, http.TrailerPrefix); ok {
			for _, v := range vs {
				b = appendField(b, name, v)
			}
		}
	}
	return append(b, crlf...)
}

// finish ends the answer after the handler has returned. The error says that the
// connection must be aborted.
func (r *response) finish() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHeader(http.StatusOK)
	head := r.request.Method == http.MethodHead
	if !r.headWritten && r.length == unknownLength && (!head || r.passed > 0) && len(r.header["Trailer"]) == 0 {
		r.length = r.passed
	}
	r.emit(nil, true)
	if r.err != nil {
		return r.err
	}
	if r.length >= 0 && r.passed < r.length && !head && bodyAllowed(r.status) {
		return errors.New("http1: the answer is shorter than its Content-Length")
	}
	return nil
}

// appendStatusLine appends the first line of an answer.
func appendStatusLine(b []byte, status int, http10 bool) []byte {
	if http10 {
		b = append(b, "HTTP/1.0 "...)
	} else {
		b = append(b, "HTTP/1.1 "...)
	}
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, crlf...)
}

// connectionFields are the header fields that the connection itself writes.
var connectionFields = map[string]bool{
	"Connection": true, "Content-Length": true, "Transfer-Encoding": true,
}

// appendFields appends the fields of a header except those of the connection and
// the announced trailers.
func appendFields(b []byte, h http.Header, trailers []string) []byte {
next:
	for n, vs := range h {
		if connectionFields[n] || strings.HasPrefix(n, http.TrailerPrefix) {
			continue
		}
		for _, t := range trailers {
			if t == n {
				continue next
			}
		}
		for _, v := range vs {
			b = appendField(b, n, v)
		}
	}
	return b
}

// appendField appends one field. Line breaks in the value become spaces; a field
// with an invalid name is left out.
func appendField(b []byte, name, value string) []byte {
	if !isToken([]byte(name)) {
		return b
	}
	b = append(b, name...)
	b = append(b, ": "...)
	if strings.ContainsAny(value, "\r\n") {
		value = lineBreaks.Replace(value)
	}
	b = append(b, strings.Trim(value, " \t")...)
	return append(b, crlf...)
}

var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

// hasToken reports whether a list of header values contains a token.
func hasToken(vs []string, token string) bool {
	for _, v := range vs {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}
