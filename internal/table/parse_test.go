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

// exampleValues returns the values of a table below the folder examples.
func exampleValues(name string) []table.Value {
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

// expectGolden compares a text with a file below testdata. UPDATE_GOLDEN=1 writes
// the file first.
func expectGolden(name, text string) {
	GinkgoHelper()
	p := filepath.Join("testdata", name+".golden")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		Expect(os.WriteFile(p, []byte(text), 0o644)).To(Succeed())
	}
	b, err := os.ReadFile(p)
	Expect(err).NotTo(HaveOccurred())
	Expect(text).To(Equal(string(b)))
}

// withValue returns the values with the text of one of them added or replaced.
func withValue(vs []table.Value, name, text string) []table.Value {
	var r []table.Value
	for _, v := range vs {
		if v.Name != name {
			r = append(r, v)
		}
	}
	return append(r, table.Value{Name: name, Text: text})
}

var _ = Describe("Parse", func() {
	DescribeTable("accepts the tables of the examples",
		func(name string, services int) {
			t, fs := table.Parse(3, exampleValues(name))
			Expect(fs).To(BeEmpty())
			Expect(t.Services).To(HaveLen(services))
			Expect(t.Revision).To(Equal(uint64(3)))
		},
		Entry(nil, "demo", 2),
		Entry(nil, "association", 4),
		Entry(nil, "sennik", 4),
	)

	It("looks up keys, routes and rows", func() {
		t, _ := table.Parse(1, exampleValues("demo"))
		w, ok := t.WorkspaceByKey(table.NewDigest("demo-counter-key"))
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

	It("returns the route with the longest prefix, in any order of the routes", func() {
		t, fs := table.Parse(1, withValue(exampleValues("demo"), table.RoutesValue, `
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

	It("reports all errors of a table at once, in any order of the values", func() {
		vs := withValue(exampleValues("demo"), "Rows/till", `
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
		vs = withValue(vs, "Services/till", `
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
		vs = withValue(vs, "Workspaces", `
[[Workspace]]
Name = "nyarugenge"
KeyDigests = ["sha256:00"]
[[Workspace]]
Name = "gasabo"
KeyDigests = ["key-in-clear"]
`)
		vs = withValue(vs, "Rows/gone", "")
		vs = withValue(vs, "Other", "")
		t, fs := table.Parse(1, vs)
		Expect(t).To(BeNil())
		text := (&finding.Error{Findings: fs}).Error()
		Expect(text).NotTo(ContainSubstring("key-in-clear"))
		expectGolden("findings", text)
	})
})

func FuzzParse(f *testing.F) {
	f.Add("[[Row]]\nWorkspace = \"gasabo\"\nWeight = 1\nRate = 4\nBurst = 8\nLimit = 1\n")
	f.Add("[[Row]]\nRate = -1e308\n")
	RegisterTestingT(f)
	vs := exampleValues("demo")
	f.Fuzz(func(t *testing.T, text string) {
		a, fs := table.Parse(1, withValue(vs, "Rows/till", text))
		b, gs := table.Parse(1, withValue(vs, "Rows/till", text))
		if (a == nil) != (len(fs) > 0) || (b == nil) != (a == nil) || len(fs) != len(gs) {
			t.Fatalf("results differ: %v, %v", fs, gs)
		}
	})
}
