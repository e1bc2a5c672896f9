// Package chooser holds the choice set and the admission gate of every service.
// It updates them from the table, the VM list, probes and the state updates
// that other VMs send.
package chooser

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lentilbend.example/internal/admission"
	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/fair"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/platform"
)

// Services chooses a backend server for each request, for all services. Set the
// exported fields before use.
type Services struct {
	// Policy is the policy by which a server is chosen.
	Policy choice.Policy
	Logger log.Logger
	// Table returns the table in force, or nil.
	Table func() *table.Table
	// VMList returns the newest VM list of the platform, or false before the
	// first one.
	VMList func() (platform.VMList, bool)
	// EntryVMCount returns the number of entry VMs. If it is nil, the VM list
	// gives the number.
	EntryVMCount func() int
	// EntryVMs returns the known entry VMs, this one included. It is needed with
	// InTurn only.
	EntryVMs func() []netip.AddrPort
	// InTurn makes this VM use a small subset of the servers of a service and probe
	// them in turn; see choice.Set.InTurn.
	InTurn bool
	// ObserveVMs is called with EntryVMs every vmsCheckInterval; may be nil.
	ObserveVMs func(now time.Time, vms []netip.AddrPort)
	// ReadAge returns how long ago this VM or a peer last read the platform and
	// so confirmed the table in force, or false if that is not known. If it is
	// nil, servers missing after a platform outage are not retained.
	ReadAge func() (time.Duration, bool)
	// ProbeCandidates probes the best servers for a request just before one is
	// chosen; nil disables these probes. See Prober.ProbeCandidates.
	ProbeCandidates func(v *service, kind string, tried []netip.AddrPort)
	// CheckReroute reports whether the request of a call in flight should be
	// rerouted; nil disables rerouting. See Prober.CheckReroute.
	CheckReroute func(v *service, kind string, wantedBy time.Time, c choice.Call, tried []netip.AddrPort) bool
	// DataCentre is the data centre of this VM. FarCost is added to the expected
	// time for each 1000 bytes of an answer from another data centre.
	DataCentre string
	FarCost    time.Duration
	// Self is the peer address of this VM.
	Self netip.AddrPort
	// ByPriority admits requests by priority where the table sets priorities.
	ByPriority bool
	// ColdStated says that servers state when they are cold, so that none
	// counts as cold because it is new.
	ColdStated bool
	// ColdAllowance and ProbeAllowance return the fleet-wide allowances of a
	// service for requests to cold servers and for probes. If one is nil, this
	// VM uses an equal share of the table's rate.
	ColdAllowance  func(service string) choice.Allowance
	ProbeAllowance func(service string) choice.Allowance

	// Wake is called when TakeUpdates has state updates to send. It must not
	// block.
	Wake func()

	mu       sync.Mutex
	services atomic.Pointer[map[string]*service]
	pending  map[string][]pendingUpdate
	// vmsCheckedAt is when entryVMsChanged last compared the VMs, vmsHash their hash.
	vmsCheckedAt time.Time
	vmsHash      uint64
	// lastOutage is when the platform was last found to be unreachable.
	lastOutage time.Time
}

// minLimitSlotRatio is the lower bound of the gate's concurrency limit, as a
// fraction of this VM's share of a service's slots. The limit rises above it
// only as latencies allow, since some servers may be cold or slow.
const minLimitSlotRatio = 0.5

// service is one service of the table.
type service struct {
	set  *choice.Set
	gate *fair.Gate
	// admission admits by priority; it is in use where prioritized says so.
	admission   *admission.Gate
	prioritized atomic.Pointer[prioritized]
	// gateBypassed means that the load reports were sufficient when the capacity was
	// last read.
	gateBypassed atomic.Bool
	// localCold and localProbes are this VM's equal shares of the table's
	// rates.
	localCold   *choice.EqualShare
	localProbes *choice.EqualShare
	// loadPath is the path of the servers' load endpoint, empty without one.
	loadPath atomic.Pointer[string]
	// table and vmListRevision are those that the servers were last updated from.
	// Tables are compared by identity: after the platform was restored, another table may
	// have the same revision.
	table          *table.Table
	vmListRevision uint64
	// servers are those of the table; retained are others that stay in use.
	servers  []table.Server
	retained []retainedServer
}

// Choose returns a call to a server of x.Service that is not in tried. The error is
// choice.ErrNoServer if no server may get the request, or, for a first attempt, of
// type *choice.SaturatedError if none can answer it in time.
func (s *Services) Choose(now time.Time, x *exchange.Exchange, tried []netip.AddrPort) (choice.Call, error) {
	v := s.find(x.Service.Name)
	if v == nil {
		s.Refresh(now)
		if v = s.find(x.Service.Name); v == nil {
			return nil, choice.ErrNoServer
		}
	}
	if s.ProbeCandidates != nil {
		s.ProbeCandidates(v, requestKind(x), tried)
		now = time.Now()
	}
	q := choice.Request{Kind: requestKind(x), Tried: tried}
	if len(tried) == 0 {
		// A later attempt follows one that may have been given up for it.
		q.WantedBy, q.Deadline = wantedBy(x), x.Deadline
	}
	return v.set.Admit(now, q)
}

// wantedBy returns the time by which the route's latency objective wants the answer,
// or zero without one.
func wantedBy(x *exchange.Exchange) time.Time {
	if x.Route == nil || x.Route.Objective <= 0 {
		return time.Time{}
	}
	return x.Received.Add(x.Route.Objective)
}

// ShouldReroute reports whether the answer to the call c of x is expected later
// than that of another server, and after the latency objective if the route has
// one.
func (s *Services) ShouldReroute(x *exchange.Exchange, c choice.Call, tried []netip.AddrPort) bool {
	v := s.find(x.Service.Name)
	if v == nil || s.CheckReroute == nil {
		return false
	}
	return s.CheckReroute(v, requestKind(x), wantedBy(x), c, tried)
}

// requestKind returns the kind of the request by its route, or "" without a
// route. Latencies are kept for each kind.
func requestKind(x *exchange.Exchange) string {
	if x.Route == nil {
		return ""
	}
	return x.Route.Kind
}

func (s *Services) find(name string) *service {
	m := s.services.Load()
	if m == nil {
		return nil
	}
	return (*m)[name]
}

// Refresh applies the current table and VM list to all services.
func (s *Services) Refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.Table()
	if t == nil {
		return
	}
	s.checkPlatform(now)
	l := s.vmList()
	m := make(map[string]*service, len(t.Services))
	for i := range t.Services {
		c := &t.Services[i]
		v := s.find(c.Name)
		if v == nil {
			v = s.newService(c.Name)
		}
		s.update(now, v, t, c, l)
		m[c.Name] = v
	}
	s.services.Store(&m)
	for n := range m {
		s.applyPending(now, n, m[n])
	}
}

// newService returns a service without servers. Unless it comes with the first
// table, its first servers count as cold.
func (s *Services) newService(name string) *service {
	_ = level.Info(s.Logger).Log("msg", "Service added.", "service", name)
	v := &service{localCold: &choice.EqualShare{}, localProbes: &choice.EqualShare{SingleBucket: true}}
	v.gate = &fair.Gate{}
	v.admission = &admission.Gate{Capacity: v.capacity, Work: func(kind string) time.Duration { return v.set.UsualTime(kind) }}
	v.set = &choice.Set{Service: name, NewService: s.services.Load() != nil, Policy: s.Policy, Cold: v.localCold, Probes: v.localProbes, Observe: v.observe, Wake: s.Wake, DataCentre: s.DataCentre, FarCost: s.FarCost, Self: s.Self, InTurn: s.InTurn}
	if s.ColdAllowance != nil {
		v.set.Cold = s.ColdAllowance(name)
	}
	if s.ProbeAllowance != nil {
		v.set.Probes = s.ProbeAllowance(name)
	}
	return v
}

// update applies a service's entry in the table and the VM list, unless neither
// changed and no retention ended.
func (s *Services) update(now time.Time, v *service, t *table.Table, c *table.Service, l vmList) {
	if v.table == t && v.vmListRevision == l.revision && !v.retentionExpired(now) {
		return
	}
	v.retained = s.retainServers(now, v, t, c)
	v.table, v.vmListRevision = t, l.revision
	v.loadPath.Store(&c.LoadPath)
	if s.ByPriority {
		v.prioritized.Store(newPrioritized(t, c, l.entryVMs))
	}
	v.localCold.Set(c.ColdRate, l.entryVMs)
	v.localProbes.Set(c.ProbeRate, l.entryVMs)
	ss := make([]choice.Server, 0, len(c.Servers))
	available := 0
	for _, a := range c.Servers {
		b := l.server(a, dataCentreOut(t, a.DataCentre))
		if !b.Out && !b.Leaving && !b.Missing {
			available++
		}
		ss = append(ss, b)
	}
	for _, r := range v.retained {
		available++
		ss = append(ss, r.choiceServer(t, l))
	}
	v.gate.SetMinLimit(minLimitSlotRatio * float64(available*c.Slots) / float64(max(1, l.entryVMs)))
	v.set.Update(now, choice.Config{
		Slots: c.Slots, ColdFor: c.ColdFor, VMs: l.entryVMs, EntryVMs: l.addresses, ColdStated: s.ColdStated,
		InitialLatency: initialLatency(t, c.Name),
		Probeable:      (c.ProbeRate > 0 || s.EntryVMCount != nil) && c.LoadPath != "",
	}, ss)
}

// initialLatency returns the latency assumed for a service until enough are
// measured: 2/5 of the shortest latency objective of its routes, or 0 without
// objectives.
func initialLatency(t *table.Table, service string) time.Duration {
	least := time.Duration(0)
	for _, r := range t.Routes {
		if r.Service == service && r.Objective > 0 && (least == 0 || r.Objective < least) {
			least = r.Objective
		}
	}
	return least * 2 / 5
}

// dataCentreOut reports whether the table takes a data centre out or does not
// name it.
func dataCentreOut(t *table.Table, name string) bool {
	c, ok := t.DataCentre(name)
	return !ok || c.State != table.CentreIn
}

// vmList is the part of the VM list that the choice of servers needs. If
// Services.EntryVMCount replaces the list, the revision is the number of entry
// VMs, or a hash of their addresses, so that a change is noticed.
type vmList struct {
	revision uint64
	entryVMs int
	// addresses are those of the entry VMs, if Services.EntryVMs is used.
	addresses []netip.AddrPort
	backends  map[netip.AddrPort]platform.VM
}

func (s *Services) vmList() vmList {
	l := vmList{backends: map[netip.AddrPort]platform.VM{}}
	if s.EntryVMCount != nil {
		l.entryVMs = s.EntryVMCount()
		l.revision = uint64(l.entryVMs)
		if s.InTurn && s.EntryVMs != nil {
			l.addresses = s.EntryVMs()
			l.revision = hashAddresses(l.revision, l.addresses)
		}
		return l
	}
	vs, ok := s.VMList()
	if !ok {
		return l
	}
	l.revision = vs.Revision
	for _, v := range vs.VMs {
		switch v.Role {
		case platform.RoleEntry:
			l.entryVMs++
		case platform.RoleBackend:
			l.backends[v.Address] = v
		}
	}
	return l
}

// vmsCheckInterval is the time between two checks for VMs that joined or left.
const vmsCheckInterval = 250 * time.Millisecond

// entryVMsChanged reports whether the VMs that select the subsets of servers differ from
// those at the last call that was vmsCheckInterval after the one before.
func (s *Services) entryVMsChanged(now time.Time) bool {
	if !s.InTurn || s.EntryVMs == nil || now.Sub(s.vmsCheckedAt) < vmsCheckInterval {
		return false
	}
	vms := s.EntryVMs()
	if s.ObserveVMs != nil {
		s.ObserveVMs(now, vms)
	}
	h := hashAddresses(0, vms)
	changed := h != s.vmsHash
	s.vmsCheckedAt, s.vmsHash = now, h
	return changed
}

// hashAddresses returns a hash of a number and a list of addresses.
func hashAddresses(n uint64, as []netip.AddrPort) uint64 {
	h := fnv.New64a()
	b := binary.LittleEndian.AppendUint64(nil, n)
	for _, a := range as {
		b, _ = a.AppendBinary(b)
	}
	_, _ = h.Write(b)
	return h.Sum64()
}

// server returns a server of the table for the choice set, with its state in
// the VM list. If the list contains no backend servers at all, none counts as
// missing.
func (l vmList) server(a table.Server, out bool) choice.Server {
	v, ok := l.backends[a.Address]
	return choice.Server{
		Address:    a.Address,
		DataCentre: a.DataCentre,
		Name:       a.Name,
		Born:       a.Born,
		ColdFor:    a.ColdFor,
		Out:        out,
		Leaving:    v.Leaving || a.Leaving,
		Missing:    !ok && len(l.backends) > 0,
	}
}

// each calls f for every service.
func (s *Services) each(f func(name string, v *service)) {
	m := s.services.Load()
	if m == nil {
		return
	}
	for n, v := range *m {
		f(n, v)
	}
}
