package choice

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Set chooses among the servers of one service. Set the exported fields before
// use. A Set has one lock, held for a microsecond or so; services share none.
type Set struct {
	// Service is the name of the service.
	Service string
	// New says that the service came into the table while this VM served, so
	// that its first servers are taken as cold too.
	New bool
	// Policy picks the server.
	Policy Policy
	// Rand is the source of chance; nil for a random one.
	Rand *rand.Rand
	// Cold is asked before each request to a server in cold start.
	Cold Allowance
	// Observe is called with each outcome and how long the call took; nil for
	// none. It runs outside the lock.
	Observe func(now time.Time, elapsed time.Duration, o Outcome)
	// Wake is called when there is news to be told; nil for none. It must not
	// block or call the Set.
	Wake func()
	// Probes is asked before each probe; nil for no probes.
	Probes Allowance
	// Home is the data centre of this VM, and FarCost the time that a thousand
	// bytes of an answer from another data centre count as.
	Home    string
	FarCost time.Duration
	// Self tells this VM apart from others, which ask other servers just
	// before a choice where there are many.
	Self netip.AddrPort

	mu       sync.Mutex
	inFlight int
	now      time.Time
	slots    int
	vms      int
	probed   bool
	stated   bool
	prior    time.Duration
	coldFor  time.Duration
	servers  []*server
	centres  []*centre
	usual    latencies
	kinds    map[string]*latencies
	mean     mean       // requests at a server, by all reports
	ratios   mean       // latencies in units of what was expected
	paces    mean       // pace of work, by all reports
	asked    *latencies // of the kind that is chosen for
	next     int
	scores   []float64
	started  bool
	panics   uint64
	none     uint64
	news     news
}

// Limits are the parts of the table's service that a Set goes by.
type Limits struct {
	// Slots is how many requests one server works on at once.
	Slots int
	// ColdFor is how long a cold start lasts.
	ColdFor time.Duration
	// VMs is how many entry VMs there are; it counts only while no server
	// reports its load.
	VMs int
	// Stated says that servers state their cold starts, so that none is taken
	// as cold because it is new.
	Stated bool
	// Usual is how long an answer is taken to need while none came yet.
	Usual time.Duration
	// Probed says that servers have a load endpoint that may be probed.
	Probed bool
}

// Update sets the servers of the service. A server that a former call did not
// name, or that comes back into service, is taken as cold; those of the first
// call are not, unless New. A server that was leaving and is then missing from
// the list is still leaving.
func (s *Set) Update(now time.Time, l Limits, ss []Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	s.slots = max(l.Slots, 1)
	s.coldFor = l.ColdFor
	s.vms = max(l.VMs, 1)
	s.probed = l.Probed
	s.stated = l.Stated
	s.prior = unknownLatency
	if l.Usual > 0 {
		s.prior = l.Usual
	}
	known := make(map[netip.AddrPort]*server, len(s.servers))
	for _, v := range s.servers {
		known[v.address] = v
	}
	s.servers = make([]*server, 0, len(ss))
	for _, v := range ss {
		n := known[v.Address]
		if n != nil && n.name != v.Name {
			n = nil
		}
		fresh := n == nil
		if fresh {
			n = &server{address: v.Address, name: v.Name, slow: 1}
		}
		v.Leaving = v.Leaving || n.leaving && v.Missing
		back := n.out && !v.Out || n.leaving && !v.Leaving
		if s.stated {
			s.enter(n, fresh, back, v.ColdFor)
		} else if (s.started || s.New) && (fresh || back) {
			s.renew(n)
		}
		n.centre = s.centre(v.DataCentre)
		n.out, n.leaving, n.missing = v.Out, v.Leaving, v.Missing
		s.servers = append(s.servers, n)
	}
	s.started = s.started || len(ss) > 0
	s.scores = make([]float64, len(s.servers))
}

// enter takes a server that states its cold starts. One that was out of service
// may have turned cold meanwhile.
func (s *Set) enter(v *server, fresh, back bool, coldFor time.Duration) {
	if fresh && coldFor > 0 {
		v.start.coldUntil(s.now, s.now.Add(coldFor))
	}
	if back {
		s.renew(v)
		v.start.coldUntil(s.now, s.now.Add(s.coldFor))
	}
}

// renew takes a server that comes into service as cold, and forgets what
// belongs to its time before.
func (s *Set) renew(v *server) {
	v.start.cold(s.now)
	v.health = health{}
	v.drain = drain{}
	v.reported = time.Time{}
	v.slow = 1
}

func (s *Set) centre(name string) *centre {
	for _, c := range s.centres {
		if c.name == name {
			return c
		}
	}
	c := &centre{name: name}
	s.centres = append(s.centres, c)
	return c
}

// begin takes the time of an operation, which never goes back.
func (s *Set) begin(now time.Time) {
	if s.Rand == nil {
		s.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if now.After(s.now) {
		s.now = now
	}
}

// Choose picks a server that is not in tried for a request of a kind; kinds
// differ in how long they take. It returns false when there is none that may get
// the request.
func (s *Set) Choose(now time.Time, kind string, tried []netip.AddrPort) (Call, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	s.asked = s.kind(kind)
	v := s.pick(tried)
	if v == nil {
		s.none++
		return nil, false
	}
	c := s.call(v)
	c.kind = s.asked
	return c, true
}

func (s *Set) pick(tried []netip.AddrPort) *server {
	switch p := s.Policy.(type) {
	case Random:
		return s.pickRandom(tried)
	case RoundRobin:
		return s.pickInTurn(tried)
	case LeastOfTwo:
		return s.pickLeastOfTwo(tried)
	case Informed:
		return s.pickInformed(p, tried)
	}
	return nil
}

// call notes a request given to v.
func (s *Set) call(v *server) *call {
	c := &call{set: s, server: v, start: s.now}
	if p, ok := s.Policy.(Informed); ok {
		c.wait = time.Duration(s.wait(p, v) * float64(s.usual.mean))
	}
	c.basis = s.basis(v)
	s.inFlight++
	v.chosen++
	v.calls.push(c)
	return c
}

func (s *Set) basis(v *server) Basis {
	b := Basis{Age: -1, Cold: v.start.bounded()}
	if !v.reported.IsZero() {
		b.Age = s.now.Sub(v.reported)
		b.Running, b.Queued, b.Pace = v.report.Running, v.report.Queued, v.report.Pace
	}
	if p, ok := s.Policy.(Informed); ok {
		b.Expected = time.Duration(s.expected(p, v))
	}
	return b
}

// end takes the outcome of a call.
func (s *Set) end(now time.Time, c *call, o Outcome) {
	if s.note(now, c, o) && s.Observe != nil {
		s.Observe(now, now.Sub(c.start), o)
	}
}

func (s *Set) note(now time.Time, c *call, o Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ended {
		return false
	}
	c.ended = true
	s.begin(now)
	v := c.server
	s.inFlight--
	v.calls.remove(c)
	switch o := o.(type) {
	case Answered:
		s.answered(v, c, o)
	case Shed:
		s.shed(v, o)
	case Spoiled:
		v.heard = s.now
		s.fault(v, evidenceStatus)
	case Failed:
		s.failed(v)
	case TimedOut:
		s.late(v, c)
	case Cancelled:
		s.cancelled(v, c)
	case NotSent:
	}
	return true
}

// usable says whether a server may get new work at all.
func (s *server) usable(tried []netip.AddrPort) bool {
	return !s.out && !s.leaving && !slices.Contains(tried, s.address)
}
