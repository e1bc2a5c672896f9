package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// UntilRoom returns the time until a service is expected to have free capacity, as the
// Retry-After of a refused request. It varies by a quarter, so that callers do not retry
// all at the same time.
func UntilRoom(c Capacity, r *rand.Rand) time.Duration {
	return spread(time.Duration(max(0, c.occupancy()-1)*float64(c.Work)), r)
}

// spread returns d, but at least minRetryAfter, extended by up to retrySpread.
func spread(d time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(float64(max(d, minRetryAfter)) * (1 + retrySpread*r.Float64()))
}

// Dump is the state of a Gate.
type Dump struct {
	// Known is false while there are too few load reports; the VM's own limit then
	// applies.
	Known bool
	// Slots, Busy and Free are the capacity of the service, as last read, in requests
	// at the usual pace.
	Slots, Busy, Free float64
	Running, Waiting  int
	Admitted          uint64
	// Waited counts the requests that waited. The others count the refused ones.
	Waited, NoRoom, RoomElsewhere, Deadline uint64
	Kinds                                   []KindDump
}

// KindDump is the state of one kind of request in a Gate.
type KindDump struct {
	Kind     string
	Priority int
	// Threshold is the occupancy, Busy relative to Slots, around which requests are
	// admitted. It has no effect for the most urgent kinds.
	Threshold float64
	// Served is the fraction of the recent requests that were served.
	Served  float64
	Waiting int
}

// Dump returns the current state, sorted by kind.
func (g *Gate) Dump() Dump {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := Dump{
		Known: g.capacity.Known, Slots: g.capacity.Slots, Busy: g.capacity.Busy,
		Free:    max(0, g.capacity.Slots-g.capacity.Busy),
		Running: g.running, Waiting: len(g.waiting),
		Admitted: g.counts.admitted, Waited: g.counts.waited,
		NoRoom:        g.counts.refused[CauseNoRoom],
		RoomElsewhere: g.counts.refused[CauseRoomElsewhere],
		Deadline:      g.counts.refused[CauseDeadline],
	}
	for _, k := range g.kinds {
		d.Kinds = append(d.Kinds, KindDump{Kind: k.name, Priority: k.priority, Threshold: k.threshold, Served: k.ratio, Waiting: k.waiting})
	}
	slices.SortFunc(d.Kinds, func(a, b KindDump) int { return cmp.Compare(a.Kind, b.Kind) })
	return d
}
