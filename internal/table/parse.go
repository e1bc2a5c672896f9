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

// Value is one named TOML text of a table.
type Value struct {
	Name string
	// Revision is the platform's revision that last changed the value.
	Revision uint64
	Text     string
}

// dataCentresDoc is the document of the value "DataCentres".
type dataCentresDoc struct {
	DataCentre []DataCentre
}

// routesDoc is the document of the value "Routes".
type routesDoc struct {
	Route []Route
}

// workspacesDoc is the document of the value "Workspaces".
type workspacesDoc struct {
	Workspace []Workspace
}

// serviceDoc is the document of a value "Services/NAME".
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

// rowsDoc is the document of a value "Rows/NAME".
type rowsDoc struct {
	Row []Row `document:"optional"`
}

// Parse validates the values of one revision and returns their table. It is a
// pure function of its arguments. On any finding the table is nil.
func Parse(revision uint64, values []Value) (*Table, []finding.Finding) {
	p := parser{
		table: &Table{Revision: revision},
		rows:  map[string][]Row{},
		docs:  map[string]*document.Document{},

		places: map[finding.Place]bool{},
	}
	vs := slices.SortedFunc(slices.Values(values), func(a, b Value) int {
		return cmp.Compare(a.Name, b.Name)
	})
	for _, v := range vs {
		p.value(v)
	}
	p.require(DataCentresValue, RoutesValue, WorkspacesValue)
	p.attachRows()
	p.validate()
	if fs := p.found.All(); len(fs) > 0 {
		return nil, fs
	}
	p.table.Build()
	return p.table, nil
}

type parser struct {
	table *Table
	rows  map[string][]Row
	docs  map[string]*document.Document
	found finding.List
	// places holds where a finding stands already; what is wrong in form is
	// not checked for its meaning.
	places map[finding.Place]bool
}

func (p *parser) value(v Value) {
	if _, ok := p.docs[v.Name]; ok {
		p.found.Add(finding.Place{Value: v.Name}, "stands twice")
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
		p.service(v)
	case strings.HasPrefix(v.Name, RowsPrefix):
		var d rowsDoc
		p.decode(v, &d)
		p.rows[strings.TrimPrefix(v.Name, RowsPrefix)] = d.Row
	default:
		p.found.Add(finding.Place{Value: v.Name}, "is not the name of a value of the table")
	}
}

func (p *parser) service(v Value) {
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
	p.found.Append(fs)
	for _, f := range fs {
		p.places[f.Place] = true
	}
}

func (p *parser) require(names ...string) {
	for _, n := range names {
		if _, ok := p.docs[n]; !ok {
			p.found.Add(finding.Place{Value: n}, "missing")
		}
	}
}

func (p *parser) attachRows() {
	for i := range p.table.Services {
		s := &p.table.Services[i]
		s.Rows = p.rows[s.Name]
		delete(p.rows, s.Name)
	}
	for _, n := range slices.Sorted(maps.Keys(p.rows)) {
		p.found.Add(finding.Place{Value: RowsPrefix + n}, "there is no service %q", n)
	}
}

// Build makes the look-up maps and orders routes by descending prefix length.
// A table that did not come from Parse needs it before use.
func (t *Table) Build() {
	t.services = map[string]*Service{}
	t.centres = map[string]*DataCentre{}
	t.workspaces = map[string]*Workspace{}
	t.digests = map[Digest]*Workspace{}
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
			t.digests[d] = w
		}
	}
	slices.SortStableFunc(t.Routes, func(a, b Route) int {
		return cmp.Compare(len(b.Prefix), len(a.Prefix))
	})
	t.hosts = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
}
