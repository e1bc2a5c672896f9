package load

import (
	"fmt"
	"os"
	"time"

	"lentilbend.example/internal/document"
	"lentilbend.example/internal/finding"
)

// Options describe a run in a TOML file; the fields are those of Generator.
type Options struct {
	Rate      float64
	For       time.Duration
	Timeout   time.Duration `document:"optional"`
	Balance   time.Duration `document:"optional"`
	Prefix    string        `document:"optional"`
	Entry     []Entry
	Kind      []Kind
	Workspace []Workspace
}

// Read reads a TOML file. The error is of type *finding.Error when the content
// is wrong.
func Read(path string) (*Generator, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	o := &Options{}
	if _, fs := document.Decode(path, b, o); len(fs) > 0 {
		return nil, &finding.Error{Findings: fs}
	}
	return &Generator{
		Entries:    o.Entry,
		Kinds:      o.Kind,
		Workspaces: o.Workspace,
		Rate:       o.Rate,
		For:        o.For,
		Timeout:    o.Timeout,
		Balance:    o.Balance,
		Prefix:     o.Prefix,
	}, nil
}
