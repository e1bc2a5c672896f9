// Package openfleet runs the roster of a fleet that the platform does not list:
// it feeds roster.Roster with ticks and messages, and sends what it returns.
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
	SetPeers(now time.Time, to []netip.AddrPort)
	Send(to netip.AddrPort, f *peerpb.Frame) bool
}

// publishEvery is the least time between two workings out of the state.
const publishEvery = 40 * time.Millisecond

// Fleet is this VM's view of the fleet. Set the exported fields before Run.
type Fleet struct {
	Roster    *roster.Roster
	Transport Transport
	Bus       *event.Bus
	Logger    log.Logger

	mu sync.Mutex
	to []netip.AddrPort
	// published is when state was last worked out.
	published time.Time
	state     atomic.Pointer[State]
}

// State is what other parts read of the fleet without a lock.
type State struct {
	// Live are the VMs that are heard, this one included.
	Live []netip.AddrPort
	// Count is how many VMs share what is counted over the fleet.
	Count int
	// Neighbours are the VMs that this one exchanges messages with.
	Neighbours []netip.AddrPort
	// Coordinators are the VMs that this one reports to.
	Coordinators []netip.AddrPort
	// Coordinates says that this VM is one of them.
	Coordinates bool
	// Settled says that no VM was met for the first time of late.
	Settled bool
	// Joined says that another VM was heard, or that none is expected.
	Joined bool
}

// Run subscribes to ticks and the planned stop until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	f.do(func(now time.Time) []roster.Send {
		f.Roster.Start(now)
		return nil
	})
	if err := event.Subscribe(ctx, f.Bus, func(event.Tick) { f.do(f.Roster.Tick) }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, f.Bus, func(event.Stopping) { f.do(f.Roster.Leave) }); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// do runs one step of the roster and sends what it returns. The time is taken
// under the lock, so that the roster sees none go back.
func (f *Fleet) do(step func(time.Time) []roster.Send) {
	f.mu.Lock()
	now := time.Now()
	known := f.Roster.Count()
	ss := step(now)
	// The state of a large fleet takes a while to work out, so that it is left
	// to the ticks unless a message brought a VM.
	if now.Sub(f.published) >= publishEvery || f.Roster.Count() != known {
		f.published = now
		f.publish(now)
	}
	f.mu.Unlock()
	for _, s := range ss {
		m := &peerpb.Frame{}
		if s.Report != nil {
			m.Reports = []*peerpb.FleetReport{s.Report}
		}
		if s.Answer != nil {
			m.Answers = []*peerpb.FleetAnswer{s.Answer}
		}
		f.Transport.Send(s.To, m)
	}
}

// publish stores the state for other parts, and names the VMs to stay connected
// to. mu is held.
func (f *Fleet) publish(now time.Time) {
	r := f.Roster
	n := &State{
		Live:         r.Live(now),
		Count:        r.Count(),
		Neighbours:   r.Neighbours(now),
		Coordinators: r.Coordinators(),
		Joined:       r.Joined(),
		Settled:      r.Settled(now),
	}
	n.Coordinates = slices.Contains(n.Coordinators, r.Self.Address)
	to := r.Peers(now)
	if !slices.Equal(to, f.to) {
		f.to = to
		f.Transport.SetPeers(now, to)
	}
	o := f.state.Swap(n)
	f.report(o, n)
}

func (f *Fleet) report(o, n *State) {
	if o == nil || slices.Equal(o.Live, n.Live) && slices.Equal(o.Coordinators, n.Coordinators) {
		return
	}
	_ = level.Info(f.Logger).Log("msg", "Fleet changed.", "live", len(n.Live), "counted", n.Count,
		"coordinators", join(n.Coordinators), "lost", join(missing(o.Live, n.Live)), "found", join(missing(n.Live, o.Live)))
}

// missing returns the addresses of a that are not in b.
func missing(a, b []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(a), func(x netip.AddrPort) bool { return slices.Contains(b, x) })
}

// join returns addresses as one text without spaces.
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

// Handle takes the messages of a frame.
func (f *Fleet) Handle(_ time.Time, from member.ID, m *peerpb.Frame) {
	for _, q := range m.GetReports() {
		f.do(func(now time.Time) []roster.Send { return f.Roster.Receive(now, from, q) })
	}
	for _, a := range m.GetAnswers() {
		f.do(func(now time.Time) []roster.Send {
			f.Roster.Answer(now, from, a)
			return nil
		})
	}
}

// SetSeeds replaces the addresses by which the fleet is found.
func (f *Fleet) SetSeeds(as []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Roster.Seeds = as
}

// State returns what is known of the fleet. Callers must not change it.
func (f *Fleet) State() *State {
	if s := f.state.Load(); s != nil {
		return s
	}
	return &State{Count: 1, Live: []netip.AddrPort{f.Roster.Self.Address}}
}

// Dump returns the state.
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
