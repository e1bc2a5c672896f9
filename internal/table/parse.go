package table

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"lentilbend.example/internal/document"
	"lentilbend.example/internal/finding"
)

// Value is one of the named TOML texts that make up a table.
type Value struct {
	Name string
	// Revision is the platform's revision in which the value last changed.
	Revision uint64
	// Era is that of Revision; see platformpb.ValuesAnswer.
	Era  uint64
	Text string
}

// dataCentresDoc is the content of the value "DataCentres".
type dataCentresDoc struct {
	DataCentre []DataCentre
}

// routesDoc is the content of the value "Routes".
type routesDoc struct {
	Route []Route
}

// workspacesDoc is the content of the value "Workspaces".
type workspacesDoc struct {
	Workspace []Workspace
}

// serviceDoc is the content of a value "Services/NAME".
type serviceDoc struct {
	Slots       int
	Connections int
	ColdRate    float64
	ColdBurst   float64
	ColdFor     time.Duration
	ProbeRate   float64  `document:"optional"`
	LoadPath    string   `document:"optional"`
	Server      []Server `document:"optional"`
}

// rowsDoc is the content of a value "Rows/NAME".
type rowsDoc struct {
	Row []Row `document:"optional"`
}

// Parse validates the values of one revision and returns the table that they make
// up, or nil and all findings. The result depends on the arguments only, so every
// VM accepts or refuses a revision alike.
func Parse(revision uint64, values []Value) (*Table, []finding.Finding) {
	p := parser{
		table: &Table{Revision: revision},
		rows:  map[string][]Row{},
		docs:  map[string]*document.Document{},

		reported: map[finding.Place]bool{},
	}
	vs := slices.SortedFunc(slices.Values(values), func(a, b Value) int {
		return cmp.Compare(a.Name, b.Name)
	})
	for _, v := range vs {
		p.parseValue(v)
	}
	p.requireValues(DataCentresValue, RoutesValue, WorkspacesValue)
	p.attachRows()
	p.validate()
	if fs := p.findings.All(); len(fs) > 0 {
		return nil, fs
	}
	p.table.BuildIndexes()
	return p.table, nil
}

type parser struct {
	table    *Table
	rows     map[string][]Row
	docs     map[string]*document.Document
	findings finding.List
	// reported holds the places that have a finding. validate adds at most one
	// finding for a place, and none if decoding the place failed.
	reported map[finding.Place]bool
}

func (p *parser) parseValue(v Value) {
	if _, ok := p.docs[v.Name]; ok {
		p.findings.Add(finding.Place{Value: v.Name}, "appears more than once")
		return
	}
	switch {
	case v.Name == DataCentresValue:
		var d dataCentresDoc
		p.decode(v, &d)
		p.table.DataCentres = d.DataCentre
	case v.Name == RoutesValue:
		var d routesDoc
		p.decode(v, &d)
		p.table.Routes = d.Route
	case v.Name == WorkspacesValue:
		var d workspacesDoc
		p.decode(v, &d)
		p.table.Workspaces = d.Workspace
	case strings.HasPrefix(v.Name, ServicesPrefix):
		p.parseService(v)
	case strings.HasPrefix(v.Name, RowsPrefix):
		var d rowsDoc
		p.decode(v, &d)
		p.rows[strings.TrimPrefix(v.Name, RowsPrefix)] = d.Row
	default:
		p.findings.Add(finding.Place{Value: v.Name}, "is not the name of a table value")
	}
}

func (p *parser) parseService(v Value) {
	var d serviceDoc
	p.decode(v, &d)
	p.table.Services = append(p.table.Services, Service{
		Name:        strings.TrimPrefix(v.Name, ServicesPrefix),
		Slots:       d.Slots,
		Connections: d.Connections,
		ColdRate:    d.ColdRate,
		ColdBurst:   d.ColdBurst,
		ColdFor:     d.ColdFor,
		ProbeRate:   d.ProbeRate,
		LoadPath:    d.LoadPath,
		Servers:     d.Server,
	})
}

func (p *parser) decode(v Value, out any) {
	doc, fs := document.Decode(v.Name, []byte(v.Text), out)
	p.docs[v.Name] = doc
	p.findings.Append(fs)
	for _, f := range fs {
		p.reported[f.Place] = true
	}
}

func (p *parser) requireValues(names ...string) {
	for _, n := range names {
		if _, ok := p.docs[n]; !ok {
			p.findings.Add(finding.Place{Value: n}, "missing")
		}
	}
}

// attachRows adds the rows to their services and reports rows whose service is
// missing.
func (p *parser) attachRows() {
	for i := range p.table.Services {
		s := &p.table.Services[i]
		s.Rows = p.rows[s.Name]
		delete(p.rows, s.Name)
	}
	for _, n := range slices.Sorted(maps.Keys(p.rows)) {
		p.findings.Add(finding.Place{Value: RowsPrefix + n}, "there is no service %q", n)
	}
}

// BuildIndexes builds the look-up maps and sorts the routes by descending prefix
// length. It must be called before the first look-up in a table that does not
// come from Parse.
func (t *Table) BuildIndexes() {
	t.services = map[string]*Service{}
	t.centres = map[string]*DataCentre{}
	t.workspaces = map[string]*Workspace{}
	t.workspacesByDigest = map[Digest]*Workspace{}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.DataCentres {
		t.centres[t.DataCentres[i].Name] = &t.DataCentres[i]
	}
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		t.workspaces[w.Name] = w
		for _, d := range w.KeyDigests {
			t.workspacesByDigest[d] = w
		}
	}
	slices.SortStableFunc(t.Routes, func(a, b Route) int {
		return cmp.Compare(len(b.Prefix), len(a.Prefix))
	})
	t.routesByHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	t.setsPriorities = t.findPriorities()
}
