package serve

import (
	"net/netip"
	"time"

	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/relay"
	"lentilbend.example/lentilbend/internal/store"
)

// Reads of the platform's service.
const (
	watchers   = 3
	pollEvery  = 5 * time.Second
	fleetReads = 10
)

// buildConfig makes the parts that keep the table and the VM list.
func (p *Process) buildConfig() {
	s := p.Settings
	p.store = &store.Store{Bus: p.bus, Logger: p.root.Component("store")}
	p.list = &platform.List{Bus: p.bus}
	p.relay = &relay.Relay{
		Store:   p.store,
		List:    p.list,
		Bus:     p.bus,
		Peers:   p.hub,
		Logger:  p.root.Component("relay"),
		Members: p.answering,
	}
	p.store.Register(p.registry, p.inForce)
	p.parts["Store"] = p.store
	p.parts["Relay"] = p.relay
	if p.isOpen() {
		p.buildWatcher()
		p.relay.PullTimeout = pullTimeout
		p.relay.ReadAge = p.watcher.ReadAge
		p.relay.Forwards = func() bool { return p.open.State().Coordinates && !p.reads() }
		return
	}
	p.reader = &platform.Reader{
		Client:  &platform.Client{Addresses: s.Platform.Addresses, Timeout: s.Platform.Timeout},
		Store:   p.store,
		List:    p.list,
		Plan:    p.plan(),
		Logger:  p.root.Component("platform"),
		Members: p.answering,
	}
	p.relay.Resync = p.reader.Resync
	p.reader.Register(p.registry)
	p.parts["VmList"] = p.list
	p.parts["Platform"] = p.reader
}

func (p *Process) plan() platform.Plan {
	return platform.Plan{
		Self:       p.Settings.Peer.Address,
		Watchers:   watchers,
		PollEvery:  pollEvery,
		FleetReads: fleetReads,
	}
}

// answering returns the entry VMs that answer.
func (p *Process) answering() []netip.AddrPort {
	if p.isOpen() {
		return p.open.State().Neighbours
	}
	return p.fleet.Answering()
}
