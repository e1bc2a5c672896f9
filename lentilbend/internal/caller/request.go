package caller

import (
	"net/http"
	"strings"
)

// fieldOverhead is the size added for each header field, in bytes, as in HTTP/2
// (RFC 9113, section 6.5.2).
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

// isUnsupported reports whether a request is a CONNECT or TRACE, or asks for
// another protocol. An upgrade to HTTP/2 without TLS (h2c) may be ignored (RFC
// 9110, section 7.8).
func isUnsupported(r *http.Request) bool {
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
