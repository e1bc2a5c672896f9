package choice

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/load"
)

// server is what is known here of one backend server.
type server struct {
	address netip.AddrPort
	name    string
	centre  *centre
	out     bool
	leaving bool
	missing bool
	calls   calls

	report   load.Report
	reported time.Time // zero when there was no report

	// slow is by how much longer than usual answers took, 1 is usual.
	slow   float64
	slowed time.Time

	// bias is what must be added to the reported requests, so that the server's
	// answers take as long as expected.
	bias   float64
	biased time.Time

	health health
	start  start

	drain     drain
	answered  time.Time // when a whole good answer last came
	heard     time.Time // when anything last came from the server
	probed    time.Time
	mute      time.Time // when a probe was last left unanswered
	rumor     rumor
	told      State // what other VMs were told last
	chosen    uint64
	sheds     uint64
	failures  uint64
	coldTaken uint64
}

// centre is a data centre seen from this VM.
type centre struct {
	name      string
	latencies latencies
	// distance is how much longer answers take than from the nearest one.
	distance time.Duration
}

// take keeps a report that came now.
func (s *server) take(now time.Time, r *load.Report) {
	s.report = *r
	s.reported = now
	if r.Draining {
		s.drain.hear(now)
	} else {
		s.drain = drain{}
	}
}

// slowness returns slow as it counts now: it fades to 1.
func (s *server) slowness(now time.Time, fade time.Duration) float64 {
	if s.slow <= 1 {
		return 1
	}
	return 1 + (s.slow-1)*faded(now.Sub(s.slowed), fade)
}

// Bounds of one latency's part in slow, and the weight of the latest one.
const (
	slowMost   = 8
	slowLeast  = 0.5
	slowWeight = 0.4
)

// slowed takes the latency of a call in units of what was expected.
func (s *server) judge(now time.Time, ratio float64, fade time.Duration) {
	ratio = min(max(ratio, slowLeast), slowMost)
	s.slow = max(1, s.slowness(now, fade)*(1-slowWeight)+ratio*slowWeight)
	s.slowed = now
}

// Bounds of bias, in requests, and its change by one latency.
const (
	biasMost  = 12.0
	biasRate  = 0.1
	biasFade  = 10 * time.Second
	ratioMost = 4.0
)

// correct takes by how much the latency of a call was beyond the usual one,
// both in units of what was expected.
func (s *server) correct(now time.Time, excess float64) {
	s.bias = min(max(s.correction(now)+biasRate*excess, 0), biasMost)
	s.biased = now
}

// correction returns bias as it counts now.
func (s *server) correction(now time.Time) float64 {
	if s.bias == 0 {
		return 0
	}
	return s.bias * faded(now.Sub(s.biased), biasFade)
}

// faded returns what is left of 1 after d; it halves in about fade.
func faded(d, fade time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	x := float64(d) / float64(fade)
	return 1 / (1 + x + x*x/2)
}
