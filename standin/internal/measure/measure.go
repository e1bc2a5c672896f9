// Package measure runs measurements of the load balancer and prints the result of
// each as a TOML document.
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

// Options are the parameters of a measurement.
type Options struct {
	// Seed makes arrivals and faults repeatable.
	Seed uint64
	// Seconds is the approximate duration of the measured part; 0 selects the
	// measurement's default. Only "faults", "latency" and "move" use it; the duration of
	// the others is fixed.
	Seconds int
	// Plot is the path of the SVG or PNG file to write; empty for none.
	Plot string
	// Bin is the folder that contains the programs lentilbend and standin; empty
	// for that of the running program.
	Bin string
}

// Measurement is a measurement that the command "standin measure" can run. The file
// that defines it registers it.
type Measurement struct {
	// Name is the argument of "standin measure NAME".
	Name string
	// Text is a one-line description.
	Text string
	// Run returns the figures, a struct that can be encoded as TOML. It may also
	// implement Targeted and Plotted.
	Run func(ctx context.Context, o Options) (any, error)
}

// Target is a bound that the users stated, with the measured figure.
type Target struct {
	Name   string
	Bound  float64
	Figure float64
	Unit   string
	Met    bool
}

// AtMost returns a target that is met if the figure does not exceed the bound.
func AtMost(name, unit string, bound, figure float64) Target {
	return Target{Name: name, Bound: bound, Figure: figure, Unit: unit, Met: figure <= bound}
}

// Targeted is a result that is compared with targets.
type Targeted interface {
	Targets() []Target
}

// Plotted is a result that can be plotted.
type Plotted interface {
	Plot() Plot
}

// measurements holds the registered measurements by name.
var measurements = map[string]Measurement{}

// register adds a measurement. It must be called only from init functions.
func register(m Measurement) {
	measurements[m.Name] = m
}

// Names returns the sorted names of all measurements.
func Names() []string {
	var ns []string
	for n := range measurements {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// Find returns the measurement with the given name.
func Find(name string) (Measurement, bool) {
	m, ok := measurements[name]
	return m, ok
}

// document is the printed TOML document.
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

// Machine describes the machine on which a measurement ran.
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

// commit returns the abbreviated hash of the commit checked out in the working
// folder, or "unknown". A "+" follows it if tracked files differ from the commit or
// their state cannot be determined.
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
