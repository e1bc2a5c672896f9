package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// envInt returns an integer from an environment variable, or fallback if the
// variable is not set to one. It is used to configure longer runs.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// regressionRuns are runs that once violated a requirement.
var regressionRuns = []struct {
	seed uint64
	vms  int
}{
	{14, 5},   // SIGTERM within 1 ms of the start ended the process without a graceful shutdown
	{103, 24}, // requests that VMs granted before their first report to a coordinator were not counted
}

var _ = Describe("entry VMs under faults", Ordered, func() {
	var bin string

	BeforeAll(func() {
		bin = GinkgoT().TempDir()
		c := exec.Command("go", "build", "-o", filepath.Join(bin, "lentilbend"), "lentilbend.example/lentilbend")
		c.Dir = filepath.Join("..", "..", "..")
		b, err := c.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(b))
	})

	runSoak := func(seed uint64, vms int) {
		GinkgoHelper()
		s := &Soak{Bin: bin, Seed: seed, VMs: vms, Duration: time.Duration(envInt("SOAK_SECONDS", 6)) * time.Second}
		s.Log = func(t string) { GinkgoWriter.Println(t) }
		violations, err := s.Run(context.Background())
		Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
		Expect(violations).To(BeEmpty(), "seed %d", seed)
		Expect(s.servedCount()).To(BeNumerically(">", len(s.calls)/4), "seed %d: served calls of %d", seed, len(s.calls))
	}

	It("meet the requirements with the seeds that once violated one", func() {
		for _, f := range regressionRuns {
			runSoak(f.seed, f.vms)
		}
	})

	It("meet the requirements", func() {
		first := envInt("SOAK_FIRST", 1)
		for seed := range envInt("SOAK_SEEDS", 2) {
			runSoak(uint64(first+seed), envInt("SOAK_VMS", 5))
		}
	})
})
