package backend

import (
	"net/http"
	"net/netip"
	"net/textproto"
	"strings"
)

// hopByHop are the header fields that belong to one connection (RFC 9110,
// section 7.6.1), and those that net/http's server and client handle themselves.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Http2-Settings",
}

// noUserAgent keeps net/http from adding its own User-Agent.
var noUserAgent = []string{""}

// removeHopByHop deletes the hop-by-hop fields, including those that the
// Connection field names.
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

// prepareHeader turns the header of the caller's request into the one for the
// backend server.
func (f *forwarding) prepareHeader() {
	r := f.exchange.Request
	h := r.Header
	trailers := acceptsTrailers(h)
	removeHopByHop(h)
	if trailers {
		h["Te"] = []string{"trailers"}
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = noUserAgent
	}
	if f.dialect.AddForwarded {
		f.addForwarded(h, r)
	}
	delete(h, f.dialect.Workspace)
	delete(h, f.dialect.Server)
	if s := f.exchange.Workspace; s != nil {
		h[f.dialect.Workspace] = f.headerValue(s.Name)
	}
	f.header = h
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
func (f *forwarding) addForwarded(h http.Header, r *http.Request) {
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		v := a.Addr().Unmap().String()
		if prior := h["X-Forwarded-For"]; len(prior) > 0 {
			v = strings.Join(prior, ", ") + ", " + v
		}
		h["X-Forwarded-For"] = f.headerValue(v)
	}
	if _, ok := h["X-Forwarded-Host"]; !ok {
		h["X-Forwarded-Host"] = f.headerValue(r.Host)
	}
	if _, ok := h["X-Forwarded-Proto"]; !ok {
		h["X-Forwarded-Proto"] = f.headerValue(scheme(r))
	}
}

func scheme(r *http.Request) string {
	if r.TLS != nil {
		return "https"
	}
	return "http"
}

// copyHeader copies the end-to-end fields of a server's answer to the answer for
// the caller, without the private ones. It keeps net/http from guessing a
// Content-Type.
func copyHeader(to, from http.Header, private []string) {
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
