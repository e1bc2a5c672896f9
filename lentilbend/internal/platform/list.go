package platform

import (
	"net/netip"
	"sync"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/platformpb"
)

// List keeps the newest VM list, from the platform or from a peer. Set the
// exported fields before use.
type List struct {
	Bus *event.Bus

	mu      sync.Mutex
	known   bool
	message *platformpb.VmsAnswer
	vms     VMs
}

// Newest returns the newest list and whether there is one.
func (l *List) Newest() (VMs, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms, l.known
}

// Revision returns the revision of the newest list, or 0.
func (l *List) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms.Revision
}

// Message returns the newest list as it was read, when it is newer than the
// given revision, or nil.
func (l *List) Message(after uint64) *platformpb.VmsAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vms.Revision <= after {
		return nil
	}
	return l.message
}

// Apply takes a list unless it is older than the newest.
func (l *List) Apply(a *platformpb.VmsAnswer) {
	if !l.replace(a) {
		return
	}
	_ = l.Bus.Publish(event.ListRead{Revision: a.GetRevision()})
}

func (l *List) replace(a *platformpb.VmsAnswer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known && a.GetRevision() <= l.vms.Revision {
		return false
	}
	l.known = true
	l.message = a
	l.vms = Convert(a)
	return true
}

// Dump returns the newest list.
func (l *List) Dump() any {
	v, _ := l.Newest()
	return v
}

// Convert returns the entries of an answer whose address can be read.
func Convert(a *platformpb.VmsAnswer) VMs {
	r := VMs{Revision: a.GetRevision()}
	for _, v := range a.GetVms() {
		p, err := netip.ParseAddrPort(v.GetAddress())
		if err != nil {
			continue
		}
		r.VMs = append(r.VMs, VM{
			Address:    p,
			DataCentre: v.GetDataCentre(),
			Role:       Role(v.GetRole()),
			Leaving:    v.GetState() == platformpb.VmState_STATE_LEAVING,
		})
	}
	sorted(r.VMs)
	return r
}
