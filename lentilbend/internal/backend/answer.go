package backend

import (
	"io"
	"net/http"
	"slices"
	"time"

	"lentilbend.example/internal/choice"
)

// writingTime is how long after the deadline an answer that came in time may
// still be written. Without it the library would cut an answer that came just
// before the deadline.
const writingTime = time.Second

// pass passes an answer on to the caller. A short answer is read whole first,
// so that one that breaks off can still be refused or tried elsewhere.
func (w *work) pass(a answered) result {
	b := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(b)
	l := a.response.ContentLength
	held := int64(0)
	if l > 0 && l <= bufferSize && w.exchange.Request.Method != http.MethodHead {
		if _, err := io.ReadFull(a.response.Body, b[:l]); err != nil {
			return w.cutShort(a, false)
		}
		held = l
	}
	w.writeHead(a.response)
	w.size = held
	if held > 0 {
		if _, err := w.exchange.Writer.Write(b[:held]); err != nil {
			return w.unread(a)
		}
	} else if r := w.stream(a, b[:]); r != nil {
		return r
	}
	w.passTrailer(a.response)
	if a.conn.Release() && w.exchange.Attempts == 1 {
		w.body.free()
	}
	w.end(a.call, choice.Answered{
		Status:    a.response.StatusCode,
		Load:      a.load,
		FirstByte: a.first,
		Bytes:     w.size,
	})
	return passed{}
}

func (w *work) writeHead(a *http.Response) {
	x := w.exchange
	x.Status = a.StatusCode
	x.SetWriteDeadline(x.Deadline.Add(writingTime))
	h := x.Writer.Header()
	passHeader(h, a.Header, w.dialect.Private)
	for n := range a.Trailer {
		h.Add("Trailer", n)
	}
	x.HeaderSentAt = w.forwarder.now()
	w.body.leftUnread(x, x.HeaderSentAt)
	x.Writer.WriteHeader(a.StatusCode)
}

// stream copies the body. It flushes after each piece when the length is not
// known, because the server may wait between pieces.
func (w *work) stream(a answered, b []byte) result {
	f := http.NewResponseController(w.exchange.Writer)
	live := a.response.ContentLength < 0
	if live {
		_ = f.Flush()
	}
	for {
		n, err := a.response.Body.Read(b)
		if n > 0 {
			w.size += int64(n)
			if _, e := w.exchange.Writer.Write(b[:n]); e != nil {
				return w.unread(a)
			}
			if live && err == nil {
				_ = f.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return w.cutShort(a, true)
		}
	}
}

// cutShort judges an answer that the backend server did not end.
func (w *work) cutShort(a answered, begun bool) result {
	a.conn.Close()
	r := w.ended()
	if r == nil {
		w.end(a.call, choice.Failed{})
		r = broken{}
	} else {
		w.endOver(a.call, r, true)
	}
	if begun {
		return cut{}
	}
	return r
}

// unread judges an answer that the caller did not take.
func (w *work) unread(a answered) result {
	a.conn.Close()
	w.end(a.call, choice.Cancelled{})
	return gone{}
}

func (w *work) passTrailer(a *http.Response) {
	h := w.exchange.Writer.Header()
	for n, vs := range a.Trailer {
		if !slices.Contains(h["Trailer"], n) {
			n = http.TrailerPrefix + n
		}
		if len(vs) > 0 {
			h[n] = vs
		}
	}
}
