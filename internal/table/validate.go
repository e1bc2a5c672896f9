package table

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode"

	"lentilbend.example/internal/finding"
)

// Bounds of the table's numbers.
const (
	maxNameLength = 128
	maxRate       = 1e7
	maxCount      = 1_000_000
	maxWait       = time.Hour
)

func (p *parser) add(value, field, format string, args ...any) {
	pl := finding.Place{Value: value, Field: field}
	if d, ok := p.docs[value]; ok {
		pl = d.Place(field)
	}
	if p.places[pl] {
		return
	}
	p.places[pl] = true
	p.found.Add(pl, format, args...)
}

func (p *parser) validate() {
	p.dataCentres()
	p.workspaces()
	p.routes()
	for i := range p.table.Services {
		p.checkService(&p.table.Services[i])
	}
}

func (p *parser) dataCentres() {
	seen := map[string]bool{}
	for i, c := range p.table.DataCentres {
		f := fmt.Sprintf("DataCentre[%d]", i)
		p.name(DataCentresValue, f+".Name", c.Name, seen)
		if c.State != CentreIn && c.State != CentreOut {
			p.add(DataCentresValue, f+".State", "must be %q or %q", CentreIn, CentreOut)
		}
	}
}

func (p *parser) workspaces() {
	seen := map[string]bool{}
	holders := map[Digest]string{}
	for i, w := range p.table.Workspaces {
		f := fmt.Sprintf("Workspace[%d]", i)
		p.name(WorkspacesValue, f+".Name", w.Name, seen)
		for j, d := range w.KeyDigests {
			if h, ok := holders[d]; ok {
				p.add(WorkspacesValue, fmt.Sprintf("%s.KeyDigests[%d]", f, j), "is a key of workspace %q already", h)
			}
			holders[d] = w.Name
		}
	}
}

func (p *parser) routes() {
	services := map[string]bool{}
	for _, s := range p.table.Services {
		services[s.Name] = true
	}
	seen := map[string]bool{}
	for i, r := range p.table.Routes {
		f := fmt.Sprintf("Route[%d]", i)
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			p.add(RoutesValue, f+".Prefix", "must start and end with \"/\"")
		}
		if seen[r.Prefix] {
			p.add(RoutesValue, f+".Prefix", "%q stands twice", r.Prefix)
		}
		seen[r.Prefix] = true
		if !services[r.Service] {
			p.add(RoutesValue, f+".Service", "there is no service %q", r.Service)
		}
		p.name(RoutesValue, f+".Kind", r.Kind, nil)
		p.wait(RoutesValue, f+".Timeout", r.Timeout)
	}
}

func (p *parser) checkService(s *Service) {
	v := ServicesPrefix + s.Name
	p.name(v, "", s.Name, nil)
	p.count(v, "Slots", s.Slots)
	p.count(v, "Connections", s.Connections)
	p.rate(v, "ColdRate", s.ColdRate)
	p.burst(v, "ColdBurst", s.ColdBurst)
	p.wait(v, "ColdFor", s.ColdFor)
	if s.ProbeRate != 0 {
		p.rate(v, "ProbeRate", s.ProbeRate)
	}
	if s.LoadPath != "" && !strings.HasPrefix(s.LoadPath, "/") {
		p.add(v, "LoadPath", "must start with \"/\"")
	}
	if s.ProbeRate > 0 && s.LoadPath == "" {
		p.add(v, "ProbeRate", "needs a LoadPath")
	}
	p.servers(s)
	p.serviceRows(s)
}

func (p *parser) servers(s *Service) {
	v := ServicesPrefix + s.Name
	centres := map[string]bool{}
	for _, c := range p.table.DataCentres {
		centres[c.Name] = true
	}
	seen := map[string]bool{}
	for i, b := range s.Servers {
		f := fmt.Sprintf("Server[%d]", i)
		a := b.Address.String()
		if b.Address.IsValid() && seen[a] {
			p.add(v, f+".Address", "%s stands twice", a)
		}
		seen[a] = true
		if b.Address.IsValid() && (b.Address.Port() == 0 || b.Address.Addr().IsUnspecified()) {
			p.add(v, f+".Address", "%s is not the address of a server", a)
		}
		if !centres[b.DataCentre] {
			p.add(v, f+".DataCentre", "there is no data centre %q", b.DataCentre)
		}
	}
}

func (p *parser) serviceRows(s *Service) {
	v := RowsPrefix + s.Name
	known := map[string]bool{}
	for _, w := range p.table.Workspaces {
		known[w.Name] = true
	}
	seen := map[string]bool{}
	for i, r := range s.Rows {
		f := fmt.Sprintf("Row[%d]", i)
		if !known[r.Workspace] {
			p.add(v, f+".Workspace", "there is no workspace %q", r.Workspace)
		}
		if seen[r.Workspace] {
			p.add(v, f+".Workspace", "%q stands twice", r.Workspace)
		}
		seen[r.Workspace] = true
		p.rate(v, f+".Weight", r.Weight)
		p.rate(v, f+".Rate", r.Rate)
		p.burst(v, f+".Burst", r.Burst)
		p.count(v, f+".Limit", r.Limit)
	}
}

// name checks a name and, where seen is given, that it stands once.
func (p *parser) name(value, field, name string, seen map[string]bool) {
	if name == "" || len(name) > maxNameLength {
		p.add(value, field, "must have 1 to %d bytes", maxNameLength)
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			p.add(value, field, "has a character that cannot be printed")
			break
		}
	}
	if seen == nil {
		return
	}
	if seen[name] {
		p.add(value, field, "%q stands twice", name)
	}
	seen[name] = true
}

func (p *parser) rate(value, field string, x float64) {
	if !(x > 0) || x > maxRate || math.IsNaN(x) {
		p.add(value, field, "must be over 0 and at most %g", float64(maxRate))
	}
}

func (p *parser) burst(value, field string, x float64) {
	if !(x >= 1) || x > maxRate || math.IsNaN(x) {
		p.add(value, field, "must be at least 1 and at most %g", float64(maxRate))
	}
}

func (p *parser) count(value, field string, x int) {
	if x < 1 || x > maxCount {
		p.add(value, field, "must be from 1 to %d", maxCount)
	}
}

func (p *parser) wait(value, field string, x time.Duration) {
	if x <= 0 || x > maxWait {
		p.add(value, field, "must be over 0 and at most %s", maxWait)
	}
}
