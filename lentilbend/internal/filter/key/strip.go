package key

import (
	"net/http"
	"strings"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Strip takes the key out of the header and query of r. It returns false when
// the key stands where it cannot be taken out.
func Strip(r *http.Request, k exchange.Secret, credentials []string) bool {
	StripHeader(r.Header, k, credentials)
	r.URL.RawQuery = stripPairs(r.URL.RawQuery, "&", k)
	return !k.ContainedIn(r.URL.Path) && !k.ContainedIn(r.URL.RawPath) && !k.ContainedIn(r.Host) && !k.ContainedIn(r.Method)
}

// StripHeader deletes credentials and all values that hold the key from a
// header or trailer.
func StripHeader(h http.Header, k exchange.Secret, credentials []string) {
	for _, n := range credentials {
		delete(h, n)
	}
	for n, vs := range h {
		if k.ContainedIn(n) {
			delete(h, n)
			continue
		}
		if holds(vs, k) {
			stripField(h, n, vs, k)
		}
	}
}

func holds(vs []string, k exchange.Secret) bool {
	for _, v := range vs {
		if k.ContainedIn(v) {
			return true
		}
	}
	return false
}

// stripField takes the key out of one field: single cookies, else whole
// values.
func stripField(h http.Header, name string, vs []string, k exchange.Secret) {
	var kept []string
	for _, v := range vs {
		if name == "Cookie" {
			v = stripPairs(v, ";", k)
		} else if k.ContainedIn(v) {
			v = ""
		}
		if v != "" {
			kept = append(kept, v)
		}
	}
	if len(kept) == 0 {
		delete(h, name)
		return
	}
	h[name] = kept
}

// stripPairs removes the parts of s that hold the key.
func stripPairs(s, separator string, k exchange.Secret) string {
	if !k.ContainedIn(s) {
		return s
	}
	var kept []string
	for p := range strings.SplitSeq(s, separator) {
		if !k.ContainedIn(p) {
			kept = append(kept, p)
		}
	}
	s = strings.Join(kept, separator)
	if k.ContainedIn(s) {
		return ""
	}
	return strings.TrimSpace(s)
}
