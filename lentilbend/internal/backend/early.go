package backend

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// early passes informational answers (1xx) on while the final one is awaited.
type early struct {
	writer  http.ResponseWriter
	private []string
	trace   httptrace.ClientTrace

	mu    sync.Mutex
	ended bool
}

// begin passes informational answers on to w until end.
func (e *early) begin(w http.ResponseWriter, private []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writer, e.private = w, private
	e.ended = false
	if e.trace.Got1xxResponse == nil {
		e.trace.Got1xxResponse = e.pass
	}
}

// pass writes one informational answer. 100 is the library's own matter.
func (e *early) pass(status int, from textproto.MIMEHeader) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended || status == http.StatusContinue {
		return nil
	}
	h := e.writer.Header()
	kept := h.Clone()
	passHeader(h, http.Header(from), e.private)
	e.writer.WriteHeader(status)
	clear(h)
	for n, vs := range kept {
		h[n] = vs
	}
	return nil
}

// end keeps later informational answers from the writer.
func (e *early) end() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
}
