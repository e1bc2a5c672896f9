package backend

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"lentilbend.example/internal/dialect"
)

// maxInformational is how many informational answers (1xx) may come before a final
// one. A server that sends more may send them without end.
const maxInformational = 16

var errTooManyInformational = errors.New("backend: the server sends informational answers without a final one")

// informational passes informational answers (1xx) on while the final one is
// awaited.
type informational struct {
	writer  http.ResponseWriter
	private []string
	// signature is the field that only final answers have. If there is one, no
	// informational answer is passed on, since none can be told from bytes that are no
	// answer.
	signature string
	trace     httptrace.ClientTrace

	mu    sync.Mutex
	count int
	ended bool
}

// begin starts passing informational answers on to w; end stops it.
func (i *informational) begin(w http.ResponseWriter, d *dialect.Dialect) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.writer, i.private, i.signature = w, d.PrivateHeaders, d.Signature
	i.ended, i.count = false, 0
	if i.trace.Got1xxResponse == nil {
		i.trace.Got1xxResponse = i.pass
	}
}

// pass writes one informational answer if it has early hints. The error ends the
// attempt.
func (i *informational) pass(status int, from textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.count++; i.count > maxInformational {
		return errTooManyInformational
	}
	if err := checkInformational(from, i.signature); err != nil {
		return err
	}
	if i.ended || i.signature != "" || !hasEarlyHints(status, from) {
		return nil
	}
	h := i.writer.Header()
	saved := h.Clone()
	copyHeader(h, http.Header(from), i.private)
	i.writer.WriteHeader(status)
	clear(h)
	for n, vs := range saved {
		h[n] = vs
	}
	return nil
}

// end stops passing informational answers on: the writer is now used for the
// final one.
func (i *informational) end() {
	i.mu.Lock()
	i.ended = true
	i.mu.Unlock()
}
