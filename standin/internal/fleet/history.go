package fleet

import (
	"time"

	"lentilbend.example/standin/internal/history"
	"lentilbend.example/standin/internal/load"
)

// NewGenerator returns a load generator that sends calls to all entry VMs. The
// caller sets Rate, Duration and Timeout, and may reduce Kinds.
func (f *Fleet) NewGenerator() *load.Generator {
	g := &load.Generator{
		Kinds:             f.Deployment.Kinds(),
		ReadinessInterval: 200 * time.Millisecond,
		Seed:              f.Seed,
		Recorder:          f.Recorder,
	}
	for _, e := range f.Entries {
		g.Entries = append(g.Entries, load.Entry{Caller: e.Caller, Operator: e.Operator})
	}
	for _, w := range f.Deployment.Workspaces {
		g.Workspaces = append(g.Workspaces, load.Workspace{Name: w.Name, Key: w.Key, Share: w.Share})
	}
	return g
}

// History returns the history of the run so far: the recorded calls and events,
// the executions and counts of the backend servers, and the limits and probe
// rates of the deployment.
func (f *Fleet) History() *history.History {
	h := f.Recorder.History()
	h.Executions = f.executions.Executions(0)
	h.Start, h.End = f.startedAt, time.Now()
	for _, b := range f.Backends {
		h.Servers = append(h.Servers, history.ServerCounts{Address: b.Address, Service: b.Service, Counts: b.Counts()})
	}
	for _, s := range f.Deployment.Services {
		h.ProbeRates = append(h.ProbeRates, history.ProbeRate{
			Service: s.Name, Rate: s.ProbeRate, Burst: max(1, s.ProbeRate),
		})
		for _, r := range s.Rows {
			h.Limits = append(h.Limits, history.Limit{
				Workspace: r.Workspace, Service: s.Name, Rate: r.Rate, Burst: r.Burst,
			})
		}
	}
	return h
}
