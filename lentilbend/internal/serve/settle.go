package serve

import (
	"time"

	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/platform"
)

// settleTimeout is how long a starting VM that has a table waits for a first
// announcement of a peer.
const settleTimeout = 3 * time.Second

// settled tells whether the table in force may be served from: a starting VM
// takes the newest version among the platform and its peers first, so that a
// stale platform does not bring a withdrawn key back.
func (p *Process) settled() bool {
	if p.settledOnce.Load() {
		return true
	}
	if p.store.Table() == nil {
		return false
	}
	if p.isOpen() {
		// The table came by an own read of the newest values, or from a peer
		// that had it so.
		p.settledOnce.Store(true)
		return true
	}
	waited := time.Since(p.started) >= settleTimeout
	if !waited && !p.alone() && !p.relay.CaughtUp() {
		return false
	}
	p.settledOnce.Store(true)
	return true
}

// standTimeout is how long a starting VM waits for a share of the limits
// before it is ready without one.
const standTimeout = 20 * time.Second

// standing tells whether this VM has had a share of the limits, so that it can
// grant what comes. Requests that come before live on tokens of other VMs.
func (p *Process) standing() bool {
	if p.stoodOnce.Load() || p.isOpen() {
		return true
	}
	now := time.Now()
	if !p.fleet.Share(now).Usable && now.Sub(p.started) < standTimeout {
		return false
	}
	p.stoodOnce.Store(true)
	return true
}

// table returns the table to serve from, or nil while there is none.
func (p *Process) table() *table.Table {
	if !p.settled() {
		return nil
	}
	return p.store.Table()
}

// inForce returns the revision that requests go by, or 0 while there is none.
func (p *Process) inForce() uint64 {
	t := p.table()
	if t == nil {
		return 0
	}
	return t.Revision
}

// alone tells whether the VM list, once known, shows no other entry VM.
func (p *Process) alone() bool {
	l, known := p.list.Newest()
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
