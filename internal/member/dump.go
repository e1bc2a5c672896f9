package member

import (
	"slices"
	"time"
)

// Dump is the state of a Node for diagnosis.
type Dump struct {
	Self       ID
	DataCentre string
	Share      Share
	// Standing reports whether this VM is active.
	Standing bool
	Leaving  bool
	// ListSent and ListRevision are the send time and the revision of the last
	// accepted read of the platform's list; ListSelf reports whether it
	// contained this VM.
	ListSent     time.Time
	ListRevision uint64
	ListSelf     bool
	// Outrun is a greater incarnation that other VMs know at this address, or
	// 0. If set, the wall clock went back, and the others take this process for
	// an ended one.
	Outrun uint64
	Peers  []PeerDump
	// Ended holds the tombstones.
	Ended []EndedDump
}

// PeerDump is the state kept about another VM.
type PeerDump struct {
	ID         ID
	DataCentre string
	Counted    bool
	Listed     bool
	Leaving    bool
	Standing   bool
	// HeldUntil is the expiry of the lease that the peer gave this VM;
	// GrantedUntil the expiry of the lease that this VM gave the peer.
	HeldUntil    time.Time
	GrantedUntil time.Time
	// AbsentSince is the time since which this VM's reads of the list have not
	// contained the peer.
	AbsentSince time.Time
	// Heard is when the peer's last message arrived or a stream to it opened.
	Heard time.Time
}

// EndedDump is a tombstone: an ended process that counts for limits on running
// requests until its last request has ended.
type EndedDump struct {
	ID    ID
	Until time.Time
}

// Members returns this VM and the VMs that it counts, ordered by address.
func (n *Node) Members() []Member {
	ms := []Member{{ID: n.Self, DataCentre: n.DataCentre, Answering: true, Leaving: n.leaving}}
	for p := range n.countedPeers() {
		ms = append(ms, Member{
			ID:         p.id,
			DataCentre: p.dataCentre,
			Answering:  n.lastUpdate.Before(p.heldUntil),
			Leaving:    p.leaving,
		})
	}
	slices.SortFunc(ms, func(a, b Member) int { return a.ID.Compare(b.ID) })
	return ms
}

// Dump returns the state of the node as a Dump.
func (n *Node) Dump() any {
	d := Dump{
		Self:         n.Self,
		DataCentre:   n.DataCentre,
		Share:        n.share,
		Standing:     n.active,
		Leaving:      n.leaving,
		ListSent:     n.list.sentAt,
		ListRevision: n.list.revision,
		ListSelf:     n.list.hasSelf,
		Outrun:       n.newerIncarnation,
	}
	for _, p := range n.order {
		_, listed := n.list.vms[p.id.Address]
		d.Peers = append(d.Peers, PeerDump{
			ID:           p.id,
			DataCentre:   p.dataCentre,
			Counted:      p.counted || p.provisional,
			Listed:       listed,
			Leaving:      p.leaving,
			Standing:     p.active,
			HeldUntil:    p.heldUntil,
			GrantedUntil: p.grantedUntil,
			AbsentSince:  p.absentSince,
			Heard:        p.lastContact,
		})
	}
	for id, t := range n.tombstones {
		d.Ended = append(d.Ended, EndedDump{ID: id, Until: t})
	}
	slices.SortFunc(d.Ended, func(a, b EndedDump) int { return a.ID.Compare(b.ID) })
	return d
}
