package backend

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// informational passes informational answers (1xx) on while the final one is
// awaited.
type informational struct {
	writer  http.ResponseWriter
	private []string
	trace   httptrace.ClientTrace

	mu    sync.Mutex
	ended bool
}

// begin starts passing informational answers on to w; end stops it.
func (i *informational) begin(w http.ResponseWriter, private []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.writer, i.private = w, private
	i.ended = false
	if i.trace.Got1xxResponse == nil {
		i.trace.Got1xxResponse = i.pass
	}
}

// pass writes one informational answer, except 100 Continue, which net/http
// sends itself.
func (i *informational) pass(status int, from textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended || status == http.StatusContinue {
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
