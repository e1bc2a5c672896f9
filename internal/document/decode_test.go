package document_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/document"
	"lentilbend.example/internal/finding"
)

type inner struct {
	Address netip.AddrPort
	Wait    time.Duration `document:"optional"`
}

type outer struct {
	Name  string
	Count int
	Rate  float64
	On    bool
	Inner inner   `document:"optional"`
	List  []inner `document:"optional"`
}

// formatFindings returns "line:column field text" for each finding.
func formatFindings(fs []finding.Finding) []string {
	var ss []string
	for _, f := range fs {
		ss = append(ss, fmt.Sprintf("%d:%d %s %s", f.Place.Line, f.Place.Column, f.Place.Field, f.Text))
	}
	return ss
}

var _ = Describe("Decode", func() {
	It("fills a struct", func() {
		var o outer
		_, fs := document.Decode("x", []byte(`Name = "a"
Count = 3
Rate = 2
On = true
Inner = {Address = "127.0.0.1:1", Wait = "2s"}
[[List]]
Address = "127.0.0.1:2"
`), &o)
		Expect(fs).To(BeEmpty())
		Expect(o.Rate).To(Equal(2.0))
		Expect(o.Inner.Wait).To(Equal(2 * time.Second))
		Expect(o.List[0].Address.Port()).To(Equal(uint16(2)))
	})

	// Guards against a document that takes gigabytes of memory, which ends the process.
	DescribeTable("refuses a document that is nested too deep, in little time and memory", func(text string, line int) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, fs := document.Decode("x", []byte(text), &outer{})
		runtime.ReadMemStats(&after)
		Expect(fs).To(HaveLen(1))
		Expect(fs[0].Text).To(ContainSubstring("nested deeper than 32"))
		Expect(fs[0].Place.Line).To(Equal(line))
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 256<<20))
	},
		Entry("arrays", "a = "+strings.Repeat("[", 500_000), 0),
		Entry("inline tables", "a = "+strings.Repeat("{a=", 300_000), 0),
		Entry("a dotted key", "On = true\n"+strings.Repeat("a.", 10_000)+"a = 1\n", 2),
		Entry("a long dotted key", strings.Repeat("a.", 400_000)+"a = 1\n", 1),
		Entry("a dotted table", "["+strings.Repeat("a.", 10_000)+"a]\n", 1),
		Entry("a dotted array of tables", "[["+strings.Repeat("a.", 10_000)+"a]]\n", 1),
		Entry("a dotted key in an inline table", "x = {"+strings.Repeat("a.", 10_000)+"a = 1}\n", 1),
		Entry("a dotted key in an array in an inline table", "x = {b = [{"+strings.Repeat("a.", 10_000)+"a = 1}]}\n", 1),
		Entry("a table and a key together", "["+strings.Repeat("a.", 20)+"a]\n"+strings.Repeat("b.", 20)+"b = 1\n", 2),
	)

	It("accepts dots in texts and comments", func() {
		var o outer
		_, fs := document.Decode("x", []byte("Name = \"a"+strings.Repeat(".b", 100)+"\" # c"+strings.Repeat(".d", 100)+"\nCount = 3\nRate = 2\nOn = true\n"), &o)
		Expect(fs).To(BeEmpty())
	})

	It("reports all errors of a document at once, each with its position", func() {
		var o outer
		_, fs := document.Decode("x", []byte(`Name = 7
Rate = nan
Extra = 1
On = "yes"
Inner = {Address = "nowhere", Wait = 3}
[[List]]
Address = "127.0.0.1:2"
[[List]]
Adress = "127.0.0.1:2"
`), &o)
		Expect(formatFindings(fs)).To(ConsistOf(
			"1:1 Count missing",
			"1:1 Name must be a string, but is a whole number",
			"2:1 Rate must be a finite number",
			"3:1 Extra unknown field",
			"4:1 On must be a bool, but is a string",
			HavePrefix("5:10 Inner.Address "),
			"5:31 Inner.Wait must be a duration such as \"250ms\", but is a whole number",
			"8:3 List[1].Address missing",
			"9:1 List[1].Adress unknown field",
		))
	})

	DescribeTable("rejects an invalid document",
		func(text string) {
			var o outer
			_, fs := document.Decode("x", []byte(text), &o)
			Expect(fs).To(HaveLen(1))
		},
		Entry("bad UTF-8", "Name = \"\xff\""),
		Entry("a syntax error", "Name = "),
		Entry("a duplicate key", "Name = \"a\"\nName = \"b\""),
		Entry("too deep", "Name = "+strings.Repeat("[", 100)),
		Entry("too long", strings.Repeat("#", document.MaxSize+1)),
		Entry("a number out of range", "Count = 99999999999999999999999"),
	)
})

func FuzzDecode(f *testing.F) {
	f.Add("Name = \"a\"\nCount = 3\n[[List]]\nAddress = \"127.0.0.1:2\"\n")
	f.Add("Inner = {Address = \"127.0.0.1:1\"}\nList = [{Wait = \"1s\"}, 3]")
	f.Add("a.b.c = 1\n[a]\nd = [[1, {x = 2}], 3] # c")
	f.Add("Rate = 1e400\nName = '''\n'''")
	f.Fuzz(func(t *testing.T, text string) {
		var o outer
		_, fs := document.Decode("x", []byte(text), &o)
		for _, p := range fs {
			if p.Text == "" || p.Place.Value != "x" {
				t.Fatalf("finding has no text or place: %+v", p)
			}
		}
	})
}
