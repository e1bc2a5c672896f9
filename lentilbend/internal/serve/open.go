package serve

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/event"
	"lentilbend.example/internal/retry"
	"lentilbend.example/internal/roster"
	"lentilbend.example/internal/table"
	deployment "lentilbend.example/platform"

	"lentilbend.example/lentilbend/internal/chooser"
	"lentilbend.example/lentilbend/internal/filter/throttle"
	"lentilbend.example/lentilbend/internal/openfleet"
	"lentilbend.example/lentilbend/internal/peer"
	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/settings"
)

// capacityScale converts the capacity in the settings, which may be a fraction
// of a core, to an integer.
const capacityScale = 1000

// pullHedgeDelay is the time after which a version is also pulled from another peer. A
// table of 100 KB takes about 100 ms over the slowest link, and two more pulls fit into
// the time within which a change
// must be in force on all VMs.
const pullHedgeDelay = 400 * time.Millisecond

// storeReaderCount is how many coordinators wait for changes in the platform's
// store. With two, the loss of one delays no change.
const storeReaderCount = 2

// inFlightCheckInterval is the time between checks of requests in flight and of
// their connections. It is short enough that a request to a server that became
// slow can still be rerouted in time.
const inFlightCheckInterval = 60 * time.Millisecond

// openFleetPeerTiming has the timeouts and delays of peer streams in an open fleet,
// where a VM must serve within a second of its start.
var openFleetPeerTiming = peer.Timing{
	DialTimeout:    time.Second,
	DialHedgeDelay: 100 * time.Millisecond,
	SilenceTimeout: time.Second,
	AckDelay:       300 * time.Millisecond,
	FallbackDelay:  100 * time.Millisecond,
	MinBackoff:     50 * time.Millisecond,
	MaxBackoff:     time.Second,
}

// isOpenFleet reports whether this is an open fleet: the platform provides no VM
// list, so the components in this file take the place of the lease-based
// membership.
func (p *Process) isOpenFleet() bool {
	return p.Settings.Platform.Form == settings.FormStore
}

// buildOpenFleet creates the peer hub and the roster of an open fleet.
func (p *Process) buildOpenFleet() {
	s := p.Settings
	id := p.buildHub()
	p.hub.Timing = openFleetPeerTiming
	p.workspaceLimits = &roster.Limits{
		Overage:   s.Fleet.RateOverage,
		Tolerance: s.Fleet.RateTolerance,
		FleetSize: func() (int, bool) {
			t := p.openFleet.State()
			return t.Count, t.Settled
		},
	}
	p.workspaceLimits.Set(nil)
	p.openFleet = &openfleet.Fleet{
		Roster: &roster.Roster{
			Self:     id,
			Capacity: int(capacityScale * s.Fleet.Capacity),
			Seeds:    s.Peer.Seeds,
			Limits:   p.workspaceLimits,
		},
		Transport: p.hub,
		Bus:       p.bus,
		Logger:    p.root.Component("fleet"),
	}
	p.retryBudget = &retry.Budget{Ratio: s.Fleet.RetryPart, Slack: s.Fleet.RetryMost, Window: s.Fleet.RetryWindow}
	if s.Fleet.RetryPart > 0 {
		p.openFleet.Roster.Retries = p.retryBudget
	}
	p.openFleet.Register(p.registry)
	p.hub.Register(p.registry)
	p.dumpers["Fleet"] = p.openFleet
	p.dumpers["Peers"] = p.hub
}

// buildWatcher creates the watcher that reads the table from the platform's store.
func (p *Process) buildWatcher() {
	s := p.Settings
	p.store.Parse = (&deployment.Parser{Keyless: deployment.IsKeyless(s.Platform.Contracts)}).Parse
	p.store.Precedence, p.store.CarryTime = deployment.Precedence, chooser.RetainTime
	p.watcher = &platform.Watcher{
		Source:           &deployment.Source{Address: s.Platform.Addresses[0], Timeout: s.Platform.Timeout},
		Store:            p.store,
		Logger:           p.root.Component("platform"),
		IsHistoryDropped: func(err error) bool { return errors.Is(err, deployment.ErrHistoryDropped) },
		IsReader:         p.readsStore,
		OnRead:           func() { p.relay.AnnounceRead() },
		PeerReadAge:      func() (time.Duration, bool) { return p.relay.PeerReadAge() },
		LiveVMCount:      func() int { return len(p.openFleet.State().Live) },
		ProcessStart:     p.started,
		InitialWait:      s.Platform.InitialWait,
		AloneWait:        s.Platform.AloneWait,
		HasPeer:          func() bool { return len(p.hub.Connected()) > 0 },
	}
	p.watcher.Register(p.registry)
	p.dumpers["Platform"] = p.watcher
}

// readsStore reports whether this VM is one of the coordinators that read the
// store. Until it knows the fleet, the seeds read, so that not all VMs do so when all
// start at once.
func (p *Process) readsStore() bool {
	t := p.openFleet.State()
	if p.store.Table() == nil && !t.Settled {
		return slices.Contains(p.Settings.Peer.Seeds, p.Settings.Peer.Address)
	}
	return slices.Contains(t.Coordinators[:min(storeReaderCount, len(t.Coordinators))], p.Settings.Peer.Address)
}

// buildOpenLimits connects the chooser and the rate limits of workspaces with the
// roster.
func (p *Process) buildOpenLimits() {
	p.services.ColdStated = true
	p.services.ByPriority = true
	p.shareFilter.Admission = p.services.Admission
	p.shareFilter.RetryAfter = p.services.RetryAfter
	p.services.ReadAge = func() (time.Duration, bool) { return p.relay.LastReadAge() }
	p.services.EntryVMCount = func() int { return p.openFleet.State().Count }
	p.services.ColdAllowance = func(string) choice.Allowance { return p.coldAllowance() }
	// Probes are expensive in the deployments without workspaces only, whose VMs also
	// receive too few requests for two of them to use the rate of a cold server.
	if deployment.IsKeyless(p.Settings.Platform.Contracts) {
		cold := p.coldAllowance()
		cold.Count = p.services.EntryVMCount
		p.services.ColdAllowance = func(string) choice.Allowance { return cold }
		p.services.InTurn = true
		p.services.EntryVMs = func() []netip.AddrPort { return p.openFleet.State().Live }
		p.services.ObserveVMs = cold.Observe
	}
	p.services.DataCentre = p.Settings.DataCentre
	p.services.Self = p.Settings.Peer.Address
	p.services.FarCost = p.Settings.Fleet.FarCost
	p.prober.Dialect = deployment.Dialect()
	p.prober.ParseLoad = p.prober.Dialect.ParseLoad
	p.services.ProbeCandidates = p.prober.ProbeCandidates
	p.services.CheckReroute = p.prober.CheckReroute
	p.throttleFilter = &throttle.Filter{Limits: p.workspaceLimits, Logger: p.root.Component("throttle")}
	p.registry.MustRegister(p.throttleFilter)
}

// applyWorkspaceLimits applies the rate limits of the table's workspaces.
func (p *Process) applyWorkspaceLimits(event.TableAccepted) {
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
	p.workspaceLimits.Set(m)
}

// coldAllowance returns the allowance for requests to cold servers. Only a few
// permitted senders share it; the other VMs get nothing.
func (p *Process) coldAllowance() *choice.PermittedSenders {
	return &choice.PermittedSenders{
		Self:   p.Settings.Peer.Address,
		VMs:    func() []netip.AddrPort { return p.openFleet.State().Live },
		Joined: func() bool { return p.openFleet.State().Joined },
		Rate: func(server netip.AddrPort) float64 {
			return coldStartRate(p.store.Table(), server)
		},
	}
}

// coldStartRate returns the request rate that a server accepts in cold start, in
// requests per second, or 0 when the server is not in the table.
func coldStartRate(t *table.Table, server netip.AddrPort) float64 {
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
