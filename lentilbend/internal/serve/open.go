package serve

import (
	"errors"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/event"
	"lentilbend.example/internal/roster"
	"lentilbend.example/internal/table"
	deployment "lentilbend.example/platform"

	"lentilbend.example/lentilbend/internal/backend"
	"lentilbend.example/lentilbend/internal/filter/throttle"
	"lentilbend.example/lentilbend/internal/openfleet"
	"lentilbend.example/lentilbend/internal/peer"
	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/settings"
)

// capacityScale turns the capacity of the settings, which may be a part of a
// core, into whole numbers.
const capacityScale = 1000

// budgetKept is the part of a bound over all VMs that is shared out; the rest is
// for VMs that do not know of each other yet.
const budgetKept = 0.8

// pullTimeout bounds a pull from a peer: a table of 100 KB takes some 100 ms over
// the slowest link, and two more pulls fit into the time that a change has.
const pullTimeout = 400 * time.Millisecond

// readers is how many coordinators wait for changes of the platform; the loss
// of one goes unnoticed.
const readers = 2

// probeIdle is how long a connection for probes is kept: servers close theirs
// after some ten seconds.
const probeIdle = 9 * time.Second

// watchEvery is the time between looks at a request in flight: a slow spell is
// noticed soon enough to answer in time from another server.
const watchEvery = 60 * time.Millisecond

// peerTimes are the times of streams in a fleet without a list, where a VM must
// serve within a second of its start.
var peerTimes = peer.Times{
	Dial:        time.Second,
	Silent:      time.Second,
	Acknowledge: 300 * time.Millisecond,
	Fallback:    100 * time.Millisecond,
	Backoff:     50 * time.Millisecond,
	BackoffMax:  time.Second,
}

// isOpen tells whether the platform lists no VMs, so that the parts of this file
// stand in for the membership with promises.
func (p *Process) isOpen() bool {
	return p.Settings.Platform.Form == settings.FormStore
}

// buildOpenFleet makes the streams to the other entry VMs and the roster.
func (p *Process) buildOpenFleet() {
	s := p.Settings
	id := p.buildHub()
	p.hub.Times = peerTimes
	p.workspaces = &roster.Limits{
		Overage:   s.Fleet.RateOverage,
		Tolerance: s.Fleet.RateTolerance,
		FleetSize: func() (int, bool) {
			t := p.open.State()
			return t.Count, t.Settled
		},
	}
	p.workspaces.Set(nil)
	p.open = &openfleet.Fleet{
		Roster: &roster.Roster{
			Self:     id,
			Capacity: int(capacityScale * s.Fleet.Capacity),
			Seeds:    s.Peer.Seeds,
			Limits:   p.workspaces,
		},
		Transport: p.hub,
		Bus:       p.bus,
		Logger:    p.root.Part("fleet"),
	}
	p.open.Register(p.registry)
	p.hub.Register(p.registry)
	p.parts["Fleet"] = p.open
	p.parts["Peers"] = p.hub
}

// buildWatcher makes the part that reads the store.
func (p *Process) buildWatcher() {
	s := p.Settings
	p.store.Parse = deployment.Parse
	p.watcher = &platform.Watcher{
		Source:    &deployment.Source{Address: s.Platform.Addresses[0], Timeout: s.Platform.Timeout},
		Store:     p.store,
		Logger:    p.root.Part("platform"),
		Forgotten: func(err error) bool { return errors.Is(err, deployment.ErrHistoryDropped) },
		Reads:     p.reads,
		OnRead:    func() { p.relay.Beat() },
		Covered:   func() (time.Duration, bool) { return p.relay.Covered() },
		VMs:       func() int { return len(p.open.State().Live) },
		Began:     p.started,
	}
	p.watcher.Register(p.registry)
	p.parts["Platform"] = p.watcher
}

// reads tells whether this VM is one of those that are to read the store.
func (p *Process) reads() bool {
	t := p.open.State()
	return slices.Contains(t.Coordinators[:min(readers, len(t.Coordinators))], p.Settings.Peer.Address)
}

// buildOpenLimits connects the choice of servers and the workspaces' limits with
// the roster.
func (p *Process) buildOpenLimits() {
	p.services.Stated = true
	p.services.ReadAge = func() (time.Duration, bool) { return p.relay.Age() }
	p.services.Entries = func() int { return p.open.State().Count }
	p.services.Cold = func(string) choice.Allowance { return p.coldSponsor() }
	p.services.Home = p.Settings.DataCentre
	p.services.Self = p.Settings.Peer.Address
	p.services.FarCost = p.Settings.Fleet.FarCost
	p.prober.Load = deployment.Dialect().Load
	p.prober.Transport = &http.Transport{
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     probeIdle,
		DisableCompression:  true,
	}
	p.services.Ask = p.prober.Ask
	p.services.Watch = p.prober.Watch
	p.throttle = &throttle.Filter{Limits: p.workspaces, Logger: p.root.Part("throttle")}
	p.registry.MustRegister(p.throttle)
	p.forwarderBudget = backend.FleetBudget{
		RetryRatio: p.Settings.Fleet.RetryPart * budgetKept,
		MaxSaved: func() float64 {
			return math.Max(1, p.Settings.Fleet.RetryMost*budgetKept/float64(p.open.State().Count))
		},
	}
}

// limitWorkspaces puts the workspaces' limits of the table in force.
func (p *Process) limitWorkspaces(event.TableAccepted) {
	t := p.store.Table()
	if t == nil {
		return
	}
	m := make(map[uint64]roster.Limit, len(t.Workspaces))
	for _, w := range t.Workspaces {
		if w.Rate > 0 {
			m[roster.WorkspaceHash(w.Name)] = roster.Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	p.workspaces.Set(m)
}

// coldSponsor returns the allowance of cold servers: a few VMs may use all of
// it, the others nothing.
func (p *Process) coldSponsor() choice.Allowance {
	return &choice.PermittedSenders{
		Self:   p.Settings.Peer.Address,
		VMs:    func() []netip.AddrPort { return p.open.State().Live },
		Joined: func() bool { return p.open.State().Joined },
		Rate: func(server netip.AddrPort) float64 {
			return coldRate(p.store.Table(), server)
		},
	}
}

// coldRate returns what a server in cold start bears, in requests a second.
func coldRate(t *table.Table, server netip.AddrPort) float64 {
	if t == nil {
		return 0
	}
	for _, s := range t.Services {
		for _, v := range s.Servers {
			if v.Address == server {
				return s.ColdRate
			}
		}
	}
	return 0
}
