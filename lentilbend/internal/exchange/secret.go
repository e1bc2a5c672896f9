package exchange

import (
	"net/url"
	"strings"
)

// Secret is the key that came with a request. fmt prints a placeholder in its
// place.
type Secret struct {
	value string
}

// NewSecret returns a secret that holds a key.
func NewSecret(key string) Secret {
	return Secret{value: key}
}

// String returns a placeholder.
func (Secret) String() string {
	return "[hidden]"
}

// GoString returns a placeholder, for %#v.
func (Secret) GoString() string {
	return "[hidden]"
}

// ContainedIn reports whether s contains the key, as it is or percent-encoded.
func (k Secret) ContainedIn(s string) bool {
	if k.value == "" || len(s) < len(k.value) {
		return false
	}
	if strings.Contains(s, k.value) {
		return true
	}
	if !strings.ContainsAny(s, "%+") {
		return false
	}
	return strings.Contains(percentDecode(s), k.value) ||
		strings.Contains(percentDecode(strings.ReplaceAll(s, "+", " ")), k.value)
}

// percentDecode decodes every valid percent-encoding, also in a text that has
// invalid ones.
func percentDecode(s string) string {
	if d, err := url.PathUnescape(s); err == nil {
		return d
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if d, err := url.PathUnescape(s[i:min(i+3, len(s))]); s[i] == '%' && err == nil {
			b.WriteString(d)
			i += 2
			continue
		}
		b.WriteByte(s[i])
	}
	return b.String()
}
