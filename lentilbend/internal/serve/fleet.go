package serve

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/platformpb"

	"lentilbend.example/lentilbend/internal/fleet"
	"lentilbend.example/lentilbend/internal/peer"
	"lentilbend.example/lentilbend/internal/platform"
)

// buildHub makes the streams to the other entry VMs and returns who this process
// is to them. The incarnation is the wall clock's, so that a later process has a
// greater one.
func (p *Process) buildHub() member.ID {
	s := p.Settings
	id := member.ID{Address: s.Peer.Address, Incarnation: uint64(time.Now().UnixNano())}
	p.hub = &peer.Hub{
		Self:       id,
		DataCentre: s.DataCentre,
		Settings:   s.Peer,
		Logger:     p.root.Component("peer"),
	}
	return id
}

// buildFleet makes the streams to the other entry VMs and the membership.
func (p *Process) buildFleet() {
	s := p.Settings
	id := p.buildHub()
	p.fleet = &fleet.Fleet{
		Node: &member.Node{
			Self:              id,
			DataCentre:        s.DataCentre,
			LeaseDuration:     member.DefaultLeaseDuration,
			MaxListAge:        s.Peer.ListAge,
			MaxDelegationTime: member.DefaultMaxDelegationTime,
			MaxRequestTime:    member.DefaultMaxRequestTime,
			MaxListOutage:     member.DefaultMaxListOutage,
			MaxClockDrift:     member.DefaultMaxClockDrift,
		},
		Transport: p.hub,
		Bus:       p.bus,
		Logger:    p.root.Component("fleet"),
		Seeds:     p.seeds,
	}
	p.hub.Allowed = p.fleet.Allowed
	p.fleet.Register(p.registry)
	p.hub.Register(p.registry)
	p.parts["Members"] = p.fleet
	p.parts["Peers"] = p.hub
}

// joinFleet connects the streams and the membership with the table and the VM
// list.
func (p *Process) joinFleet() {
	p.hub.Answer = p.relay.Answer
	news := &loadNews{services: p.services, peers: p.hub}
	if p.isOpen() {
		p.hub.Handlers = []peer.Handler{p.open, p.relay, news}
		return
	}
	p.hub.Handlers = []peer.Handler{p.fleet, p.limits, p.relay, news}
	p.reader.OnList = p.onList
}

// seeds returns the entry VMs of the settings and of the newest list known,
// which a peer may have relayed.
func (p *Process) seeds() []netip.AddrPort {
	as := p.Settings.Peer.Seeds
	l, _ := p.list.Newest()
	for _, v := range l.VMs {
		if v.Role == platform.RoleEntry {
			as = append(as[:len(as):len(as)], v.Address)
		}
	}
	return as
}

// onList hands an own read of the list to the membership.
func (p *Process) onList(sent time.Time, a *platformpb.VmsAnswer) {
	l := platform.Convert(a)
	var vs []member.VM
	for _, v := range l.VMs {
		if v.Role == platform.RoleEntry {
			vs = append(vs, member.VM{Address: v.Address, DataCentre: v.DataCentre, Leaving: v.Leaving})
		}
	}
	p.fleet.List(sent, l.Revision, vs)
}
