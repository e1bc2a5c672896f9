package member

import (
	"net/netip"
	"time"
)

// List takes in an own read of the platform's list, sent at sent. An answer
// with a lower revision than before comes from a reader that lags, and is left
// out, unless only such answers came for longer than Outage.
func (n *Node) List(now, sent time.Time, revision uint64, vms []VM) []Send {
	n.begin(now)
	n.settle(now)
	if !n.accept(sent, revision) {
		return n.due(now)
	}
	gap := sent.Sub(n.list.sent) > n.keep()
	l := list{sent: sent, revision: revision, vms: make(map[netip.AddrPort]VM, len(vms))}
	for _, v := range vms {
		l.vms[v.Address] = v
		l.self = l.self || v.Address == n.Self.Address
	}
	if revision < n.list.revision {
		n.rewind(revision)
	}
	n.list = l
	for _, v := range vms {
		n.listed(now, v.Address, v)
	}
	for _, p := range n.order {
		_, ok := l.vms[p.id.Address]
		switch {
		case ok, revision+1 < p.listed:
			p.absent = time.Time{}
		case p.absent.IsZero() || gap:
			p.absent = sent
		}
	}
	n.settle(now)
	return n.due(now)
}

func (n *Node) accept(sent time.Time, revision uint64) bool {
	l := &n.list
	if !sent.After(l.sent) {
		return false
	}
	if revision >= l.revision {
		return true
	}
	if l.lower.IsZero() {
		l.lower = sent
	}
	return sent.Sub(l.lower) > n.Outage
}

// rewind takes note that the platform counts revisions anew.
func (n *Node) rewind(revision uint64) {
	for _, p := range n.order {
		p.listed = min(p.listed, revision+1)
	}
}

func (n *Node) listed(now time.Time, a netip.AddrPort, v VM) {
	if a == n.Self.Address {
		return
	}
	p := n.peers[a]
	if p == nil {
		p = &peer{id: ID{Address: a}, known: now}
		n.add(p)
	}
	p.centre, p.leaving = v.DataCentre, p.leaving || v.Leaving
}

// Seed makes addresses known, so that they are asked. They are not counted
// until they ask or another VM counts them.
func (n *Node) Seed(now time.Time, as []netip.AddrPort) []Send {
	n.begin(now)
	for _, a := range as {
		p := n.peers[a]
		switch {
		case a == n.Self.Address:
		case p == nil:
			n.add(&peer{id: ID{Address: a}, known: now})
		default:
			p.known = now
		}
	}
	n.settle(now)
	return n.due(now)
}

// Meet tells that a stream to a process opened, so that it is asked at once.
func (n *Node) Meet(now time.Time, id ID, centre string) []Send {
	n.begin(now)
	n.settle(now)
	if id.Address == n.Self.Address {
		return nil
	}
	p := n.know(now, id)
	if p == nil {
		return nil
	}
	p.centre, p.next, p.heard = centre, now, now
	n.settle(now)
	return n.due(now)
}

// Addresses returns the addresses of all VMs known besides this one, in order.
func (n *Node) Addresses() []netip.AddrPort {
	as := make([]netip.AddrPort, 0, len(n.order))
	for _, p := range n.order {
		as = append(as, p.id.Address)
	}
	return as
}
