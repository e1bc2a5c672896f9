package load_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/load"
)

var _ = DescribeTable("Parse parses a report",
	func(s string, r load.Report) {
		got, ok := load.Parse(s)
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(r))
	},
	Entry("all members", "running=3, queued=1, slots=6, cold, draining",
		load.Report{Running: 3, Queued: 1, Slots: 6, Cold: true, Draining: true}),
	Entry("explicit booleans", "running=3,cold=?0,draining=?1", load.Report{Running: 3, Draining: true}),
	Entry("unknown members of every type",
		`a=1.5;q=?1, b="x, cold=\"", c=:YQ==:, d=(1 "2" t);z, e=tok/en, slots=4`, load.Report{Slots: 4}),
	Entry("the last member of two with the same key", "running=1, running=2", load.Report{Running: 2}),
	Entry("a count above the maximum", "running=999999999999999", load.Report{Running: 1 << 20}),
)

var _ = DescribeTable("Parse rejects",
	func(s string) {
		_, ok := load.Parse(s)
		Expect(ok).To(BeFalse())
	},
	Entry("an empty value", ""),
	Entry("only spaces", "  "),
	Entry("a negative count", "running=-1"),
	Entry("too many digits", "running=1234567890123456"),
	Entry("a decimal count", "running=1.5"),
	Entry("a count without a value", "running"),
	Entry("an integer for a boolean", "cold=1"),
	Entry("an upper-case key", "Running=1"),
	Entry("a trailing comma", "running=1,"),
	Entry("a missing comma", "running=1 queued=2"),
	Entry("an unterminated string", `a="x`),
	Entry("an unterminated list", "a=(1 2"),
	Entry("bytes outside ASCII", "a=\"\xff\""),
	Entry("a value longer than MaxLength", "running=1, a="+strings.Repeat("x", load.MaxLength)),
)

func FuzzParse(f *testing.F) {
	f.Add("running=3, queued=0, slots=6, cold, draining")
	f.Add(`a=(1 "2";x=?0), b=:YQ==:;c, d=-1.25`)
	f.Add("running=999999999999999,queued=-0")
	f.Fuzz(func(t *testing.T, s string) {
		r, ok := load.Parse(s)
		if !ok {
			return
		}
		if r.Running < 0 || r.Queued < 0 || r.Slots < 0 {
			t.Fatalf("negative count in %+v", r)
		}
		if g, ok := load.Parse(load.Format(r)); !ok || g != r {
			t.Fatalf("%+v became %+v after Format and Parse", r, g)
		}
	})
}

// Parse runs for every response, so it must not allocate.
func TestParseDoesNotAllocate(t *testing.T) {
	n := testing.AllocsPerRun(100, func() {
		load.Parse("running=3, queued=0, slots=6, cold, draining")
	})
	if n != 0 {
		t.Fatalf("Parse made %v allocations; want 0", n)
	}
}
