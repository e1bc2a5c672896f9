package backend

import (
	"net/http"
	"net/netip"
	"net/textproto"
	"strings"
)

// hopByHop are the header fields that belong to one connection (RFC 9110,
// section 7.6.1), and those that the two HTTP libraries see to themselves.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Http2-Settings",
}

// noUserAgent keeps the library from adding its own User-Agent.
var noUserAgent = []string{""}

// removeHopByHop deletes the fields that end at this hop.
func removeHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for t := range strings.SplitSeq(v, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(t)))
		}
	}
	for _, n := range hopByHop {
		delete(h, n)
	}
}

// prepare turns the header of a caller's request into that for the backend
// server.
func (w *work) prepare() {
	r := w.exchange.Request
	h := r.Header
	trailers := acceptsTrailers(h)
	removeHopByHop(h)
	if trailers {
		h["Te"] = []string{"trailers"}
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = noUserAgent
	}
	if w.dialect.Forwarded {
		w.addForwarded(h, r)
	}
	delete(h, w.dialect.Workspace)
	delete(h, w.dialect.Server)
	if s := w.exchange.Workspace; s != nil {
		h[w.dialect.Workspace] = w.value(s.Name)
	}
	w.header = h
}

func acceptsTrailers(h http.Header) bool {
	for _, v := range h["Te"] {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), "trailers") {
				return true
			}
		}
	}
	return false
}

// addForwarded appends the caller's address to X-Forwarded-For and sets
// X-Forwarded-Host and X-Forwarded-Proto where they are absent.
func (w *work) addForwarded(h http.Header, r *http.Request) {
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		v := a.Addr().Unmap().String()
		if f := h["X-Forwarded-For"]; len(f) > 0 {
			v = strings.Join(f, ", ") + ", " + v
		}
		h["X-Forwarded-For"] = w.value(v)
	}
	if _, ok := h["X-Forwarded-Host"]; !ok {
		h["X-Forwarded-Host"] = w.value(r.Host)
	}
	if _, ok := h["X-Forwarded-Proto"]; !ok {
		h["X-Forwarded-Proto"] = w.value(scheme(r))
	}
}

func scheme(r *http.Request) string {
	if r.TLS != nil {
		return "https"
	}
	return "http"
}

// passHeader copies the header of an answer to the caller's.
func passHeader(to, from http.Header, private []string) {
	removeHopByHop(from)
	for _, n := range private {
		delete(from, n)
	}
	for n, vs := range from {
		to[n] = vs
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}
