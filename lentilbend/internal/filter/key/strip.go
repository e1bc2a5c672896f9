package key

import (
	"net/http"
	"strings"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Strip removes the key from the header and query of r. It returns false if the
// path, host or method contains the key, from which it can't be removed.
func Strip(r *http.Request, k exchange.Secret, credentials []string) bool {
	StripHeader(r.Header, k, credentials)
	r.URL.RawQuery = stripPairs(r.URL.RawQuery, "&", k)
	return !k.ContainedIn(r.URL.Path) && !k.ContainedIn(r.URL.RawPath) && !k.ContainedIn(r.Host) && !k.ContainedIn(r.Method)
}

// StripHeader deletes the fields named in credentials, and all other fields and
// values that contain the key, from a header or trailer.
func StripHeader(h http.Header, k exchange.Secret, credentials []string) {
	for _, n := range credentials {
		delete(h, n)
	}
	for n, vs := range h {
		if k.ContainedIn(n) {
			delete(h, n)
			continue
		}
		if containsKey(vs, k) {
			stripField(h, n, vs, k)
		}
	}
}

func containsKey(vs []string, k exchange.Secret) bool {
	for _, v := range vs {
		if k.ContainedIn(v) {
			return true
		}
	}
	return false
}

// stripField removes the key from one field: single cookies from Cookie, whole
// values from other fields.
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

// stripPairs removes the pairs of s that contain the key, or all of s if the key
// spans several pairs.
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
