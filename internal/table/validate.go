package table

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode"

	"lentilbend.example/internal/finding"
)

// Bounds of the fields of a table.
const (
	// maxNameLength is in bytes.
	maxNameLength = 128
	// maxRate bounds rates in requests a second, bursts and weights.
	maxRate = 1e7
	// maxCount bounds slots, connections and concurrent requests.
	maxCount    = 1_000_000
	maxDuration = time.Hour
)

// addFinding reports a finding about a field, unless the place of the field has
// one already.
func (p *parser) addFinding(value, field, format string, args ...any) {
	pl := finding.Place{Value: value, Field: field}
	if d, ok := p.docs[value]; ok {
		pl = d.Place(field)
	}
	if p.reported[pl] {
		return
	}
	p.reported[pl] = true
	p.findings.Add(pl, format, args...)
}

// validate checks the values of the fields and the references between them.
func (p *parser) validate() {
	p.checkDataCentres()
	p.checkWorkspaces()
	p.checkRoutes()
	for i := range p.table.Services {
		p.checkService(&p.table.Services[i])
	}
}

func (p *parser) checkDataCentres() {
	seen := map[string]bool{}
	for i, c := range p.table.DataCentres {
		f := fmt.Sprintf("DataCentre[%d]", i)
		p.checkName(DataCentresValue, f+".Name", c.Name, seen)
		if c.State != CentreIn && c.State != CentreOut {
			p.addFinding(DataCentresValue, f+".State", "must be %q or %q", CentreIn, CentreOut)
		}
	}
}

func (p *parser) checkWorkspaces() {
	seen := map[string]bool{}
	holders := map[Digest]string{}
	for i, w := range p.table.Workspaces {
		f := fmt.Sprintf("Workspace[%d]", i)
		p.checkName(WorkspacesValue, f+".Name", w.Name, seen)
		for j, d := range w.KeyDigests {
			if h, ok := holders[d]; ok {
				p.addFinding(WorkspacesValue, fmt.Sprintf("%s.KeyDigests[%d]", f, j), "is already a key of workspace %q", h)
			}
			holders[d] = w.Name
		}
	}
}

func (p *parser) checkRoutes() {
	services := map[string]bool{}
	for _, s := range p.table.Services {
		services[s.Name] = true
	}
	seen := map[string]bool{}
	for i, r := range p.table.Routes {
		f := fmt.Sprintf("Route[%d]", i)
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			p.addFinding(RoutesValue, f+".Prefix", "must start and end with \"/\"")
		}
		if seen[r.Prefix] {
			p.addFinding(RoutesValue, f+".Prefix", "%q appears more than once", r.Prefix)
		}
		seen[r.Prefix] = true
		if !services[r.Service] {
			p.addFinding(RoutesValue, f+".Service", "there is no service %q", r.Service)
		}
		p.checkName(RoutesValue, f+".Kind", r.Kind, nil)
		p.checkDuration(RoutesValue, f+".Timeout", r.Timeout)
	}
}

func (p *parser) checkService(s *Service) {
	v := ServicesPrefix + s.Name
	p.checkName(v, "", s.Name, nil)
	p.checkCount(v, "Slots", s.Slots)
	p.checkCount(v, "Connections", s.Connections)
	p.checkRate(v, "ColdRate", s.ColdRate)
	p.checkBurst(v, "ColdBurst", s.ColdBurst)
	p.checkDuration(v, "ColdFor", s.ColdFor)
	if s.ProbeRate != 0 {
		p.checkRate(v, "ProbeRate", s.ProbeRate)
	}
	if s.LoadPath != "" && !strings.HasPrefix(s.LoadPath, "/") {
		p.addFinding(v, "LoadPath", "must start with \"/\"")
	}
	if s.ProbeRate > 0 && s.LoadPath == "" {
		p.addFinding(v, "ProbeRate", "needs a LoadPath")
	}
	p.checkServers(s)
	p.checkRows(s)
}

func (p *parser) checkServers(s *Service) {
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
			p.addFinding(v, f+".Address", "%s appears more than once", a)
		}
		seen[a] = true
		if b.Address.IsValid() && (b.Address.Port() == 0 || b.Address.Addr().IsUnspecified()) {
			p.addFinding(v, f+".Address", "%s must have a specific IP address and a port other than 0", a)
		}
		if !centres[b.DataCentre] {
			p.addFinding(v, f+".DataCentre", "there is no data centre %q", b.DataCentre)
		}
	}
}

func (p *parser) checkRows(s *Service) {
	v := RowsPrefix + s.Name
	known := map[string]bool{}
	for _, w := range p.table.Workspaces {
		known[w.Name] = true
	}
	seen := map[string]bool{}
	for i, r := range s.Rows {
		f := fmt.Sprintf("Row[%d]", i)
		if !known[r.Workspace] {
			p.addFinding(v, f+".Workspace", "there is no workspace %q", r.Workspace)
		}
		if seen[r.Workspace] {
			p.addFinding(v, f+".Workspace", "%q appears more than once", r.Workspace)
		}
		seen[r.Workspace] = true
		p.checkRate(v, f+".Weight", r.Weight)
		p.checkRate(v, f+".Rate", r.Rate)
		p.checkBurst(v, f+".Burst", r.Burst)
		p.checkCount(v, f+".Limit", r.Limit)
	}
}

// checkName checks a name and, unless seen is nil, that it is not in seen yet.
func (p *parser) checkName(value, field, name string, seen map[string]bool) {
	if name == "" || len(name) > maxNameLength {
		p.addFinding(value, field, "must have 1 to %d bytes", maxNameLength)
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			p.addFinding(value, field, "has a character that cannot be printed")
			break
		}
	}
	if seen == nil {
		return
	}
	if seen[name] {
		p.addFinding(value, field, "%q appears more than once", name)
	}
	seen[name] = true
}

func (p *parser) checkRate(value, field string, x float64) {
	if !(x > 0) || x > maxRate || math.IsNaN(x) {
		p.addFinding(value, field, "must be over 0 and at most %g", float64(maxRate))
	}
}

func (p *parser) checkBurst(value, field string, x float64) {
	if !(x >= 1) || x > maxRate || math.IsNaN(x) {
		p.addFinding(value, field, "must be at least 1 and at most %g", float64(maxRate))
	}
}

func (p *parser) checkCount(value, field string, x int) {
	if x < 1 || x > maxCount {
		p.addFinding(value, field, "must be from 1 to %d", maxCount)
	}
}

func (p *parser) checkDuration(value, field string, x time.Duration) {
	if x <= 0 || x > maxDuration {
		p.addFinding(value, field, "must be over 0 and at most %s", maxDuration)
	}
}
