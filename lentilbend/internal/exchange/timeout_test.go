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

// with returns the exchange of a request with a header.
func with(h http.Header) *exchange.Exchange {
	return &exchange.Exchange{Request: &http.Request{Header: h}}
}

func timeout(h http.Header) (time.Duration, bool, error) {
	return with(h).Timeout()
}

var _ = DescribeTable("Timeout",
	func(want time.Duration, given, wrong bool, vs ...string) {
		d, ok, err := timeout(http.Header{exchange.TimeoutHeader: vs})
		Expect(err != nil).To(Equal(wrong))
		Expect(ok).To(Equal(given))
		Expect(d).To(Equal(want))
	},
	Entry("absent", time.Duration(0), false, false),
	Entry("given", 250*time.Millisecond, true, false, "250ms"),
	Entry("over", time.Duration(0), true, false, "0s"),
	Entry("twice", time.Duration(0), false, true, "1s", "2s"),
	Entry("negative", time.Duration(0), false, true, "-1s"),
	Entry("without a unit", time.Duration(0), false, true, "5"),
	Entry("too long", time.Duration(0), false, true, "25h"),
)

var _ = DescribeTable("Attempt",
	func(want int, vs ...string) {
		Expect(with(http.Header{exchange.AttemptHeader: vs}).Attempt()).To(Equal(want))
	},
	Entry("absent", 1),
	Entry("given", 3, "3"),
	Entry("malformed counts as repeated", 1000, "x"),
	Entry("twice", 1000, "1", "1"),
	Entry("zero", 1000, "0"),
)

var _ = Describe("a secret", func() {
	It("shows itself nowhere", func() {
		k := exchange.NewSecret("hide-me")
		Expect(fmt.Sprintf("%v %+v %#v %s", k, k, k, k)).NotTo(ContainSubstring("hide-me"))
		Expect(fmt.Sprintf("%+v", &exchange.Exchange{Secret: k})).NotTo(ContainSubstring("hide-me"))
	})

	DescribeTable("is found in", func(s string, want bool) {
		Expect(exchange.NewSecret("k-1 2").In(s)).To(Equal(want))
	},
		Entry("itself", "xk-1 2x", true),
		Entry("an encoding", "%6B%2d1%202", true),
		Entry("a form", "k-1+2", true),
		Entry("an encoding beside an invalid one", "%zzk%2D1%202%", true),
		Entry("nothing else", "k-12", false),
		Entry("an empty text", "", false),
	)
})

// FuzzTimeout checks that what is accepted is in bounds, and that what is
// passed on is never longer.
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
			t.Fatalf("%q gave %s, %t", s, d, ok)
		}
		n, ok, err := timeout(http.Header{exchange.TimeoutHeader: {exchange.FormatTimeout(d)}})
		if err != nil || !ok || n > d || d-n >= time.Millisecond {
			t.Fatalf("%s was passed on as %s: %v", d, n, err)
		}
	})
}
