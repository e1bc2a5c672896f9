package load

import (
	"fmt"
	"os"
	"time"

	"lentilbend.example/internal/document"
	"lentilbend.example/internal/finding"
)

// Options is the TOML document that describes a run. Fields without a comment
// are those of Generator.
type Options struct {
	Rate float64
	// For is Generator.Duration.
	For     time.Duration
	Timeout time.Duration `document:"optional"`
	// Balance is Generator.ReadinessInterval.
	Balance time.Duration `document:"optional"`
	Prefix  string        `document:"optional"`
	// Entry, Kind and Workspace are Entries, Kinds and Workspaces.
	Entry     []Entry
	Kind      []Kind
	Workspace []Workspace
}

// ReadGenerator returns a generator with the Options of a TOML file. The error is
// of type *finding.Error when the content is invalid.
func ReadGenerator(path string) (*Generator, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	o := &Options{}
	if _, fs := document.Decode(path, b, o); len(fs) > 0 {
		return nil, &finding.Error{Findings: fs}
	}
	return &Generator{
		Entries:           o.Entry,
		Kinds:             o.Kind,
		Workspaces:        o.Workspace,
		Rate:              o.Rate,
		Duration:          o.For,
		Timeout:           o.Timeout,
		ReadinessInterval: o.Balance,
		Prefix:            o.Prefix,
	}, nil
}
