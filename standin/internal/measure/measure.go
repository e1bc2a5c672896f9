// Package measure runs measurements and prints what they found as one TOML
// document each.
package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sys/unix"
)

// Options say how a measurement runs.
type Options struct {
	// Seed makes arrivals and faults repeatable.
	Seed uint64
	// Seconds is about how long the measured part takes; 0 leaves it to the
	// measurement.
	Seconds int
	// Plot is the SVG or PNG file to draw; empty for none.
	Plot string
	// Bin is the folder that holds the programs lentilbend and standin.
	Bin string
}

// Measurement is one thing that can be measured. Its file registers it.
type Measurement struct {
	// Name is what "standin measure NAME" takes.
	Name string
	// Text says in one line what is measured.
	Text string
	// Run returns the figures: a struct that TOML can hold. The result may
	// also implement Targeted and Plotted.
	Run func(ctx context.Context, o Options) (any, error)
}

// Target is a bound that the users stated and the figure beside it.
type Target struct {
	Name   string
	Bound  float64
	Figure float64
	Unit   string
	Met    bool
}

// AtMost returns the target that a figure is no greater than bound.
func AtMost(name, unit string, bound, figure float64) Target {
	return Target{Name: name, Bound: bound, Figure: figure, Unit: unit, Met: figure <= bound}
}

// Targeted is a result that is compared with stated targets.
type Targeted interface {
	Targets() []Target
}

// Plotted is a result that can be drawn.
type Plotted interface {
	Plot() Plot
}

// registered are the measurements by name.
var registered = map[string]Measurement{}

// register makes a measurement known. It is called while the package is
// initialized.
func register(m Measurement) {
	registered[m.Name] = m
}

// Names returns the names of all measurements in order.
func Names() []string {
	var ns []string
	for n := range registered {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// Find returns the measurement with the given name.
func Find(name string) (Measurement, bool) {
	m, ok := registered[name]
	return m, ok
}

// document is what is printed.
type document struct {
	Measurement string
	Text        string
	Seed        uint64
	Seconds     int `toml:",omitempty"`
	Commit      string
	Machine     Machine
	Targets     []Target `toml:",omitempty"`
	Figures     any
}

// Machine tells the size of the machine.
type Machine struct {
	Cores int
	// Memory is in MiB.
	Memory uint64
	Go     string
}

// Print runs the measurement and writes its document.
func (m Measurement) Print(ctx context.Context, o Options, out io.Writer) error {
	if o.Bin == "" {
		p, err := os.Executable()
		if err != nil {
			return fmt.Errorf("measure: %w", err)
		}
		o.Bin = filepath.Dir(p)
	}
	r, err := m.Run(ctx, o)
	if err != nil {
		return fmt.Errorf("measure %s: %w", m.Name, err)
	}
	if p, ok := r.(Plotted); ok && o.Plot != "" {
		if err := p.Plot().save(o.Plot); err != nil {
			return err
		}
	}
	d := document{
		Measurement: m.Name,
		Text:        m.Text,
		Seed:        o.Seed,
		Seconds:     o.Seconds,
		Commit:      commit(ctx),
		Machine:     machine(),
		Figures:     r,
	}
	if t, ok := r.(Targeted); ok {
		d.Targets = t.Targets()
	}
	b, err := toml.Marshal(d)
	if err != nil {
		return fmt.Errorf("measure %s: %w", m.Name, err)
	}
	_, err = out.Write(b)
	return err
}

func machine() Machine {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	var s unix.Sysinfo_t
	if unix.Sysinfo(&s) == nil {
		m.Memory = s.Totalram * uint64(s.Unit) >> 20
	}
	return m
}

// commit returns the commit that is checked out in the working folder, with
// "+" behind it when files differ from it.
func commit(ctx context.Context) string {
	b, err := exec.CommandContext(ctx, "git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	c := strings.TrimSpace(string(b))
	b, err = exec.CommandContext(ctx, "git", "status", "--porcelain", "--untracked-files=no").Output()
	if err != nil || len(b) > 0 {
		c += "+"
	}
	return c
}
