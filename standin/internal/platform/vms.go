package platform

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/platformpb"
)

// vmList is the VM list in force from a time on.
type vmList struct {
	from   time.Time
	answer *platformpb.VmsAnswer
}

// SetVMs replaces the VM list. Readers see the new list after Lag, but the first list
// at once.
func (s *Server) SetVMs(vs []*platformpb.Vm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &platformpb.VmsAnswer{Revision: uint64(len(s.vmLists) + 1), Vms: vs}
	l := vmList{from: time.Now(), answer: m}
	if len(s.vmLists) == 0 {
		l.from = time.Time{}
	}
	s.vmLists = append(s.vmLists, l)
}

// SetVM adds or replaces one VM in the list, or removes it if its state is
// STATE_UNKNOWN.
func (s *Server) SetVM(v *platformpb.Vm) {
	s.mu.Lock()
	var old []*platformpb.Vm
	if n := len(s.vmLists); n > 0 {
		old = s.vmLists[n-1].answer.GetVms()
	}
	s.mu.Unlock()
	var vs []*platformpb.Vm
	for _, o := range old {
		if o.GetAddress() != v.GetAddress() {
			vs = append(vs, o)
		}
	}
	if v.GetState() != platformpb.VmState_STATE_UNKNOWN {
		vs = append(vs, v)
	}
	s.SetVMs(vs)
}

// EntryVM returns a live entry VM with the given peer address.
func EntryVM(a netip.AddrPort, dataCentre string) *platformpb.Vm {
	return liveVM(a, dataCentre, platformpb.VmRole_ROLE_ENTRY)
}

// BackendVM returns a live backend server with the given serving address.
func BackendVM(a netip.AddrPort, dataCentre string) *platformpb.Vm {
	return liveVM(a, dataCentre, platformpb.VmRole_ROLE_BACKEND)
}

func liveVM(a netip.AddrPort, dataCentre string, r platformpb.VmRole) *platformpb.Vm {
	return &platformpb.Vm{
		Address:    a.String(),
		Role:       r,
		State:      platformpb.VmState_STATE_LIVE,
		DataCentre: dataCentre,
	}
}

// vmListAt returns the VM list in force at a time. The caller holds mu.
func (s *Server) vmListAt(t time.Time) *platformpb.VmsAnswer {
	for i := len(s.vmLists) - 1; i >= 0; i-- {
		if !s.vmLists[i].from.After(t) {
			return s.vmLists[i].answer
		}
	}
	return &platformpb.VmsAnswer{}
}
