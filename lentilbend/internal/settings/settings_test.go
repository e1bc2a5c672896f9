package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/finding"

	"lentilbend.example/lentilbend/internal/settings"
)

// minimal gives only the required settings.
const minimal = `DataCentre = "kigali-1"
Caller.Address = "127.0.0.1:1"
Operator.Address = "127.0.0.1:2"
Peer.Address = "127.0.0.1:3"
Platform.Addresses = ["127.0.0.1:4"]
`

// malformed cannot be decoded: it has a missing field, an unknown field and values
// of a wrong type or syntax.
const malformed = `DataCentre = ""
[Caller]
Address = "localhost:80"
Certificate = "x.pem"
[Peer]
Address = "0.0.0.0:7"
Key = "x.pem"
ListAge = "-1s"
[Platform]
Addresses = []
[Log]
Level = "loud"
Format = 3
[Limits]
Header = 10
Bodies = 1
`

// invalid can be decoded, but has values that are not allowed.
const invalid = `DataCentre = ""
Caller = {Address = "127.0.0.1:1", Certificate = "x.pem"}
Operator.Address = "127.0.0.1:2"
Peer = {Address = "0.0.0.0:7", Key = "x.pem", ListAge = "-1s"}
Platform.Addresses = []
Log = {Level = "loud", Format = "xml"}
Limits = {Header = 10, Body = -1}
Stop = {Wait = "-1s", Timeout = "0s"}
`

// expectGolden compares text with testdata/NAME.golden. UPDATE_GOLDEN=1 rewrites
// the file.
func expectGolden(name, text string) {
	GinkgoHelper()
	p := filepath.Join("testdata", name+".golden")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(p, []byte(text), 0o644)).To(Succeed())
	}
	b, err := os.ReadFile(p)
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(b)))
}

var _ = Describe("Parse", func() {
	It("uses defaults for optional settings", func() {
		s, fs := settings.Parse("x", []byte(minimal))
		Expect(fs).To(BeEmpty())
		Expect(s.Log.Level).To(Equal("info"))
		Expect(s.Stop.Timeout).To(BeNumerically(">", 0))
	})

	DescribeTable("reports all findings at once",
		func(name, text string) {
			s, fs := settings.Parse("x", []byte(text))
			Expect(s).To(BeNil())
			expectGolden(name, (&finding.Error{Findings: fs}).Error())
		},
		Entry("of the form", "form", malformed),
		Entry("of the values", "meaning", invalid),
	)

	It("accepts the examples", func() {
		for _, f := range []string{"demo/entry-1.toml", "association/lentilbend.toml", "sennik/lentilbend.toml"} {
			_, err := settings.Read(filepath.Join("..", "..", "..", "examples", f))
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

func FuzzParse(f *testing.F) {
	f.Add(minimal)
	f.Add(malformed)
	f.Add(invalid)
	f.Fuzz(func(t *testing.T, text string) {
		s, fs := settings.Parse("x", []byte(text))
		if (s == nil) != (len(fs) > 0) {
			t.Fatalf("Parse must return either settings or findings, got findings %v", fs)
		}
	})
}
