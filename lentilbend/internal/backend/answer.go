package backend

import (
	"io"
	"net/http"
	"slices"
	"time"

	"lentilbend.example/internal/choice"
)

// answerWriteGrace is how long after the request's deadline an answer may still
// be written to the caller. Without it net/http would cut off an answer that
// arrived just before the deadline.
const answerWriteGrace = time.Second

// passAnswer passes an answer on to the caller. An answer of known length that
// fits the buffer is read whole first, so that one that breaks off can still be
// refused or retried.
func (f *forwarding) passAnswer(a pendingAnswer) result {
	b := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(b)
	l := a.response.ContentLength
	buffered := int64(0)
	if l > 0 && l <= bufferSize && f.exchange.Request.Method != http.MethodHead {
		if _, err := io.ReadFull(a.response.Body, b[:l]); err != nil {
			return f.handleTruncated(a, false)
		}
		buffered = l
	}
	f.writeHeader(a.response)
	f.bytesPassed = buffered
	if buffered > 0 {
		if _, err := f.exchange.Writer.Write(b[:buffered]); err != nil {
			return f.handleCallerGone(a)
		}
	} else if r := f.stream(a, b[:]); r != nil {
		return r
	}
	f.copyTrailer(a.response)
	// The buffer of the request's body may still be in use by an earlier
	// attempt, or by this one when its connection cannot be released.
	if a.conn.Release() && f.exchange.Attempts == 1 {
		f.body.releaseBuffer()
	}
	f.endCall(a.call, choice.Answered{
		Status:    a.response.StatusCode,
		Load:      a.load,
		FirstByte: a.firstByte,
		Bytes:     f.bytesPassed,
	})
	return completed{}
}

func (f *forwarding) writeHeader(a *http.Response) {
	x := f.exchange
	x.Status = a.StatusCode
	x.SetWriteDeadline(x.Deadline.Add(answerWriteGrace))
	h := x.Writer.Header()
	copyHeader(h, a.Header, f.dialect.PrivateHeaders)
	for n := range a.Trailer {
		h.Add("Trailer", n)
	}
	x.HeaderSentAt = f.forwarder.now()
	f.body.closeIfUnread(x, x.HeaderSentAt)
	x.Writer.WriteHeader(a.StatusCode)
}

// stream copies the body and returns nil when all of it was passed on. It
// flushes after each read when the length is not known, because the server may
// pause between chunks.
func (f *forwarding) stream(a pendingAnswer, b []byte) result {
	c := http.NewResponseController(f.exchange.Writer)
	unknownLength := a.response.ContentLength < 0
	if unknownLength {
		_ = c.Flush()
	}
	for {
		n, err := a.response.Body.Read(b)
		if n > 0 {
			f.bytesPassed += int64(n)
			if _, e := f.exchange.Writer.Write(b[:n]); e != nil {
				return f.handleCallerGone(a)
			}
			if unknownLength && err == nil {
				_ = c.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return f.handleTruncated(a, true)
		}
	}
}

// handleTruncated ends an attempt whose answer broke off. headerWritten says
// that the caller already got the header, so that the answer can no longer be
// replaced.
func (f *forwarding) handleTruncated(a pendingAnswer, headerWritten bool) result {
	a.conn.Close()
	r := f.interruption()
	if r == nil {
		f.endCall(a.call, choice.Failed{})
		r = broken{}
	} else {
		f.endInterrupted(a.call, r, true)
	}
	if headerWritten {
		return truncated{}
	}
	return r
}

// handleCallerGone ends an attempt whose answer could not be written to the
// caller.
func (f *forwarding) handleCallerGone(a pendingAnswer) result {
	a.conn.Close()
	f.endCall(a.call, choice.Cancelled{})
	return callerGone{}
}

func (f *forwarding) copyTrailer(a *http.Response) {
	h := f.exchange.Writer.Header()
	for n, vs := range a.Trailer {
		if !slices.Contains(h["Trailer"], n) {
			n = http.TrailerPrefix + n
		}
		if len(vs) > 0 {
			h[n] = vs
		}
	}
}
