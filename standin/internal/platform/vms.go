package platform

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/platformpb"
)

// list is the VM list from a time on.
type list struct {
	at  time.Time
	vms *platformpb.VmsAnswer
}

// SetVMs replaces the VM list from now on; readers see it once Lag has passed.
// The first list counts as always known.
func (s *Server) SetVMs(vs []*platformpb.Vm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &platformpb.VmsAnswer{Revision: uint64(len(s.lists) + 1), Vms: vs}
	l := list{at: time.Now(), vms: m}
	if len(s.lists) == 0 {
		l.at = time.Time{}
	}
	s.lists = append(s.lists, l)
}

// SetVM sets the state of one VM from now on; STATE_UNKNOWN takes it off the
// list.
func (s *Server) SetVM(v *platformpb.Vm) {
	s.mu.Lock()
	var old []*platformpb.Vm
	if n := len(s.lists); n > 0 {
		old = s.lists[n-1].vms.GetVms()
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
func EntryVM(a netip.AddrPort, centre string) *platformpb.Vm {
	return vm(a, centre, platformpb.VmRole_ROLE_ENTRY)
}

// BackendVM returns a live backend server with the given serving address.
func BackendVM(a netip.AddrPort, centre string) *platformpb.Vm {
	return vm(a, centre, platformpb.VmRole_ROLE_BACKEND)
}

func vm(a netip.AddrPort, centre string, r platformpb.VmRole) *platformpb.Vm {
	return &platformpb.Vm{
		Address:    a.String(),
		Role:       r,
		State:      platformpb.VmState_STATE_LIVE,
		DataCentre: centre,
	}
}

// listAt returns the list that stood at a time. The caller holds mu.
func (s *Server) listAt(t time.Time) *platformpb.VmsAnswer {
	for i := len(s.lists) - 1; i >= 0; i-- {
		if !s.lists[i].at.After(t) {
			return s.lists[i].vms
		}
	}
	return &platformpb.VmsAnswer{}
}
