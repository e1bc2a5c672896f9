package serve

import (
	"time"

	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/platform"
)

// How long after its start a VM that has a table waits for the versions of its
// peers.
const (
	// peerContactTimeout applies while no peer answers: this VM may be the only one.
	peerContactTimeout = 3 * time.Second
	// peerVersionTimeout applies while peers answer that have not announced their
	// versions, or from which a newer one is still being pulled.
	peerVersionTimeout = 10 * time.Second
	// carriedTimeout applies in an open fleet whose store was restored from a copy: peers
	// may know of a key that was withdrawn after the copy. It leaves time to serve within
	// a second of the start.
	carriedTimeout = 800 * time.Millisecond
	// aloneCarriedTimeout replaces it while no peer answers, as when all VMs have lost
	// power: a peer that runs is connected within it.
	aloneCarriedTimeout = 250 * time.Millisecond
)

// hasCurrentTable reports whether the table in force may be used for requests. A
// starting VM first waits for the newest version among the platform and its peers,
// so that a revoked key does not work again because the platform is stale.
func (p *Process) hasCurrentTable() bool {
	if p.tableConfirmed.Load() {
		return true
	}
	if p.store.Table() == nil {
		return false
	}
	// In an open fleet, the table comes from a read of the newest values, by this
	// VM or by the peer that sent it.
	if !p.isOpenFleet() && p.mustWaitForPeers() || p.isOpenFleet() && p.mustWaitForCarried() {
		return false
	}
	p.tableConfirmed.Store(true)
	return true
}

// mustWaitForPeers reports whether a peer may have a newer table than this VM.
func (p *Process) mustWaitForPeers() bool {
	if p.isOnlyEntryVM() || p.relay.CaughtUp() {
		return false
	}
	timeout := peerContactTimeout
	if len(p.answeringVMs()) > 0 {
		timeout = peerVersionTimeout
	}
	return time.Since(p.started) < timeout
}

// mustWaitForCarried reports whether a peer may carry over values that this VM lacks,
// since it read a store that had been restored and no peer has sent its values yet.
func (p *Process) mustWaitForCarried() bool {
	timeout := carriedTimeout
	if len(p.answeringVMs()) == 0 {
		timeout = aloneCarriedTimeout
	}
	return p.store.LacksCarried() && time.Since(p.started) < timeout && !p.relay.CaughtUp()
}

// shareTimeout is how long a starting VM waits for a share of the fleet-wide
// limits before it becomes ready without one.
const shareTimeout = 20 * time.Second

// doneWaitingForShare reports whether this VM has had a share of the fleet-wide
// limits, or need not wait for one any longer. Without a share, requests depend on
// tokens granted by other VMs.
func (p *Process) doneWaitingForShare() bool {
	if p.shareWaitDone.Load() || p.isOpenFleet() {
		return true
	}
	now := time.Now()
	if !p.fleet.Share(now).Usable && now.Sub(p.started) < shareTimeout {
		return false
	}
	p.shareWaitDone.Store(true)
	return true
}

// table returns the table to use for requests, or nil while there is none.
func (p *Process) table() *table.Table {
	if !p.hasCurrentTable() {
		return nil
	}
	return p.store.Table()
}

// servedRevision returns the revision of the table used for requests, or 0 while
// there is none.
func (p *Process) servedRevision() uint64 {
	t := p.table()
	if t == nil {
		return 0
	}
	return t.Revision
}

// isOnlyEntryVM reports whether the VM list is known and has no other entry VM. It
// is false when the settings name seeds.
func (p *Process) isOnlyEntryVM() bool {
	l, known := p.vmList.Newest()
	if !known || len(p.Settings.Peer.Seeds) > 0 {
		return false
	}
	for _, v := range l.VMs {
		if v.Role == platform.RoleEntry && v.Address != p.Settings.Peer.Address {
			return false
		}
	}
	return true
}
