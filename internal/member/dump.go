package member

import (
	"slices"
	"time"
)

// Dump is the state of the membership.
type Dump struct {
	Self       ID
	DataCentre string
	Share      Share
	// Standing says that this VM is known to all that use a share.
	Standing bool
	Leaving  bool
	// ListSent and ListRevision tell of the last accepted read of the list;
	// ListSelf whether it showed this VM.
	ListSent     time.Time
	ListRevision uint64
	ListSelf     bool
	// Outrun is a greater incarnation that others know at this address: the
	// wall clock went back, and this process is taken for an earlier one.
	Outrun uint64
	Peers  []PeerDump
	// Ended are processes counted only for running requests.
	Ended []EndedDump
}

// PeerDump is what is known of another VM.
type PeerDump struct {
	ID         ID
	DataCentre string
	Counted    bool
	Listed     bool
	Leaving    bool
	Standing   bool
	// HeldUntil is when its promise to this VM ends; GrantedUntil when this
	// VM's promise to it ends.
	HeldUntil    time.Time
	GrantedUntil time.Time
	// AbsentSince is since when own reads of the list did not show it.
	AbsentSince time.Time
	Heard       time.Time
}

// EndedDump is a process counted only for running requests.
type EndedDump struct {
	ID    ID
	Until time.Time
}

// Members returns this VM and those that it counts, in the order of addresses.
func (n *Node) Members() []Member {
	ms := []Member{{ID: n.Self, DataCentre: n.DataCentre, Answering: true, Leaving: n.leaving}}
	for p := range n.counts() {
		ms = append(ms, Member{
			ID:         p.id,
			DataCentre: p.centre,
			Answering:  n.last.Before(p.held),
			Leaving:    p.leaving,
		})
	}
	slices.SortFunc(ms, func(a, b Member) int { return a.ID.Compare(b.ID) })
	return ms
}

// Dump returns the state.
func (n *Node) Dump() any {
	d := Dump{
		Self:         n.Self,
		DataCentre:   n.DataCentre,
		Share:        n.share,
		Standing:     n.standing,
		Leaving:      n.leaving,
		ListSent:     n.list.sent,
		ListRevision: n.list.revision,
		ListSelf:     n.list.self,
		Outrun:       n.outrun,
	}
	for _, p := range n.order {
		_, listed := n.list.vms[p.id.Address]
		d.Peers = append(d.Peers, PeerDump{
			ID:           p.id,
			DataCentre:   p.centre,
			Counted:      p.counted || p.derived,
			Listed:       listed,
			Leaving:      p.leaving,
			Standing:     p.standing,
			HeldUntil:    p.held,
			GrantedUntil: p.granted,
			AbsentSince:  p.absent,
			Heard:        p.heard,
		})
	}
	for id, t := range n.ghosts {
		d.Ended = append(d.Ended, EndedDump{ID: id, Until: t})
	}
	slices.SortFunc(d.Ended, func(a, b EndedDump) int { return a.ID.Compare(b.ID) })
	return d
}
