package cli_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/cli"
)

var demo = filepath.Join("..", "..", "..", "examples", "demo")

// run returns the exit code and what was written.
func run(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	c := cli.Run(args, &out, &errs)
	return c, out.String(), errs.String()
}

var _ = Describe("check", func() {
	It("accepts the demo's settings and table", func() {
		c, out, _ := run("check", "--settings", filepath.Join(demo, "entry-1.toml"), "--table", filepath.Join(demo, "table"))
		Expect(c).To(BeZero())
		Expect(out).To(Equal("No findings.\n"))
	})

	It("prints the findings of both with their places and fails", func() {
		d := GinkgoT().TempDir()
		f := filepath.Join(d, "settings.toml")
		Expect(os.WriteFile(f, []byte("DataCentre = 3\n"), 0o600)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(d, "Routes.toml"), []byte("Route = 3\n"), 0o600)).To(Succeed())
		c, _, errs := run("check", "--settings", f, "--table", d)
		Expect(c).To(Equal(1))
		Expect(errs).To(ContainSubstring("settings.toml:1:1: DataCentre: must be a string"))
		Expect(errs).To(ContainSubstring("Routes:1:1: Route: must be an array"))
		Expect(errs).To(ContainSubstring("Workspaces: missing"))
	})

	It("fails for a file that is not there and without a flag", func() {
		c, _, errs := run("check", "--settings", "nowhere.toml")
		Expect(c).To(Equal(1))
		Expect(errs).To(ContainSubstring("nowhere.toml"))
		c, _, _ = run("check")
		Expect(c).To(Equal(1))
	})
})

var _ = Describe("dump", func() {
	It("prints what the process answers", func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(r.URL.Path))
		}))
		DeferCleanup(s.Close)
		c, out, _ := run("dump", "--operator", strings.TrimPrefix(s.URL, "http://"))
		Expect(c).To(BeZero())
		Expect(out).To(Equal("/dump"))
	})

	It("fails when the process does not answer with a dump", func() {
		s := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(s.Close)
		c, _, errs := run("dump", "--operator", strings.TrimPrefix(s.URL, "http://"))
		Expect(c).To(Equal(1))
		Expect(errs).To(ContainSubstring("404"))
	})
})

var _ = Describe("version", func() {
	It("prints the version", func() {
		c, out, _ := run("version")
		Expect(c).To(BeZero())
		Expect(out).To(HavePrefix("lentilbend "))
	})
})
