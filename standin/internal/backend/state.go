package backend

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Counts are what a server counted since it started.
type Counts struct {
	// Arrived are the requests that came, refused ones too.
	Arrived uint64
	// Probes are the reads of the load endpoint.
	Probes uint64
	// ColdArrived are the requests that came in a cold start, and ColdBeyond
	// those of them that came beyond the rate and burst that the server bears.
	ColdArrived uint64
	ColdBeyond  uint64
	// ColdOverrun are those of ColdBeyond that came after the first two
	// seconds, when the cold start could be known everywhere.
	ColdOverrun uint64
	// DrainArrived are the requests that came while draining, and LastDrain
	// is how long after its begin the last of them came.
	DrainArrived uint64
	LastDrain    time.Duration
	// ConnectionsRefused came beyond the bound on connections.
	ConnectionsRefused uint64
	Running            int
	Queued             int
}

// coldKnown is when a cold start counts as known to all.
const coldKnown = 2 * time.Second

// modes is what is wrong with a server.
type modes struct {
	cold     *coldStart
	drain    bool
	drainAt  time.Time
	shed     bool
	silent   bool
	failFast bool
	// slow multiplies the time of work.
	slow float64
	// cut is the share of answers that are cut, and cutNow says that this one
	// is.
	cut    float64
	cutNow bool
	// frozen is a load report that is repeated whatever the load is.
	frozen string
}

// coldStart is a bucket of the requests that a cold server bears.
type coldStart struct {
	rate, burst float64
	tokens      float64
	last        time.Time
	begin       time.Time
	until       time.Time
}

// take returns false when a request comes beyond what the server bears.
func (c *coldStart) take(now time.Time) bool {
	t := now.Sub(c.last).Seconds()
	c.tokens = math.Min(c.burst, c.tokens+t*c.rate)
	c.last = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// state is what changes while a server runs.
type state struct {
	mu     sync.Mutex
	modes  modes
	counts Counts
	random *rand.Rand
}

// arrive counts a request and returns the modes that it meets.
func (t *state) arrive(now time.Time) modes {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Arrived++
	t.warm(now)
	if c := t.modes.cold; c != nil {
		t.counts.ColdArrived++
		if !c.take(now) {
			t.counts.ColdBeyond++
			if now.Sub(c.begin) > coldKnown {
				t.counts.ColdOverrun++
			}
		}
	}
	if t.modes.drain {
		t.counts.DrainArrived++
		t.counts.LastDrain = now.Sub(t.modes.drainAt)
	}
	m := t.modes
	if m.slow == 0 {
		m.slow = 1
	}
	m.cutNow = m.cut > 0 && t.random.Float64() < m.cut
	return m
}

// warm ends a cold start whose time has passed. The caller holds mu.
func (t *state) warm(now time.Time) {
	if c := t.modes.cold; c != nil && now.After(c.until) {
		t.modes.cold = nil
	}
}

func (t *state) probed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Probes++
}

func (t *state) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Running++
}

func (t *state) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Running--
}

// queue returns false when most requests wait already.
func (t *state) queue(most int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts.Queued >= most {
		return false
	}
	t.counts.Queued++
	return true
}

func (t *state) unqueue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Queued--
}

func (t *state) normal() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.NormFloat64()
}

// Counts returns what the server counted.
func (s *Server) Counts() Counts {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	c := s.state.counts
	c.ConnectionsRefused = s.conns.refusals()
	return c
}

// report returns the load report.
func (s *Server) report() string {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.modes.frozen != "" {
		return s.state.modes.frozen
	}
	return s.reportLocked()
}

func (s *Server) reportLocked() string {
	s.state.warm(time.Now())
	var b strings.Builder
	b.WriteString("running=")
	b.WriteString(strconv.Itoa(s.state.counts.Running))
	b.WriteString(", queued=")
	b.WriteString(strconv.Itoa(s.state.counts.Queued))
	b.WriteString(", slots=")
	b.WriteString(strconv.Itoa(s.Slots))
	if s.state.modes.cold != nil {
		b.WriteString(", cold")
	}
	if s.state.modes.drain {
		b.WriteString(", draining")
	}
	return b.String()
}
