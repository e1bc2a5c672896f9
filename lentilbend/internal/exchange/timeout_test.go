package exchange_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/exchange"
)

// newExchange returns the exchange of a request with the given header.
func newExchange(h http.Header) *exchange.Exchange {
	return &exchange.Exchange{Request: &http.Request{Header: h}}
}

func timeout(h http.Header) (time.Duration, bool, error) {
	return newExchange(h).Timeout()
}

var _ = DescribeTable("Timeout",
	func(want time.Duration, present, invalid bool, vs ...string) {
		d, ok, err := timeout(http.Header{exchange.TimeoutHeader: vs})
		Expect(err != nil).To(Equal(invalid))
		Expect(ok).To(Equal(present))
		Expect(d).To(Equal(want))
	},
	Entry("absent", time.Duration(0), false, false),
	Entry("present", 250*time.Millisecond, true, false, "250ms"),
	Entry("zero", time.Duration(0), true, false, "0s"),
	Entry("present twice", time.Duration(0), false, true, "1s", "2s"),
	Entry("negative", time.Duration(0), false, true, "-1s"),
	Entry("without a unit", time.Duration(0), false, true, "5"),
	Entry("too long", time.Duration(0), false, true, "25h"),
)

var _ = DescribeTable("Attempt",
	func(want int, vs ...string) {
		Expect(newExchange(http.Header{exchange.AttemptHeader: vs}).Attempt()).To(Equal(want))
	},
	Entry("absent", 1),
	Entry("present", 3, "3"),
	Entry("malformed, counted as the greatest number", 1000, "x"),
	Entry("present twice, counted as the greatest number", 1000, "1", "1"),
	Entry("zero, counted as the greatest number", 1000, "0"),
)

var _ = Describe("Secret", func() {
	It("is not printed by fmt", func() {
		k := exchange.NewSecret("hide-me")
		Expect(fmt.Sprintf("%v %+v %#v %s", k, k, k, k)).NotTo(ContainSubstring("hide-me"))
		Expect(fmt.Sprintf("%+v", &exchange.Exchange{Secret: k})).NotTo(ContainSubstring("hide-me"))
	})

	DescribeTable("ContainedIn", func(s string, want bool) {
		Expect(exchange.NewSecret("k-1 2").ContainedIn(s)).To(Equal(want))
	},
		Entry("a text that contains the key", "xk-1 2x", true),
		Entry("the percent-encoded key", "%6B%2d1%202", true),
		Entry("the form-encoded key", "k-1+2", true),
		Entry("the percent-encoded key beside an invalid encoding", "%zzk%2D1%202%", true),
		Entry("a text without the key", "k-12", false),
		Entry("an empty text", "", false),
	)
})

// FuzzTimeout checks that an accepted timeout is within its bounds, and that the
// formatted timeout is never longer and less than 1 ms shorter.
func FuzzTimeout(f *testing.F) {
	for _, s := range []string{"250ms", "0s", "-1s", "24h", "1e9s", "9223372036854775807ns", "1h1m1.5s", "\x00", "∞"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		d, ok, err := timeout(http.Header{exchange.TimeoutHeader: {s}})
		if err != nil {
			return
		}
		if !ok || d < 0 || d > 24*time.Hour {
			t.Fatalf("Timeout of %q: %s, %t", s, d, ok)
		}
		n, ok, err := timeout(http.Header{exchange.TimeoutHeader: {exchange.FormatTimeout(d)}})
		if err != nil || !ok || n > d || d-n >= time.Millisecond {
			t.Fatalf("timeout %s was formatted as %s: %v", d, n, err)
		}
	})
}
