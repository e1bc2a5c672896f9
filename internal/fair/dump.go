package fair

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of a Gate.
type Dump struct {
	// Limit is how many requests may run at once from this VM.
	Limit   float64
	Running int
	Waiting int
	// Pressure is 1 when the servers are as full as they should be.
	Pressure    float64
	Latency     time.Duration
	BaseLatency time.Duration
	Admitted    uint64
	Refused     uint64
	Workspaces  []WorkspaceDump
}

// WorkspaceDump is the state of a workspace in a Gate.
type WorkspaceDump struct {
	Workspace string
	Weight    float64
	Running   int
	Waiting   int
	Arrived   uint64
	Admitted  uint64
	Refused   uint64
}

// Dump returns the state.
func (g *Gate) Dump() Dump {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := Dump{
		Limit:       g.limit.value,
		Running:     g.running,
		Waiting:     g.waiting,
		Pressure:    g.limit.load(),
		Latency:     g.limit.latency,
		BaseLatency: g.limit.base,
		Admitted:    g.admits,
		Refused:     g.refuses,
	}
	for _, s := range g.shares {
		d.Workspaces = append(d.Workspaces, WorkspaceDump{
			Workspace: s.name, Weight: s.weight, Running: s.running, Waiting: len(s.queue),
			Arrived: s.arrived, Admitted: s.admitted, Refused: s.refused,
		})
	}
	slices.SortFunc(d.Workspaces, func(a, b WorkspaceDump) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return d
}
