package choice

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/load"
)

// server is what this VM knows of one backend server.
type server struct {
	address    netip.AddrPort
	name       string
	born       time.Time
	dataCentre *dataCentre
	out        bool
	leaving    bool
	missing    bool
	calls      calls

	report     load.Report
	reportedAt time.Time // zero when there was no report
	// observed is the last report as the server sent it. After a refusal, report is
	// that of a full server.
	observed load.Report

	// slowness is the moving average of the latency ratio (see
	// Set.latencyRatio), at least 1. It was last updated at slownessAt.
	slowness   float64
	slownessAt time.Time

	// bias is added to the reported number of requests to correct for a server
	// that takes longer than its reports explain. It was last updated at biasAt.
	bias   float64
	biasAt time.Time

	health    health
	coldStart coldStart
	notices   notices

	drain         drain
	answeredAt    time.Time // last complete good answer
	lastContact   time.Time // last answer of any kind, also to a probe
	probedAt      time.Time
	probeFailedAt time.Time // last probe without an answer
	noConnAt      time.Time // last connection that the server did not accept
	downReport    downReport
	gossipedState State // last state that the other VMs know
	chosen        uint64
	sheds         uint64
	failures      uint64
	coldTaken     uint64
}

// dataCentre is a data centre as seen from this VM.
type dataCentre struct {
	name      string
	latencies latencyStats
	// distance is how much longer answers take than from the nearest data
	// centre.
	distance time.Duration
}

// isSameRun reports whether v is this run of the server.
func (s *server) isSameRun(v Server) bool {
	return s.name == v.Name && (s.born.IsZero() || v.Born.IsZero() || s.born.Equal(v.Born))
}

// storeReport stores a load report received now.
func (s *server) storeReport(now time.Time, r *load.Report) {
	s.report, s.observed = *r, *r
	s.reportedAt = now
	if r.Draining {
		s.drain.addAnnouncement(now)
	} else {
		s.drain = drain{}
	}
}

// currentSlowness returns the slowness, decayed to 1.
func (s *server) currentSlowness(now time.Time, decayTime time.Duration) float64 {
	if s.slowness <= 1 {
		return 1
	}
	return 1 + (s.slowness-1)*decay(now.Sub(s.slownessAt), decayTime)
}

// Parameters of the slowness: bounds of one latency ratio and the weight of the
// latest one.
const (
	maxLatencyRatio = 8
	minLatencyRatio = 0.5
	slownessWeight  = 0.4
)

// updateSlowness adds a latency ratio to the slowness.
func (s *server) updateSlowness(now time.Time, ratio float64, decayTime time.Duration) {
	ratio = min(max(ratio, minLatencyRatio), maxLatencyRatio)
	s.slowness = max(1, s.currentSlowness(now, decayTime)*(1-slownessWeight)+ratio*slownessWeight)
	s.slownessAt = now
}

// Parameters of the bias: its greatest value, its change per unit of excess
// latency, and the greatest latency ratio that counts.
const (
	maxBias       = 12.0 // requests
	biasGain      = 0.1  // requests
	biasDecayTime = 10 * time.Second
	maxBiasRatio  = 4.0
)

// updateBias adjusts the bias by the excess of a latency ratio over the mean of
// the service.
func (s *server) updateBias(now time.Time, excess float64) {
	s.bias = min(max(s.currentBias(now)+biasGain*excess, 0), maxBias)
	s.biasAt = now
}

// currentBias returns the bias, decayed to now.
func (s *server) currentBias(now time.Time) float64 {
	if s.bias == 0 {
		return 0
	}
	return s.bias * decay(now.Sub(s.biasAt), biasDecayTime)
}

// decay returns the weight of a value of age d: 1 at first, 0.4 after decayTime.
// It approximates exp(-d/decayTime).
func decay(d, decayTime time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	x := float64(d) / float64(decayTime)
	return 1 / (1 + x + x*x/2)
}
