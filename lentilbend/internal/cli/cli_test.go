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

var demoDir = filepath.Join("..", "..", "..", "examples", "demo")

// run runs the command line and returns the exit code, stdout and stderr.
func run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	c := cli.Run(args, &stdout, &stderr)
	return c, stdout.String(), stderr.String()
}

var _ = Describe("check", func() {
	It("accepts the demo's settings and table", func() {
		c, out, _ := run("check", "--settings", filepath.Join(demoDir, "entry-1.toml"), "--table", filepath.Join(demoDir, "table"))
		Expect(c).To(BeZero())
		Expect(out).To(Equal("No findings.\n"))
	})

	It("prints the findings of both with their positions and fails", func() {
		d := GinkgoT().TempDir()
		f := filepath.Join(d, "settings.toml")
		Expect(os.WriteFile(f, []byte("DataCentre = 3\n"), 0o600)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(d, "Routes.toml"), []byte("Route = 3\n"), 0o600)).To(Succeed())
		c, _, stderr := run("check", "--settings", f, "--table", d)
		Expect(c).To(Equal(1))
		Expect(stderr).To(ContainSubstring("settings.toml:1:1: DataCentre: must be a string"))
		Expect(stderr).To(ContainSubstring("Routes:1:1: Route: must be an array"))
		Expect(stderr).To(ContainSubstring("Workspaces: missing"))
	})

	It("fails for a missing file and without a flag", func() {
		c, _, stderr := run("check", "--settings", "nowhere.toml")
		Expect(c).To(Equal(1))
		Expect(stderr).To(ContainSubstring("nowhere.toml"))
		c, _, _ = run("check")
		Expect(c).To(Equal(1))
	})
})

var _ = Describe("dump", func() {
	It("prints the response of the process", func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(r.URL.Path))
		}))
		DeferCleanup(s.Close)
		c, out, _ := run("dump", "--operator", strings.TrimPrefix(s.URL, "http://"))
		Expect(c).To(BeZero())
		Expect(out).To(Equal("/dump"))
	})

	It("fails if the status of the response is not 200", func() {
		s := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(s.Close)
		c, _, stderr := run("dump", "--operator", strings.TrimPrefix(s.URL, "http://"))
		Expect(c).To(Equal(1))
		Expect(stderr).To(ContainSubstring("404"))
	})
})

var _ = Describe("version", func() {
	It("prints the version", func() {
		c, out, _ := run("version")
		Expect(c).To(BeZero())
		Expect(out).To(HavePrefix("lentilbend "))
	})
})
