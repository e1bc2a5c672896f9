package caller

import (
	"net/http"
	"strings"
)

// fieldOverhead is counted for each header field, as in HTTP/2 (RFC 9113,
// section 6.5.2).
const fieldOverhead = 32

// headerSize returns the size of a request's header in bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + fieldOverhead
		}
	}
	return n
}

// chunked reports whether an HTTP/1.1 request came in chunks. The library
// drops a Content-Length beside them, and another party on the way may have
// gone by it, so nothing that follows on the connection can be trusted (RFC
// 9112, section 6.3).
func chunked(r *http.Request) bool {
	return r.ProtoMajor == 1 && len(r.TransferEncoding) > 0
}

// wantsOther reports whether a request asks for something else than an HTTP
// answer. An offer to go on in HTTP/2 without TLS may be passed over (RFC 9110,
// section 7.8).
func wantsOther(r *http.Request) bool {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return true
	}
	for _, v := range r.Header["Upgrade"] {
		for t := range strings.SplitSeq(v, ",") {
			if t = strings.TrimSpace(t); t != "" && !strings.EqualFold(t, "h2c") {
				return true
			}
		}
	}
	return false
}
