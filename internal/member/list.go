package member

import (
	"net/netip"
	"slices"
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
	gap := sent.Sub(n.list.sent) > n.Promise
	l := list{sent: sent, revision: revision, vms: make(map[netip.AddrPort]VM, len(vms))}
	for _, v := range vms {
		l.vms[v.Address] = v
		l.self = l.self || v.Address == n.Self.Address
	}
	n.list = l
	for a, v := range l.vms {
		n.listed(now, a, v)
	}
	for a, p := range n.peers {
		_, ok := l.vms[a]
		switch {
		case ok:
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

func (n *Node) listed(now time.Time, a netip.AddrPort, v VM) {
	if a == n.Self.Address {
		return
	}
	p := n.peers[a]
	if p == nil {
		p = &peer{id: ID{Address: a}, known: now}
		n.peers[a] = p
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
			n.peers[a] = &peer{id: ID{Address: a}, known: now}
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
	as := make([]netip.AddrPort, 0, len(n.peers))
	for a := range n.peers {
		as = append(as, a)
	}
	slices.SortFunc(as, netip.AddrPort.Compare)
	return as
}
