// Package chooser keeps the choice among the backend servers of every service
// up to date with the table, the VM list, probes and the news of other VMs.
package chooser

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/fair"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/platform"
)

// Services chooses the backend servers of all services. Set the exported
// fields before use.
type Services struct {
	// Policy is how servers are chosen.
	Policy choice.Policy
	Logger log.Logger
	// Table returns the table in force, or nil.
	Table func() *table.Table
	// VMs returns the newest VM list and whether there is one.
	VMs func() (platform.VMList, bool)
	// Entries returns how many entry VMs there are; nil where the VM list
	// tells.
	Entries func() int
	// ReadAge returns how long ago the platform was last read to the table in
	// force, here or by a peer; nil where lapsed servers are not to be held.
	ReadAge func() (time.Duration, bool)
	// Ask asks servers for their load just before a choice; nil for no such
	// probes.
	Ask func(v *service, kind string, tried []netip.AddrPort)
	// Watch looks after a call in flight; nil for none.
	Watch func(v *service, kind string, wanted time.Time, c choice.Call, tried []netip.AddrPort) bool
	// Home and FarCost weigh answers from other data centres; see choice.Set.
	Home    string
	FarCost time.Duration
	Self    netip.AddrPort
	// Stated says that servers state their cold starts.
	Stated bool
	// Cold and Probes return the allowances of a service; nil for this VM's
	// equal part of the table's rates.
	Cold   func(service string) choice.Allowance
	Probes func(service string) choice.Allowance

	// Wake is called when there is news to be told. It must not block.
	Wake func()

	mu       sync.Mutex
	services atomic.Pointer[map[string]*service]
	early    map[string][]early
	// away is when the platform was last known to be away.
	away time.Time
}

// surePart is the part of the slots of a service that are used at once whatever
// the latencies are; the rest must be earned, since some servers may be cold or
// slow.
const surePart = 0.5

// service is one service of the table.
type service struct {
	set    *choice.Set
	gate   *fair.Gate
	cold   *choice.EqualShare
	probes *choice.EqualShare
	path   atomic.Pointer[string]
	table  uint64
	list   uint64
	// servers are those of the table, and held others that stay in use.
	servers []table.Server
	held    []held
}

// Choose returns a call to a server of x.Service that is not in tried, or false
// when none may get the request.
func (s *Services) Choose(now time.Time, x *exchange.Exchange, tried []netip.AddrPort) (choice.Call, bool) {
	v := s.find(x.Service.Name)
	if v == nil {
		s.Refresh(now)
		if v = s.find(x.Service.Name); v == nil {
			return nil, false
		}
	}
	if s.Ask != nil {
		s.Ask(v, kind(x), tried)
		now = time.Now()
	}
	return v.set.Choose(now, kind(x), tried)
}

// Behind tells whether another server would answer x sooner than that of c.
func (s *Services) Behind(x *exchange.Exchange, c choice.Call, tried []netip.AddrPort) bool {
	v := s.find(x.Service.Name)
	if v == nil || s.Watch == nil {
		return false
	}
	var wanted time.Time
	if x.Route.Objective > 0 {
		wanted = x.Received.Add(x.Route.Objective)
	}
	return s.Watch(v, kind(x), wanted, c, tried)
}

// kind returns the name of the kind of request.
func kind(x *exchange.Exchange) string {
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

// Refresh takes the table and the VM list as they are now.
func (s *Services) Refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.Table()
	if t == nil {
		return
	}
	s.sample(now)
	l := s.list()
	m := make(map[string]*service, len(t.Services))
	for i := range t.Services {
		c := &t.Services[i]
		v := s.find(c.Name)
		if v == nil {
			v = s.open(c.Name)
		}
		s.update(now, v, t, c, l)
		m[c.Name] = v
	}
	s.services.Store(&m)
	for n := range m {
		s.hearEarly(now, n, m[n])
	}
}

func (s *Services) open(name string) *service {
	_ = level.Info(s.Logger).Log("msg", "Choosing servers.", "service", name)
	v := &service{cold: &choice.EqualShare{}, probes: &choice.EqualShare{SingleBucket: true}}
	v.gate = &fair.Gate{}
	v.set = &choice.Set{Service: name, NewService: s.services.Load() != nil, Policy: s.Policy, Cold: v.cold, Probes: v.probes, Observe: v.observe, Wake: s.Wake, DataCentre: s.Home, FarCost: s.FarCost, Self: s.Self}
	if s.Cold != nil {
		v.set.Cold = s.Cold(name)
	}
	if s.Probes != nil {
		v.set.Probes = s.Probes(name)
	}
	return v
}

// update gives a service its servers, unless it has them already.
func (s *Services) update(now time.Time, v *service, t *table.Table, c *table.Service, l list) {
	if v.table == t.Revision && v.list == l.revision && !v.due(now) {
		return
	}
	v.held = s.hold(now, v, t, c)
	v.table, v.list = t.Revision, l.revision
	v.path.Store(&c.LoadPath)
	v.cold.Set(c.ColdRate, l.entries)
	v.probes.Set(c.ProbeRate, l.entries)
	ss := make([]choice.Server, 0, len(c.Servers))
	in := 0
	for _, a := range c.Servers {
		b := l.server(a, out(t, a.DataCentre))
		if !b.Out && !b.Leaving && !b.Missing {
			in++
		}
		ss = append(ss, b)
	}
	for _, h := range v.held {
		in++
		ss = append(ss, h.choice(t, l))
	}
	v.gate.SetMinLimit(surePart * float64(in*c.Slots) / float64(max(1, l.entries)))
	v.set.Update(now, choice.Config{
		Slots: c.Slots, ColdFor: c.ColdFor, VMs: l.entries, ColdStated: s.Stated,
		InitialLatency: usual(t, c.Name),
		Probeable:      (c.ProbeRate > 0 || s.Entries != nil) && c.LoadPath != "",
	}, ss)
}

// usual returns how long an answer of a service is taken to need: a part of
// the least time within which one is wanted.
func usual(t *table.Table, service string) time.Duration {
	least := time.Duration(0)
	for _, r := range t.Routes {
		if r.Service == service && r.Objective > 0 && (least == 0 || r.Objective < least) {
			least = r.Objective
		}
	}
	return least * 2 / 5
}

func out(t *table.Table, name string) bool {
	c, ok := t.DataCentre(name)
	return !ok || c.State != table.CentreIn
}

// list is what the VM list tells of backend servers.
type list struct {
	revision uint64
	entries  int
	backends map[netip.AddrPort]platform.VM
}

func (s *Services) list() list {
	l := list{backends: map[netip.AddrPort]platform.VM{}}
	if s.Entries != nil {
		l.entries = s.Entries()
		l.revision = uint64(l.entries)
		return l
	}
	vs, ok := s.VMs()
	if !ok {
		return l
	}
	l.revision = vs.Revision
	for _, v := range vs.VMs {
		switch v.Role {
		case platform.RoleEntry:
			l.entries++
		case platform.RoleBackend:
			l.backends[v.Address] = v
		}
	}
	return l
}

// server returns a server as the list shows it. A list without backend servers
// says nothing of them.
func (l list) server(a table.Server, out bool) choice.Server {
	v, ok := l.backends[a.Address]
	return choice.Server{
		Address:    a.Address,
		DataCentre: a.DataCentre,
		Name:       a.Name,
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
