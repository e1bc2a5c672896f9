package key_test

import (
	"net/http"
	"strings"
	"testing"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/filter/key"
)

// FuzzParse checks that a key is part of the Authorization header, and that Strip
// removes it from the request.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"Bearer demo-counter-key", "bearer x", "BEARER  x ", "Bearer", "Bearer ", "Basic eDp5", "",
		"Bearer a b", "Bearer %41", "Bearer \x00", "Bearer " + strings.Repeat("k", key.MaxLength+1),
	} {
		f.Add(s, "x=1&k="+s)
	}
	f.Fuzz(func(t *testing.T, value, query string) {
		h := http.Header{"Authorization": {value}, "X-Query": {query}, "Cookie": {query}}
		k, ok := exchange.DefaultDialect.Key(h)
		if !ok || len(k) > key.MaxLength {
			return
		}
		if k == "" || len(k) > key.MaxLength || !strings.Contains(value, k) {
			t.Fatalf("%q gave %q", value, k)
		}
		r, err := http.NewRequest(http.MethodGet, "http://a/", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header, r.URL.RawQuery = h, query
		s := exchange.NewSecret(k)
		if !key.Strip(r, s, exchange.DefaultDialect.CredentialHeaders) {
			return
		}
		if s.ContainedIn(r.URL.RawQuery) {
			t.Fatalf("the query %q still contains %q", r.URL.RawQuery, k)
		}
		for n, vs := range r.Header {
			if s.ContainedIn(strings.Join(vs, ", ")) && len(vs) == 1 {
				t.Fatalf("%s still contains %q: %q", n, k, vs)
			}
		}
	})
}
