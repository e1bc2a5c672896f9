package exchange

// Shortage is what a refused request lacked, as a label of metrics.
type Shortage string

// Shortages.
const (
	// NoRoom means that there was no free capacity at any server.
	NoRoom Shortage = "no-room"
	// RoomElsewhere means that there was free capacity that this VM may not use.
	RoomElsewhere Shortage = "room-elsewhere"
	// ColdRate means that the servers in cold start had reached their rate.
	ColdRate Shortage = "cold-rate"
	// RetryBudget means that a server did not start the request and no retry was
	// left.
	RetryBudget Shortage = "retry-budget"
	// NoTime means that the request could not end before its deadline.
	NoTime Shortage = "deadline"
	// Stopping means that the VM was stopping.
	Stopping Shortage = "stopping"
)

// EffectiveShortage returns Shortage, or the one that follows from the cause; empty for
// a refusal that is not for lack of capacity.
func (r *Refusal) EffectiveShortage() Shortage {
	if r.Shortage != "" {
		return r.Shortage
	}
	switch r.Cause {
	case CauseNoServer, CauseShed, CauseOverload, CauseSaturated:
		return NoRoom
	case CauseDeadline:
		return NoTime
	case CauseStopping:
		return Stopping
	}
	return ""
}

// Priority returns the priority of the request: that of its workspace if it has one,
// otherwise that of its route.
func (x *Exchange) Priority() int {
	if x.Workspace != nil && x.Workspace.Priority != nil {
		return *x.Workspace.Priority
	}
	if x.Route != nil {
		return x.Route.Priority
	}
	return 0
}
