package backend

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Counts are the counters of a server since its start, and the requests that it has
// now.
type Counts struct {
	// Arrived counts all requests, including refused ones.
	Arrived uint64
	// Probes counts the requests to the load endpoint.
	Probes uint64
	// ColdArrived counts the requests during a cold start, and ColdBeyond those of
	// them that exceeded the rate and burst of Cold.
	ColdArrived uint64
	ColdBeyond  uint64
	// ColdOverrun counts those of ColdBeyond that arrived more than
	// coldPropagationTime (2 s) after the start of the cold start, when every entry
	// VM should know of it.
	ColdOverrun uint64
	// DrainArrived counts the requests while draining, and LastDrain is the time
	// from the start of the drain to the last of them.
	DrainArrived uint64
	LastDrain    time.Duration
	// ConnectionsRefused counts the connections closed because of
	// Server.Connections.
	ConnectionsRefused uint64
	// Running and Queued are the requests being processed and those that wait for
	// a slot now.
	Running int
	Queued  int
}

// coldPropagationTime is the time after which every entry VM should know of a cold
// start.
const coldPropagationTime = 2 * time.Second

// modes are the modes in force on a server.
type modes struct {
	cold  *coldStart
	drain bool
	// drainStart is when the drain started.
	drainStart time.Time
	shed       bool
	silent     bool
	failFast   bool
	// slowFactor multiplies the service time.
	slowFactor float64
	// cutRatio is the fraction of answers to abort; cutAnswer is set if the answer
	// to the current request is one of them.
	cutRatio  float64
	cutAnswer bool
	// frozenReport is sent instead of the current load report unless it is empty.
	frozenReport string
}

// coldStart is a token bucket for the requests that a cold server can take.
type coldStart struct {
	rate, burst float64
	tokens      float64
	last        time.Time
	start       time.Time
	end         time.Time
}

// takeToken returns false if a request exceeds the rate and burst.
func (c *coldStart) takeToken(now time.Time) bool {
	t := now.Sub(c.last).Seconds()
	c.tokens = math.Min(c.burst, c.tokens+t*c.rate)
	c.last = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// state is the part of a server that changes while it runs.
type state struct {
	mu     sync.Mutex
	modes  modes
	counts Counts
	random *rand.Rand
}

// recordArrival counts a request and returns the modes that apply to it.
func (t *state) recordArrival(now time.Time) modes {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Arrived++
	t.expireColdStart(now)
	if c := t.modes.cold; c != nil {
		t.counts.ColdArrived++
		if !c.takeToken(now) {
			t.counts.ColdBeyond++
			if now.Sub(c.start) > coldPropagationTime {
				t.counts.ColdOverrun++
			}
		}
	}
	if t.modes.drain {
		t.counts.DrainArrived++
		t.counts.LastDrain = now.Sub(t.modes.drainStart)
	}
	m := t.modes
	if m.slowFactor == 0 {
		m.slowFactor = 1
	}
	m.cutAnswer = m.cutRatio > 0 && t.random.Float64() < m.cutRatio
	return m
}

// expireColdStart ends the cold start once its duration has passed. The caller holds
// mu.
func (t *state) expireColdStart(now time.Time) {
	if c := t.modes.cold; c != nil && now.After(c.end) {
		t.modes.cold = nil
	}
}

func (t *state) recordProbe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Probes++
}

func (t *state) recordStart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Running++
}

func (t *state) recordEnd() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Running--
}

// enqueue counts a waiting request. It returns false if maxQueued requests wait
// already.
func (t *state) enqueue(maxQueued int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts.Queued >= maxQueued {
		return false
	}
	t.counts.Queued++
	return true
}

func (t *state) dequeue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Queued--
}

// normFloat64 returns a random number of the standard normal distribution.
func (t *state) normFloat64() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.NormFloat64()
}

// Counts returns the current counters.
func (s *Server) Counts() Counts {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	c := s.state.counts
	c.ConnectionsRefused = s.conns.refusedCount()
	return c
}

// report returns the load report, or the frozen one in mode Frozen.
func (s *Server) report() string {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.modes.frozenReport != "" {
		return s.state.modes.frozenReport
	}
	return s.reportLocked()
}

// reportLocked returns the current load report. The caller holds mu of the state.
func (s *Server) reportLocked() string {
	s.state.expireColdStart(time.Now())
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
