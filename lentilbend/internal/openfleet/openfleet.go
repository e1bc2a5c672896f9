// Package openfleet runs the roster of an open fleet, one whose VMs the platform
// does not list. It passes ticks and received messages to roster.Roster, and sends
// the messages that it returns.
package openfleet

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/roster"
)

// Transport carries frames to other VMs.
type Transport interface {
	// SetPeers replaces the VMs to stay connected to.
	SetPeers(now time.Time, to []netip.AddrPort)
	// Send queues a frame and returns false when it cannot. It must not block.
	Send(to netip.AddrPort, f *peerpb.Frame) bool
}

// publishInterval is the minimum time between two computations of State, unless
// the number of known VMs changes.
const publishInterval = 40 * time.Millisecond

// Fleet is this VM's view of the fleet. Set the exported fields before Run.
type Fleet struct {
	Roster    *roster.Roster
	Transport Transport
	Bus       *event.Bus
	Logger    log.Logger

	mu sync.Mutex
	// peers are the VMs last passed to Transport.SetPeers.
	peers []netip.AddrPort
	// publishedAt is when state was last computed.
	publishedAt time.Time
	state       atomic.Pointer[State]
}

// State is a snapshot of the fleet that other components read without a lock. It
// is also written to the dump.
type State struct {
	// Live are the VMs that are not silent, this one included.
	Live []netip.AddrPort
	// Count is the number of VMs that share the fleet-wide limits, silent ones
	// included.
	Count int
	// Neighbours are the VMs that this one exchanges messages with.
	Neighbours []netip.AddrPort
	// Coordinators are the VMs that this one reports to.
	Coordinators []netip.AddrPort
	// Coordinates is whether this VM is one of Coordinators.
	Coordinates bool
	// Settled is whether Joined holds and no new VM appeared within the last
	// report interval.
	Settled bool
	// Joined is whether another VM is known, or the seeds name no other.
	Joined bool
}

// Run processes ticks and the graceful shutdown until ctx is done.
func (f *Fleet) Run(ctx context.Context) error {
	f.runStep(func(now time.Time) []roster.Envelope {
		f.Roster.Start(now)
		return nil
	})
	if err := event.Subscribe(ctx, f.Bus, func(event.Tick) { f.runStep(f.Roster.Tick) }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, f.Bus, func(event.Stopping) { f.runStep(f.Roster.Leave) }); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// runStep runs one step of the roster and sends the messages that it returns. It
// reads the time under the lock, since the roster's time must not go back.
func (f *Fleet) runStep(step func(time.Time) []roster.Envelope) {
	f.mu.Lock()
	now := time.Now()
	known := f.Roster.FleetSize()
	es := step(now)
	// The state of a large fleet is costly to compute, so messages mostly leave it
	// to the next tick, unless the number of VMs changed.
	if now.Sub(f.publishedAt) >= publishInterval || f.Roster.FleetSize() != known {
		f.publishedAt = now
		f.publish(now)
	}
	f.mu.Unlock()
	for _, e := range es {
		m := &peerpb.Frame{}
		if e.Report != nil {
			m.Reports = []*peerpb.FleetReport{e.Report}
		}
		if e.Answer != nil {
			m.Answers = []*peerpb.FleetAnswer{e.Answer}
		}
		f.Transport.Send(e.To, m)
	}
}

// publish computes and stores the state, and updates the VMs to stay connected to.
// mu is held.
func (f *Fleet) publish(now time.Time) {
	r := f.Roster
	n := &State{
		Live:         r.Live(now),
		Count:        r.FleetSize(),
		Neighbours:   r.Neighbours(now),
		Coordinators: r.Coordinators(),
		Joined:       r.Joined(),
		Settled:      r.Settled(now),
	}
	n.Coordinates = slices.Contains(n.Coordinators, r.Self.Address)
	to := r.Peers(now)
	if !slices.Equal(to, f.peers) {
		f.peers = to
		f.Transport.SetPeers(now, to)
	}
	o := f.state.Swap(n)
	f.logChanges(o, n)
}

// logChanges logs a change of the live VMs or the coordinators between two states.
func (f *Fleet) logChanges(o, n *State) {
	if o == nil || slices.Equal(o.Live, n.Live) && slices.Equal(o.Coordinators, n.Coordinators) {
		return
	}
	_ = level.Info(f.Logger).Log("msg", "Fleet changed.", "live", len(n.Live), "counted", n.Count,
		"coordinators", join(n.Coordinators), "lost", join(difference(o.Live, n.Live)), "found", join(difference(n.Live, o.Live)))
}

// difference returns the addresses in a that are not in b.
func difference(a, b []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(a), func(x netip.AddrPort) bool { return slices.Contains(b, x) })
}

// join returns addresses separated by commas.
func join(as []netip.AddrPort) string {
	var b []byte
	for i, a := range as {
		if i > 0 {
			b = append(b, ',')
		}
		b = a.AppendTo(b)
	}
	return string(b)
}

// Handle passes the reports and answers in a frame to the roster.
func (f *Fleet) Handle(_, _ time.Time, from member.ID, m *peerpb.Frame) {
	for _, q := range m.GetReports() {
		f.runStep(func(now time.Time) []roster.Envelope { return f.Roster.ReceiveReport(now, from, q) })
	}
	for _, a := range m.GetAnswers() {
		f.runStep(func(now time.Time) []roster.Envelope {
			f.Roster.ReceiveAnswer(now, from, a)
			return nil
		})
	}
}

// SetSeeds replaces the addresses through which a VM finds the fleet.
func (f *Fleet) SetSeeds(as []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Roster.Seeds = as
}

// State returns the latest state of the fleet. Callers must not modify it.
func (f *Fleet) State() *State {
	if s := f.state.Load(); s != nil {
		return s
	}
	return &State{Count: 1, Live: []netip.AddrPort{f.Roster.Self.Address}}
}

// Dump returns the state for the operator's dump.
func (f *Fleet) Dump() any {
	return f.State()
}

// Register adds the fleet's metrics.
func (f *Fleet) Register(m prometheus.Registerer) {
	m.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_fleet_live",
			Help: "Entry VMs that are heard, this one included.",
		}, func() float64 { return float64(len(f.State().Live)) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_fleet_counted",
			Help: "Entry VMs that share what is counted over the fleet, silent ones included.",
		}, func() float64 { return float64(f.State().Count) }),
	)
}
