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
	// Units is the number of permits of a limit on concurrent requests.
	Units int
	// Home is the peer address of the limit's owner; Self is set if it is this VM.
	Home string
	Self bool
	// Share is this VM's fraction of the limit, Lent the fraction of the share
	// that is delegated, Held the fraction of the limit held here including the
	// delegations received, whose number is Loans.
	Share float64
	Lent  float64
	Held  float64
	Loans int
	// Level is the number of tokens here, Charged the number granted to other VMs
	// and not known to be spent, Lots the number granted by the owner.
	Level   float64
	Charged int
	Lots    int
	Running int
	Waiting int
	// Demand is the number of requests per second at this VM.
	Demand float64
}

// kindNames are the names of the kinds in dumps and metrics.
var kindNames = map[Kind]string{
	Rate: "Rate", Running: "Running", Probe: "Probe", Cold: "Cold",
}

// String returns the name of the kind.
func (k Kind) String() string {
	return kindNames[k]
}

// Dump returns the state of this VM's part of all limits, a value of type Dump.
func (f *Fleet) Dump() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Dump{Self: f.Self, Leaving: f.leaving, Paused: f.paused}
	n := f.buckets.Load()
	if n == nil {
		return d
	}
	d.Period = f.renewalPeriod()
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
	c := &b.client
	d := LimitDump{
		Kind:      k.Kind.String(),
		Service:   k.Service,
		Workspace: k.Workspace,
		Rate:      b.spec.Rate,
		Burst:     b.spec.Burst,
		Units:     b.spec.Permits,
		Self:      c.isOwner,
		Share:     b.share,
		Lent:      float64(b.delegated.pieces) / sharePieces,
		Held:      b.heldFraction,
		Loans:     len(b.received),
		Level:     b.level,
		Charged:   b.outstandingTokens,
		Lots:      c.tokens(),
		Running:   b.running + c.running,
		Waiting:   len(c.waiting),
		Demand:    c.demand.rate,
	}
	if k.Server.IsValid() {
		d.Server = k.Server.String()
	}
	if c.owner != nil {
		d.Home = c.owner.id.Address.String()
	}
	return d
}
