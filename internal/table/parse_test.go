package table_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/finding"
	"lentilbend.example/internal/table"
)

// example returns the values of a folder below examples.
func example(name string) []table.Value {
	dir := filepath.Join("..", "..", "examples", name, "table")
	var vs []table.Value
	err := filepath.WalkDir(dir, func(p string, e os.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		b, err := os.ReadFile(p)
		n, _ := filepath.Rel(dir, p)
		vs = append(vs, table.Value{Name: strings.TrimSuffix(n, ".toml"), Text: string(b)})
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	return vs
}

// golden compares a text with a file below testdata. UPDATE_GOLDEN=1 writes
// the file.
func golden(name, text string) {
	GinkgoHelper()
	p := filepath.Join("testdata", name+".golden")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		Expect(os.WriteFile(p, []byte(text), 0o644)).To(Succeed())
	}
	b, err := os.ReadFile(p)
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(b)))
}

// with returns the values with the text of one replaced.
func with(vs []table.Value, name, text string) []table.Value {
	var r []table.Value
	for _, v := range vs {
		if v.Name != name {
			r = append(r, v)
		}
	}
	return append(r, table.Value{Name: name, Text: text})
}

var _ = Describe("Parse", func() {
	DescribeTable("accepts the examples",
		func(name string, services int) {
			t, fs := table.Parse(3, example(name))
			Expect(fs).To(BeEmpty())
			Expect(t.Services).To(HaveLen(services))
			Expect(t.Revision).To(Equal(uint64(3)))
		},
		Entry(nil, "demo", 2),
		Entry(nil, "association", 4),
		Entry(nil, "sennik", 4),
	)

	It("finds keys, routes and rows", func() {
		t, _ := table.Parse(1, example("demo"))
		w, ok := t.KeyHolder(table.NewDigest("demo-counter-key"))
		Expect(ok).To(BeTrue())
		Expect(w.Name).To(Equal("nyarugenge"))
		r, ok := t.Route("", "/till/sales")
		Expect(ok).To(BeTrue())
		Expect(r.Idempotent).To(BeFalse())
		s, _ := t.Service(r.Service)
		_, ok = s.Row("gasabo")
		Expect(ok).To(BeTrue())
		_, ok = t.Route("", "/tills")
		Expect(ok).To(BeFalse())
	})

	It("takes the route with the longest prefix, wherever it stands", func() {
		t, fs := table.Parse(1, with(example("demo"), table.RoutesValue, `
[[Route]]
Prefix = "/a/"
Service = "catalogue"
Kind = "wide"
Idempotent = true
Open = false
Timeout = "1s"
[[Route]]
Prefix = "/a/b/"
Service = "till"
Kind = "narrow"
Idempotent = true
Open = false
Timeout = "1s"
`))
		Expect(fs).To(BeEmpty())
		r, _ := t.Route("", "/a/b/c")
		Expect(r.Kind).To(Equal("narrow"))
	})

	It("reports all faults of a table in one go, whatever the order of values", func() {
		vs := with(example("demo"), "Rows/till", `
[[Row]]
Workspace = "nobody"
Weight = -1
Rate = 1e300
Burst = 0.5
Limit = 0
[[Row]]
Workspace = "gasabo"
Weight = inf
Rate = "many"
Burst = 1
Limit = 0.5
[[Row]]
Workspace = "gasabo"
Weight = 1
Rate = 1
Burst = 1
Limit = 1
`)
		vs = with(vs, "Services/till", `
Slots = 6
Connections = 200
ColdRate = 1
ColdBurst = 1
ColdFor = "-1s"
ProbeRate = 1
[[Server]]
Address = "127.0.0.1:0"
DataCentre = "nowhere"
[[Server]]
Address = "10.0.0.1:80"
DataCentre = "kigali-1"
[[Server]]
Address = "10.0.0.1:80"
DataCentre = "kigali-1"
`)
		vs = with(vs, "Workspaces", `
[[Workspace]]
Name = "nyarugenge"
KeyDigests = ["sha256:00"]
[[Workspace]]
Name = "gasabo"
KeyDigests = ["key-in-clear"]
`)
		vs = with(vs, "Rows/gone", "")
		vs = with(vs, "Other", "")
		t, fs := table.Parse(1, vs)
		Expect(t).To(BeNil())
		text := (&finding.Error{Findings: fs}).Error()
		Expect(text).NotTo(ContainSubstring("key-in-clear"))
		golden("findings", text)
	})
})

func FuzzParse(f *testing.F) {
	f.Add("[[Row]]\nWorkspace = \"gasabo\"\nWeight = 1\nRate = 4\nBurst = 8\nLimit = 1\n")
	f.Add("[[Row]]\nRate = -1e308\n")
	RegisterTestingT(f)
	vs := example("demo")
	f.Fuzz(func(t *testing.T, text string) {
		a, fs := table.Parse(1, with(vs, "Rows/till", text))
		b, gs := table.Parse(1, with(vs, "Rows/till", text))
		if (a == nil) != (len(fs) > 0) || (b == nil) != (a == nil) || len(fs) != len(gs) {
			t.Fatalf("verdicts differ: %v, %v", fs, gs)
		}
	})
}
