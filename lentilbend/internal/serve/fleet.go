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

// buildHub creates the hub for streams to the other entry VMs and returns this
// process's member ID. The incarnation is the wall clock's time, so that a later
// process at the same address has a greater one.
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

// buildFleet creates the peer hub and the membership of a fleet whose VMs the
// platform lists.
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
	p.dumpers["Members"] = p.fleet
	p.dumpers["Peers"] = p.hub
}

// connectFleet registers the handlers for frames and pulls of peers, and for
// reads of the VM list.
func (p *Process) connectFleet() {
	p.hub.AnswerPull = p.relay.AnswerPull
	updates := &stateUpdateHandler{services: p.services, peers: p.hub}
	if p.isOpenFleet() {
		p.hub.Handlers = []peer.Handler{p.openFleet, p.relay, updates}
		return
	}
	p.hub.Handlers = []peer.Handler{p.fleet, p.limiter, p.relay, updates}
	p.reader.OnList = p.applyVMList
}

// seeds returns the seeds of the settings and the entry VMs of the newest known
// VM list, which a peer may have relayed.
func (p *Process) seeds() []netip.AddrPort {
	as := p.Settings.Peer.Seeds
	l, _ := p.vmList.Newest()
	for _, v := range l.VMs {
		if v.Role == platform.RoleEntry {
			as = append(as[:len(as):len(as)], v.Address)
		}
	}
	return as
}

// applyVMList passes the entry VMs of a list that this VM read itself to the
// membership. sent is when the read began.
func (p *Process) applyVMList(sent time.Time, a *platformpb.VmsAnswer) {
	l := platform.ParseVMList(a)
	var vs []member.VM
	for _, v := range l.VMs {
		if v.Role == platform.RoleEntry {
			vs = append(vs, member.VM{Address: v.Address, DataCentre: v.DataCentre, Leaving: v.Leaving})
		}
	}
	p.fleet.ApplyList(sent, l.Revision, vs)
}
