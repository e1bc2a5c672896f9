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
