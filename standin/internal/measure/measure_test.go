package measure

import (
	"bytes"
	"context"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"

	"lentilbend.example/standin/internal/history"
	"lentilbend.example/standin/internal/load"
)

// sample is a result with a target and a plot.
type sample struct {
	Calls int
}

func (sample) Targets() []Target {
	return []Target{AtMost("Calls", "calls", 2, 3)}
}

func (sample) Plot() Plot {
	return Plot{Title: "sample", Lines: []Line{{Name: "a", Points: []Point{{X: 1, Y: 2}, {X: 2, Y: 3}}}}}
}

var _ = ginkgo.Describe("Measurement", func() {
	ginkgo.It("prints one TOML document and saves the plot", func() {
		m := Measurement{Name: "sample", Run: func(context.Context, Options) (any, error) { return sample{Calls: 3}, nil }}
		file := filepath.Join(ginkgo.GinkgoT().TempDir(), "sample.svg")
		var out bytes.Buffer
		gomega.Expect(m.Print(context.Background(), Options{Seed: 7, Plot: file}, &out)).To(gomega.Succeed())
		d := struct {
			Seed    uint64
			Machine Machine
			Targets []Target
			Figures sample
		}{}
		gomega.Expect(toml.Unmarshal(out.Bytes(), &d)).To(gomega.Succeed())
		gomega.Expect(d.Seed).To(gomega.Equal(uint64(7)))
		gomega.Expect(d.Machine.Cores).To(gomega.BeNumerically(">", 0))
		gomega.Expect(d.Targets[0].Met).To(gomega.BeFalse())
		gomega.Expect(d.Figures.Calls).To(gomega.Equal(3))
		b, err := os.ReadFile(file)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(b)).To(gomega.ContainSubstring("<svg"))
	})

	ginkgo.It("counts violations by kind", func() {
		var c faultCounts
		calls := []history.Call{
			{ID: "1", BodyDigest: "d", Outcome: history.Answered{Status: 200, ID: "1", BodyDigest: "d", Whole: true}},
			{ID: "2", BodyDigest: "d", Outcome: history.Answered{Status: 200, ID: "1", BodyDigest: "d", Whole: true}},
			{ID: "3", BodyDigest: "d", Outcome: history.Answered{Status: 200}},
			{ID: "4", Idempotent: true, Outcome: history.Cut{}},
			{ID: "5", Outcome: history.Refused{Status: 502}},
		}
		for i := range calls {
			c.add(&calls[i])
		}
		gomega.Expect(c).To(gomega.Equal(faultCounts{NonIdempotent: 4, Served: 2, Unknown: 2, MixedUp: 1, CutUnnoticed: 1}))
	})

	ginkgo.It("finds the longest time below the required ratio of served calls", func() {
		l := &load.Result{Cells: []load.Cell{
			{Kind: "k", Workspace: "w", Windows: []load.WindowCount{{Calls: 10, Served: 9}, {Calls: 10, Served: 10}, {Calls: 10, Served: 0}}},
			{Kind: "k", Workspace: "v", Windows: []load.WindowCount{{Calls: 0}, {Calls: 10, Served: 10}, {Calls: 10, Served: 10}, {Calls: 2, Served: 1}}},
		}}
		gomega.Expect(longestBelowTarget(l, "k")).To(gomega.Equal(2))
		gomega.Expect(longestBelowTarget(l, "v")).To(gomega.Equal(1))
	})
})
