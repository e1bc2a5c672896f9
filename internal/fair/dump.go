package fair

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of a Gate.
type Dump struct {
	// Limit is the concurrency limit of this VM; 0 before the first sample.
	Limit   float64
	Running int
	Waiting int
	// Pressure is the load of the servers relative to the target; above 1 they
	// are overloaded.
	Pressure    float64
	Latency     time.Duration
	BaseLatency time.Duration
	Admitted    uint64
	Refused     uint64
	Workspaces  []WorkspaceDump
}

// WorkspaceDump is the state of one workspace in a Gate.
type WorkspaceDump struct {
	Workspace string
	Weight    float64
	Running   int
	Waiting   int
	Arrived   uint64
	Admitted  uint64
	Refused   uint64
}

// Dump returns the current state, sorted by workspace.
func (g *Gate) Dump() Dump {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := Dump{
		Limit:       g.limit.value,
		Running:     g.running,
		Waiting:     g.waiting,
		Pressure:    g.limit.relativePressure(),
		Latency:     g.limit.latency,
		BaseLatency: g.limit.baseLatency,
		Admitted:    g.admitted,
		Refused:     g.refused,
	}
	for _, f := range g.flows {
		d.Workspaces = append(d.Workspaces, WorkspaceDump{
			Workspace: f.name, Weight: f.weight, Running: f.running, Waiting: len(f.queue),
			Arrived: f.arrived, Admitted: f.admitted, Refused: f.refused,
		})
	}
	slices.SortFunc(d.Workspaces, func(a, b WorkspaceDump) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return d
}
