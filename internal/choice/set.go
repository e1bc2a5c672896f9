package choice

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Set chooses among the servers of one service. Set the exported fields before
// use. Its methods may be called concurrently; its lock is held for about a
// microsecond and not shared between services.
type Set struct {
	// Service is the name of the service.
	Service string
	// NewService means that the service was added to the table while this VM
	// was running, so that its first servers count as cold too.
	NewService bool
	// Policy picks the server.
	Policy Policy
	// Rand is the random source; nil for a randomly seeded one.
	Rand *rand.Rand
	// Cold limits the requests to cold and suspect servers; nil to send them
	// none.
	Cold Allowance
	// Observe is called with each outcome and the duration of the call, without
	// the lock held; may be nil.
	Observe func(now time.Time, elapsed time.Duration, o Outcome)
	// Wake is called when there are state updates to send; may be nil. It must
	// not block or call the Set.
	Wake func()
	// Probes limits the probes; nil for no probes.
	Probes Allowance
	// DataCentre is the data centre of this VM. FarCost is added to the
	// expected time for each 1000 bytes of an answer from another data centre.
	DataCentre string
	FarCost    time.Duration
	// Self is the address of this VM. It selects the servers that this VM
	// probes before a choice in a large service.
	Self netip.AddrPort
	// InTurn makes this VM use a subset of the servers and probe them one after the
	// other, where ProbesInTurn allows it.
	InTurn bool

	mu             sync.Mutex
	inFlight       int
	now            time.Time
	slots          int
	vms            int
	probeable      bool
	coldStated     bool
	initialLatency time.Duration
	coldFor        time.Duration
	servers        []*server
	absent         []absentServer
	dataCentres    []*dataCentre
	baseline       latencyStats // of all kinds of request
	kinds          map[string]*latencyStats
	meanRequests   runningMean   // requests at a server, by the load reports
	meanRatio      runningMean   // latency ratios
	meanPace       runningMean   // pace of all servers, by the load reports
	kind           *latencyStats // of the request being sent
	lastPicked     int           // index for RoundRobin
	scores         []float64     // expected time at each server in nanoseconds
	populated      bool          // had servers before
	allSuspect     uint64
	saturated      uint64 // requests refused by checkSaturation
	noServer       uint64
	leastBad       uint64 // requests given to a suspect server by pickLeastBad
	updates        updateQueue
	subset         subset
	probeBalance   float64 // probes that may be sent in turn
	probes         uint64  // probes recorded
}

// Config is the configuration of a service.
type Config struct {
	// Slots is the number of requests one server processes concurrently.
	Slots int
	// ColdFor is the duration of a cold start.
	ColdFor time.Duration
	// VMs is the number of entry VMs; used only while no server reports its
	// load, and to probe in turn.
	VMs int
	// EntryVMs are the known entry VMs, this one included. They select the subsets;
	// only used with Set.InTurn.
	EntryVMs []netip.AddrPort
	// ColdStated means that servers state how long they stay cold, so that a
	// server does not count as cold just because it is new.
	ColdStated bool
	// InitialLatency is the latency assumed until enough are measured; 0 for
	// a default.
	InitialLatency time.Duration
	// Probeable means that servers have a load endpoint.
	Probeable bool
}

// Update sets the configuration and the servers of the service. A server that
// comes back into service is taken as cold. One that was not in the previous
// call is cold for its ColdFor with ColdStated; else it is taken as cold, in the
// first call only with NewService. A leaving server that is then missing from the
// VM list stays leaving.
func (s *Set) Update(now time.Time, c Config, ss []Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	s.slots = max(c.Slots, 1)
	s.coldFor = c.ColdFor
	s.vms = max(c.VMs, 1)
	s.probeable = c.Probeable
	s.coldStated = c.ColdStated
	s.initialLatency = defaultLatency
	if c.InitialLatency > 0 {
		s.initialLatency = c.InitialLatency
	}
	known := make(map[netip.AddrPort]*server, len(s.servers))
	for _, v := range s.servers {
		known[v.address] = v
	}
	s.servers = make([]*server, 0, len(ss))
	for _, v := range ss {
		n := known[v.Address]
		if n != nil && !n.isSameRun(v) {
			n = nil
		}
		if n == nil {
			n = s.findAbsent(v)
		}
		added := n == nil
		if added {
			n = &server{address: v.Address, name: v.Name, slowness: 1}
		}
		if !v.Born.IsZero() {
			n.born = v.Born
		}
		v.Leaving = v.Leaving || n.leaving && v.Missing
		back := n.out && !v.Out || n.leaving && !v.Leaving
		if s.coldStated {
			s.applyStatedCold(n, added, back, v.ColdFor)
		} else if (s.populated || s.NewService) && (added || back) {
			s.resetCold(n)
		}
		n.dataCentre = s.dataCentre(v.DataCentre)
		n.out, n.leaving, n.missing = v.Out, v.Leaving, v.Missing
		s.servers = append(s.servers, n)
	}
	s.rememberAbsent(known, s.servers)
	s.populated = s.populated || len(ss) > 0
	s.scores = make([]float64, len(s.servers))
	if s.InTurn {
		s.subset.update(s.Self, s.DataCentre, c.EntryVMs, s.servers)
	}
}

// applyStatedCold begins the cold start that an added server stated. A server
// that comes back may have become cold meanwhile, so it counts as cold for
// Config.ColdFor.
func (s *Set) applyStatedCold(v *server, added, back bool, coldFor time.Duration) {
	if added && coldFor > 0 {
		v.coldStart.beginUntil(s.now, s.now.Add(coldFor))
	}
	if back {
		s.resetCold(v)
		v.coldStart.beginUntil(s.now, s.now.Add(s.coldFor))
	}
}

// resetCold marks a server that comes into service as cold, and resets its
// health, drain state, load report and slowness.
func (s *Set) resetCold(v *server) {
	v.coldStart.begin(s.now)
	v.health = health{}
	v.drain = drain{}
	v.reportedAt = time.Time{}
	v.slowness = 1
}

func (s *Set) dataCentre(name string) *dataCentre {
	for _, c := range s.dataCentres {
		if c.name == name {
			return c
		}
	}
	c := &dataCentre{name: name}
	s.dataCentres = append(s.dataCentres, c)
	return c
}

// advanceClock sets the time of an operation, which never goes back. It seeds
// Rand if that is nil.
func (s *Set) advanceClock(now time.Time) {
	if s.Rand == nil {
		s.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if now.After(s.now) {
		s.now = now
	}
}

// Choose picks a server that is not in tried for a request of a kind. Latencies
// are measured per kind. It returns false when no server may get the request.
func (s *Set) Choose(now time.Time, kind string, tried []netip.AddrPort) (Call, bool) {
	c, err := s.Admit(now, Request{Kind: kind, Tried: tried})
	return c, err == nil
}

// Admit picks a server for a request as Choose does. The error is ErrNoServer if no
// server may get the request, or a *SaturatedError if none can answer it in time.
func (s *Set) Admit(now time.Time, r Request) (Call, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	s.kind = s.kindStats(r.Kind)
	v, err := s.pick(r)
	if err != nil {
		return nil, err
	}
	if v == nil {
		s.noServer++
		return nil, s.noServerError(r.Tried)
	}
	c := s.startCall(v)
	c.kind = s.kind
	return c, nil
}

// pick returns the server for a request, or nil if none may get it.
func (s *Set) pick(r Request) (*server, error) {
	switch p := s.Policy.(type) {
	case Random:
		return s.pickRandom(r.Tried), nil
	case RoundRobin:
		return s.pickRoundRobin(r.Tried), nil
	case LeastOfTwo:
		return s.pickLeastOfTwo(r.Tried), nil
	case Informed:
		return s.pickInformed(p, r)
	}
	return nil, nil
}

// startCall records a request sent to v.
func (s *Set) startCall(v *server) *call {
	c := &call{set: s, server: v, start: s.now}
	if p, ok := s.Policy.(Informed); ok {
		c.wait = s.queueWait(p, v)
		c.queueWait = time.Duration(c.wait * float64(s.baseline.mean))
	}
	c.basis = s.basis(v)
	s.inFlight++
	v.chosen++
	v.calls.push(c)
	return c
}

func (s *Set) basis(v *server) Basis {
	b := Basis{Age: -1, Cold: v.coldStart.needsAllowance()}
	if !v.reportedAt.IsZero() {
		b.Age = s.now.Sub(v.reportedAt)
		b.Running, b.Queued, b.Slots, b.Pace = v.report.Running, v.report.Queued, v.report.Slots, v.report.Pace
	}
	if p, ok := s.Policy.(Informed); ok {
		b.Expected = time.Duration(s.expectedTime(p, v))
	}
	return b
}

// endCall records the outcome of a call and passes it to Observe.
func (s *Set) endCall(now time.Time, c *call, o Outcome) {
	if s.recordOutcome(now, c, o) && s.Observe != nil {
		s.Observe(now, now.Sub(c.start), o)
	}
}

// recordOutcome records the outcome of a call. It returns false when the call
// had ended before.
func (s *Set) recordOutcome(now time.Time, c *call, o Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ended {
		return false
	}
	c.ended = true
	s.advanceClock(now)
	v := c.server
	s.inFlight--
	v.calls.remove(c)
	switch o := o.(type) {
	case Answered:
		s.handleAnswered(v, c, o)
	case Shed:
		s.handleShed(v, o)
	case BadAnswer:
		v.lastContact = s.now
		s.recordFailure(v, errorStatusWeight)
	case Failed:
		s.handleFailed(v, o)
	case TimedOut:
		s.handleTimedOut(v, c)
	case Cancelled:
		s.handleCancelled(v, c)
	case NotSent:
	}
	return true
}

// usable reports whether the server may get new requests at all.
func (s *server) usable(now time.Time, tried []netip.AddrPort) bool {
	return s.inService(tried) && !s.notices.inForce(now)
}

// inService reports whether the server may get new requests by the table.
func (s *server) inService(tried []netip.AddrPort) bool {
	return !s.out && !s.leaving && !slices.Contains(tried, s.address)
}
