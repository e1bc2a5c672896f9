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

// Publish writes the values of the table that changed since the last Publish to
// the platform, in one revision, and returns the platform's newest revision.
func (f *Fleet) Publish() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	vs := f.Deployment.tableValues()
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

// Republish publishes the deployment's text of a value even if it is unchanged,
// to undo an edit that was made at the platform directly.
func (f *Fleet) Republish(name string) uint64 {
	f.mu.Lock()
	delete(f.published, name)
	f.mu.Unlock()
	return f.Publish()
}

// SetKeyWithdrawn removes the key of a workspace from the table, or adds it
// again.
func (f *Fleet) SetKeyWithdrawn(workspace string, withdrawn bool) error {
	for i := range f.Deployment.Workspaces {
		w := &f.Deployment.Workspaces[i]
		if w.Name != workspace {
			continue
		}
		w.KeyWithdrawn = withdrawn
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

// SetDataCentreOut takes a data centre out of service or puts it back in.
func (f *Fleet) SetDataCentreOut(name string, out bool) error {
	if !slices.Contains(f.Deployment.DataCentres, name) {
		return fmt.Errorf("fleet: no data centre %q", name)
	}
	if f.Deployment.OutOfService == nil {
		f.Deployment.OutOfService = map[string]bool{}
	}
	f.Deployment.OutOfService[name] = out
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

// tableValues returns the table as the values that the platform holds.
func (d *Deployment) tableValues() []platform.Change {
	vs := []platform.Change{
		{Name: table.DataCentresValue, Text: d.dataCentresTOML()},
		{Name: table.RoutesValue, Text: d.routesTOML()},
		{Name: table.WorkspacesValue, Text: d.workspacesTOML()},
	}
	for i := range d.Services {
		s := &d.Services[i]
		vs = append(vs,
			platform.Change{Name: table.ServicesPrefix + s.Name, Text: s.serviceTOML()},
			platform.Change{Name: table.RowsPrefix + s.Name, Text: s.rowsTOML()})
	}
	return vs
}

func (d *Deployment) dataCentresTOML() string {
	var b strings.Builder
	for _, c := range d.DataCentres {
		st := table.CentreIn
		if d.OutOfService[c] {
			st = table.CentreOut
		}
		fmt.Fprintf(&b, "[[DataCentre]]\nName = %q\nRegion = \"one\"\nState = %q\n\n", c, st)
	}
	return b.String()
}

func (d *Deployment) routesTOML() string {
	var b strings.Builder
	for _, s := range d.Services {
		for _, r := range s.Routes {
			fmt.Fprintf(&b, "[[Route]]\nPrefix = %q\nService = %q\nKind = %q\n", r.Prefix, s.Name, r.Kind)
			fmt.Fprintf(&b, "Idempotent = %t\nOpen = %t\nTimeout = %q\n\n", r.Idempotent, r.Open, r.Timeout)
		}
	}
	return b.String()
}

func (d *Deployment) workspacesTOML() string {
	var b strings.Builder
	for _, w := range d.Workspaces {
		ks := ""
		if !w.KeyWithdrawn {
			ks = fmt.Sprintf("%q", table.NewDigest(w.Key))
		}
		fmt.Fprintf(&b, "[[Workspace]]\nName = %q\nKeyDigests = [%s]\n\n", w.Name, ks)
	}
	return b.String()
}

func (s *Service) serviceTOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Slots = %d\nConnections = %d\n", s.Slots, s.Connections)
	fmt.Fprintf(&b, "ColdRate = %f\nColdBurst = %f\nColdFor = %q\n", s.ColdRate, s.ColdBurst, s.ColdFor)
	fmt.Fprintf(&b, "ProbeRate = %f\nLoadPath = \"/load\"\n\n", s.ProbeRate)
	for _, p := range s.Servers {
		fmt.Fprintf(&b, "[[Server]]\nAddress = %q\nDataCentre = %q\n\n", p.Address, p.DataCentre)
	}
	return b.String()
}

func (s *Service) rowsTOML() string {
	var b strings.Builder
	for _, r := range s.Rows {
		fmt.Fprintf(&b, "[[Row]]\nWorkspace = %q\nWeight = %f\nRate = %f\n", r.Workspace, r.Weight, r.Rate)
		fmt.Fprintf(&b, "Burst = %f\nLimit = %d\n\n", r.Burst, r.Limit)
	}
	return b.String()
}
