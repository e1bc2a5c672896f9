package member

import (
	"net/netip"
	"time"
)

// ApplyList applies the answer to a read of the platform's list that this VM
// sent at sentAt. An answer with a lower revision than before comes from a
// replica that lags, and is ignored, unless all answers have had lower revisions
// for longer than MaxListOutage.
func (n *Node) ApplyList(now, sentAt time.Time, revision uint64, vms []VM) []Envelope {
	n.initialize(now)
	n.update(now)
	if !n.acceptList(sentAt, revision) {
		return n.dueMessages(now)
	}
	missedReads := sentAt.Sub(n.list.sentAt) > n.listGrace()
	l := listRead{sentAt: sentAt, revision: revision, vms: make(map[netip.AddrPort]VM, len(vms))}
	for _, v := range vms {
		l.vms[v.Address] = v
		l.hasSelf = l.hasSelf || v.Address == n.Self.Address
	}
	if revision < n.list.revision {
		n.lowerListedRevisions(revision)
	}
	n.list = l
	for _, v := range vms {
		n.addListed(now, v.Address, v)
	}
	for _, p := range n.order {
		_, ok := l.vms[p.id.Address]
		// A read with a lower revision than the one in which the peer saw itself
		// is no sign of its absence. Between reads far apart, the peer may have
		// been listed, so its absence counts from this read.
		switch {
		case ok, revision+1 < p.listedRevision:
			p.absentSince = time.Time{}
		case p.absentSince.IsZero() || missedReads:
			p.absentSince = sentAt
		}
	}
	n.update(now)
	return n.dueMessages(now)
}

// acceptList reports whether to apply a read of the list. It records since when
// answers have lower revisions.
func (n *Node) acceptList(sentAt time.Time, revision uint64) bool {
	l := &n.list
	if !sentAt.After(l.sentAt) {
		return false
	}
	if revision >= l.revision {
		return true
	}
	if l.lowerSince.IsZero() {
		l.lowerSince = sentAt
	}
	return sentAt.Sub(l.lowerSince) > n.MaxListOutage
}

// lowerListedRevisions adapts the peers' revisions after the platform restarted
// its revision count.
func (n *Node) lowerListedRevisions(revision uint64) {
	for _, p := range n.order {
		p.listedRevision = min(p.listedRevision, revision+1)
	}
}

// addListed adds a VM of the list, or updates its state.
func (n *Node) addListed(now time.Time, a netip.AddrPort, v VM) {
	if a == n.Self.Address {
		return
	}
	p := n.peers[a]
	if p == nil {
		p = &peer{id: ID{Address: a}, knownAt: now}
		n.addPeer(p)
	}
	p.dataCentre, p.leaving = v.DataCentre, p.leaving || v.Leaving
}

// Seed adds addresses to send requests to. They are not counted until they
// request a lease or another VM counts them.
func (n *Node) Seed(now time.Time, as []netip.AddrPort) []Envelope {
	n.initialize(now)
	for _, a := range as {
		p := n.peers[a]
		switch {
		case a == n.Self.Address:
		case p == nil:
			n.addPeer(&peer{id: ID{Address: a}, knownAt: now})
		default:
			p.knownAt = now
		}
	}
	n.update(now)
	return n.dueMessages(now)
}

// HandleConnect notes that a stream to a process opened, and returns the
// messages to send, with a request to it.
func (n *Node) HandleConnect(now time.Time, id ID, dataCentre string) []Envelope {
	n.initialize(now)
	n.update(now)
	if id.Address == n.Self.Address {
		return nil
	}
	p := n.ensurePeer(now, id)
	if p == nil {
		return nil
	}
	p.dataCentre, p.nextRequestAt, p.lastContact = dataCentre, now, now
	n.update(now)
	return n.dueMessages(now)
}

// Addresses returns the addresses of all other known VMs, in order.
func (n *Node) Addresses() []netip.AddrPort {
	as := make([]netip.AddrPort, 0, len(n.order))
	for _, p := range n.order {
		as = append(as, p.id.Address)
	}
	return as
}
