package serve

import (
	"net/netip"
	"time"

	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/relay"
	"lentilbend.example/lentilbend/internal/store"
)

// Limits on reads of the platform's table and VM list; see platform.Plan.
const (
	// longPollerCount is how many entry VMs wait for changes of the table by long
	// polling.
	longPollerCount = 3
	// minPollInterval is the shortest mean time between polls of one VM, and
	// maxFleetPollsPerSecond the highest mean rate of polls of all VMs together.
	minPollInterval        = 5 * time.Second
	maxFleetPollsPerSecond = 10
)

// buildConfig creates the components that keep the table and the VM list up to
// date.
func (p *Process) buildConfig() {
	s := p.Settings
	p.store = &store.Store{Bus: p.bus, Logger: p.root.Component("store")}
	p.vmList = &platform.ListStore{Bus: p.bus}
	p.relay = &relay.Relay{
		Store:            p.store,
		List:             p.vmList,
		Bus:              p.bus,
		Peers:            p.hub,
		Logger:           p.root.Component("relay"),
		Members:          p.answeringVMs,
		IsTableConfirmed: p.hasCurrentTable,
	}
	p.store.Register(p.registry, p.servedRevision)
	p.dumpers["Store"] = p.store
	p.dumpers["Relay"] = p.relay
	if p.isOpenFleet() {
		p.buildWatcher()
		p.relay.PullHedgeDelay = pullHedgeDelay
		p.relay.ReadAge = p.watcher.ReadAge
		p.relay.Register(p.registry)
		p.relay.ForwardsReads = func() bool { return p.openFleet.State().Coordinates && !p.readsStore() }
		return
	}
	p.reader = &platform.Reader{
		Client:  &platform.Client{Addresses: s.Platform.Addresses, Timeout: s.Platform.Timeout},
		Store:   p.store,
		List:    p.vmList,
		Plan:    p.readPlan(),
		Logger:  p.root.Component("platform"),
		Members: p.answeringVMs,
	}
	p.relay.Resync = p.reader.Resync
	p.reader.Register(p.registry)
	p.dumpers["VmList"] = p.vmList
	p.dumpers["Platform"] = p.reader
}

func (p *Process) readPlan() platform.Plan {
	return platform.Plan{
		Self:            p.Settings.Peer.Address,
		LongPollerCount: longPollerCount,
		MinPollInterval: minPollInterval,
		FleetPollRate:   maxFleetPollsPerSecond,
	}
}

// answeringVMs returns the other entry VMs to send messages to: those that answer,
// or in an open fleet the neighbours of this VM.
func (p *Process) answeringVMs() []netip.AddrPort {
	if p.isOpenFleet() {
		return p.openFleet.State().Neighbours
	}
	return p.fleet.AnsweringPeers()
}
