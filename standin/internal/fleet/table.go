package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"lentilbend.example/internal/table"

	"lentilbend.example/standin/internal/history"
	"lentilbend.example/standin/internal/platform"
)

// Publish writes those values of the deployment's table that changed to the
// platform, in one revision, and returns it.
func (f *Fleet) Publish() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	vs := f.Deployment.values()
	var cs []platform.Change
	for _, v := range vs {
		if f.published[v.Name] != v.Text {
			cs = append(cs, v)
			f.published[v.Name] = v.Text
		}
	}
	if len(cs) == 0 {
		return f.Platform.Revision()
	}
	b := time.Now()
	r := f.Platform.Edit(cs...)
	f.Recorder.RecordEvent(history.TableEdited{Revision: r, Start: b, End: time.Now()})
	return r
}

// PublishAgain publishes a value that was changed at the platform itself.
func (f *Fleet) PublishAgain(name string) uint64 {
	f.mu.Lock()
	delete(f.published, name)
	f.mu.Unlock()
	return f.Publish()
}

// Withdraw takes the key of a workspace out of the table, or gives it again.
func (f *Fleet) Withdraw(workspace string, withdrawn bool) error {
	for i := range f.Deployment.Workspaces {
		w := &f.Deployment.Workspaces[i]
		if w.Name != workspace {
			continue
		}
		w.Withdrawn = withdrawn
		f.Publish()
		if withdrawn {
			f.Recorder.RecordEvent(history.KeyWithdrawn{Key: w.Name, At: time.Now()})
		} else {
			f.Recorder.RecordEvent(history.KeyRestored{Key: w.Name, At: time.Now()})
		}
		return nil
	}
	return fmt.Errorf("fleet: no workspace %q", workspace)
}

// SetCentre takes a data centre out of service or back in.
func (f *Fleet) SetCentre(name string, out bool) error {
	if !slices.Contains(f.Deployment.Centres, name) {
		return fmt.Errorf("fleet: no data centre %q", name)
	}
	if f.Deployment.Out == nil {
		f.Deployment.Out = map[string]bool{}
	}
	f.Deployment.Out[name] = out
	f.Publish()
	var as []netip.AddrPort
	for _, b := range f.Backends {
		if b.DataCentre == name {
			as = append(as, b.Address)
		}
	}
	if out {
		f.Recorder.RecordEvent(history.ServersWithdrawn{Servers: as, DataCentreOut: true, At: time.Now()})
	} else {
		f.Recorder.RecordEvent(history.ServersRestored{Servers: as, At: time.Now()})
	}
	return nil
}

// values returns the table as the platform holds it.
func (d *Deployment) values() []platform.Change {
	vs := []platform.Change{
		{Name: table.DataCentresValue, Text: d.centresText()},
		{Name: table.RoutesValue, Text: d.routesText()},
		{Name: table.WorkspacesValue, Text: d.workspacesText()},
	}
	for i := range d.Services {
		s := &d.Services[i]
		vs = append(vs,
			platform.Change{Name: table.ServicesPrefix + s.Name, Text: s.text()},
			platform.Change{Name: table.RowsPrefix + s.Name, Text: s.rowsText()})
	}
	return vs
}

func (d *Deployment) centresText() string {
	var b strings.Builder
	for _, c := range d.Centres {
		st := table.CentreIn
		if d.Out[c] {
			st = table.CentreOut
		}
		fmt.Fprintf(&b, "[[DataCentre]]\nName = %q\nRegion = \"one\"\nState = %q\n\n", c, st)
	}
	return b.String()
}

func (d *Deployment) routesText() string {
	var b strings.Builder
	for _, s := range d.Services {
		for _, r := range s.Routes {
			fmt.Fprintf(&b, "[[Route]]\nPrefix = %q\nService = %q\nKind = %q\n", r.Prefix, s.Name, r.Kind)
			fmt.Fprintf(&b, "Idempotent = %t\nOpen = %t\nTimeout = %q\n\n", r.Idempotent, r.Open, r.Timeout)
		}
	}
	return b.String()
}

func (d *Deployment) workspacesText() string {
	var b strings.Builder
	for _, w := range d.Workspaces {
		ks := ""
		if !w.Withdrawn {
			ks = fmt.Sprintf("%q", table.NewDigest(w.Key))
		}
		fmt.Fprintf(&b, "[[Workspace]]\nName = %q\nKeyDigests = [%s]\n\n", w.Name, ks)
	}
	return b.String()
}

func (s *Service) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Slots = %d\nConnections = %d\n", s.Slots, s.Connections)
	fmt.Fprintf(&b, "ColdRate = %f\nColdBurst = %f\nColdFor = %q\n", s.ColdRate, s.ColdBurst, s.ColdFor)
	fmt.Fprintf(&b, "ProbeRate = %f\nLoadPath = \"/load\"\n\n", s.ProbeRate)
	for _, p := range s.Servers {
		fmt.Fprintf(&b, "[[Server]]\nAddress = %q\nDataCentre = %q\n\n", p.Address, p.DataCentre)
	}
	return b.String()
}

func (s *Service) rowsText() string {
	var b strings.Builder
	for _, r := range s.Rows {
		fmt.Fprintf(&b, "[[Row]]\nWorkspace = %q\nWeight = %f\nRate = %f\n", r.Workspace, r.Weight, r.Rate)
		fmt.Fprintf(&b, "Burst = %f\nLimit = %d\n\n", r.Burst, r.Limit)
	}
	return b.String()
}
