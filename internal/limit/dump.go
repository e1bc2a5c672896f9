package limit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"lentilbend.example/internal/member"
)

// Dump is the state of this VM's part of all limits.
type Dump struct {
	Self    member.ID
	Leaving bool
	Paused  bool
	// Period is the time between renewals to one peer.
	Period time.Duration
	Limits []LimitDump
}

// LimitDump is the state of one limit.
type LimitDump struct {
	Kind      string
	Service   string
	Workspace string
	Server    string
	Rate      float64
	Burst     float64
	Units     int
	// Home is the peer address of the limit's home; Self that it is this VM.
	Home string
	Self bool
	// Share is the own part of the limit, Lent how much of the share is lent,
	// Held the parts in use here, loans included.
	Share float64
	Lent  float64
	Held  float64
	Loans int
	// Level is the tokens here, Charged those given to others and not known to
	// be spent, Lots those that came from the home.
	Level   float64
	Charged int
	Lots    int
	Running int
	Waiting int
	// Demand is the requests a second at this VM.
	Demand float64
}

// Names of the kinds in dumps and metrics.
var kindNames = map[Kind]string{
	Rate: "Rate", Running: "Running", Probe: "Probe", Cold: "Cold",
}

// String returns the name of the kind.
func (k Kind) String() string {
	return kindNames[k]
}

// Dump returns a Dump.
func (f *Fleet) Dump() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Dump{Self: f.Self, Leaving: f.leaving, Paused: f.paused}
	n := f.buckets.Load()
	if n == nil {
		return d
	}
	d.Period = f.period()
	for k, b := range n.byKey {
		d.Limits = append(d.Limits, b.dump(k))
	}
	slices.SortFunc(d.Limits, compareDumps)
	return d
}

func compareDumps(a, b LimitDump) int {
	return cmp.Or(
		strings.Compare(a.Kind, b.Kind),
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Workspace, b.Workspace),
		strings.Compare(a.Server, b.Server),
	)
}

func (b *bucket) dump(k Key) LimitDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &b.taker
	d := LimitDump{
		Kind:      k.Kind.String(),
		Service:   k.Service,
		Workspace: k.Workspace,
		Rate:      b.spec.Rate,
		Burst:     b.spec.Burst,
		Units:     b.spec.Units,
		Self:      t.self,
		Share:     b.share,
		Lent:      float64(b.lent.part) / parts,
		Held:      b.held,
		Loans:     len(b.loans),
		Level:     b.level,
		Charged:   b.charged,
		Lots:      t.tokens(),
		Running:   b.running + t.running,
		Waiting:   len(t.waiting),
		Demand:    t.demand.rate,
	}
	if k.Server.IsValid() {
		d.Server = k.Server.String()
	}
	if t.home != nil {
		d.Home = t.home.id.Address.String()
	}
	return d
}
