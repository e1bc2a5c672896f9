package platform

import (
	"net/netip"
	"sync"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/platformpb"
)

// ListStore holds the newest VM list received from the platform or from a peer.
// Set the exported fields before use.
type ListStore struct {
	Bus *event.Bus

	mu      sync.Mutex
	hasList bool
	answer  *platformpb.VmsAnswer
	vms     VMList
}

// Newest returns the newest list and whether there is one.
func (l *ListStore) Newest() (VMList, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms, l.hasList
}

// Revision returns the revision of the newest list, or 0.
func (l *ListStore) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms.Revision
}

// AnswerNewerThan returns the platform's answer with the newest list, or nil if
// that list is not newer than the given revision.
func (l *ListStore) AnswerNewerThan(revision uint64) *platformpb.VmsAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vms.Revision <= revision {
		return nil
	}
	return l.answer
}

// Apply stores a list that is newer than the stored one and publishes
// event.ListRead. It ignores other lists.
func (l *ListStore) Apply(a *platformpb.VmsAnswer) {
	if !l.setIfNewer(a) {
		return
	}
	_ = l.Bus.Publish(event.ListRead{Revision: a.GetRevision()})
}

func (l *ListStore) setIfNewer(a *platformpb.VmsAnswer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasList && a.GetRevision() <= l.vms.Revision {
		return false
	}
	l.hasList = true
	l.answer = a
	l.vms = ParseVMList(a)
	return true
}

// Dump returns the newest list.
func (l *ListStore) Dump() any {
	v, _ := l.Newest()
	return v
}

// ParseVMList converts an answer to a list ordered by address. It leaves out VMs
// whose address is not valid.
func ParseVMList(a *platformpb.VmsAnswer) VMList {
	r := VMList{Revision: a.GetRevision()}
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
	sortByAddress(r.VMs)
	return r
}
