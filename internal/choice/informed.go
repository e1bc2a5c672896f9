package choice

import (
	"math"
	"net/netip"
	"time"
)

// tier ranks servers by whether they should get requests. A server of a worse
// tier is chosen only when no better one is left. If all servers are in
// tierAvoid, they are more likely overloaded than each faulty.
type tier int

const (
	tierGood tier = iota
	// tierAvoid means that the server is ejected, has its trial request in
	// flight, or has no slow-start credit.
	tierAvoid
	tierDraining
	// tierNone means that the server must not be chosen.
	tierNone
)

// Parameters of the score.
const (
	// missingFactor multiplies the expected time at a server that is missing
	// from the platform's VM list and was not in contact for
	// missingGracePeriod.
	missingFactor      = 1.25
	missingGracePeriod = 5 * time.Second
	// failureScoreFactor is the weight of the failure score.
	failureScoreFactor = 1.0
	// unansweredProbeFactor multiplies the expected time at a server that did
	// not answer its last probe.
	unansweredProbeFactor = 4.0
	// coldUseThreshold is the expected time at the best warm server, in mean
	// latencies, from which a cold server is the better choice. A cold server
	// takes about twice as long as a warm one.
	coldUseThreshold = 2.0
	// paceDecayTime is the decay time of a reported pace. Other VMs on the same
	// machine change a server's pace within a few hundred milliseconds.
	paceDecayTime = 250 * time.Millisecond
	// defaultLatency stands for the mean latency until enough are measured.
	defaultLatency = 10 * time.Millisecond
	// allowanceRetryDelay is how long a cold server is skipped after the
	// allowance had no token for it.
	allowanceRetryDelay = 5 * time.Millisecond
)

// pickInformed picks a server by pickCold or pickTrial if one may get the
// request and canSpareCold is false, and else a server of the best tier with
// about the least expected time. The error is a *SaturatedError, also if all servers
// asked for a pause.
func (s *Set) pickInformed(p Informed, r Request) (*server, error) {
	if s.updatePhases() && !s.canSpareCold(p, r.Tried) {
		if v := s.pickCold(r.Tried); v != nil {
			return v, nil
		}
		if v := s.pickTrial(r.Tried); v != nil {
			return v, nil
		}
	}
	if len(r.Tried) == 0 && s.probesInTurn() {
		s.addProbeCredit()
	}
	best := s.scoreServers(p, r.Tried)
	if best == tierNone {
		if v := s.pickLeastBad(r.Tried); v != nil {
			return v, nil
		}
		if d := s.pauseLeft(r.Tried); d > 0 {
			return nil, &SaturatedError{Expected: d, RetryAfter: d}
		}
		return nil, nil
	}
	if best == tierGood && !s.hasFreeSlots() {
		if err := s.checkSaturation(p, r); err != nil {
			return nil, err
		}
	}
	if s.probesInTurn() {
		s.limitToSubset()
		s.limitToGood(p)
	}
	return s.pickNearBest(p, best), nil
}

// canSpareCold reports whether requests need no cold server since a warm one is
// good and not busy. Where servers do not state when their cold start ends, it
// returns false: they become warm only by answering requests.
func (s *Set) canSpareCold(p Informed, tried []netip.AddrPort) bool {
	if !s.coldStated || s.scoreServers(p, tried) != tierGood {
		return false
	}
	if s.probesInTurn() {
		return s.hasIdleServers(p)
	}
	least := math.Inf(1)
	for _, c := range s.scores {
		least = min(least, c)
	}
	m := float64(s.initialLatency)
	if s.baseline.known() {
		m = float64(s.baseline.mean)
	}
	return least < coldUseThreshold*m
}

// updatePhases expires drain announcements and stated cold starts and adds
// slow-start credit. It reports whether any server is not warm, is half-open or
// announced that it drains.
func (s *Set) updatePhases() bool {
	found := false
	for _, v := range s.servers {
		v.expireDrain(s.now)
		if v.coldStart.coldEnded(s.now) {
			s.beginSlowStart(v)
		}
		if v.coldStart.phase != phaseWarm || v.health.halfOpen() || v.drain.announced {
			found = true
			v.coldStart.addCredit(len(s.servers))
		}
	}
	return found
}

// scoreServers sets scores to the expected time of each server in the best tier,
// infinite for the others, and returns that tier. When more than half of the
// servers are in tierAvoid, they are scored together with the good ones, since
// the few good ones could not take the whole load.
func (s *Set) scoreServers(p Informed, tried []netip.AddrPort) tier {
	best, avoided := s.scoreTiers(p, tried, false)
	if 2*avoided > len(s.servers) {
		best, _ = s.scoreTiers(p, tried, true)
	}
	if best == tierAvoid || 2*avoided > len(s.servers) {
		s.allSuspect++
	}
	return best
}

// scoreTiers sets scores and returns the best tier and the number of servers in
// tierAvoid. With includeAvoided, those count as good.
func (s *Set) scoreTiers(p Informed, tried []netip.AddrPort, includeAvoided bool) (tier, int) {
	best, avoided := tierNone, 0
	for i, v := range s.servers {
		s.scores[i] = math.Inf(1)
		t := s.tier(v, tried)
		if t == tierAvoid {
			avoided++
			if includeAvoided {
				t = tierGood
			}
		}
		if t > best || t == tierNone {
			continue
		}
		if t < best {
			best = t
			s.clearScores(i)
		}
		s.scores[i] = s.expectedTime(p, v)
	}
	return best, avoided
}

// clearScores sets the first n scores to infinite.
func (s *Set) clearScores(n int) {
	for i := range n {
		s.scores[i] = math.Inf(1)
	}
}

func (s *Set) tier(v *server, tried []netip.AddrPort) tier {
	if !v.usable(s.now, tried) || v.coldStart.needsAllowance() {
		return tierNone
	}
	if v.draining(s.now) {
		return tierDraining
	}
	if v.health.ejected(s.now) || v.health.halfOpen() && v.calls.count > 0 {
		return tierAvoid
	}
	if !v.coldStart.hasCredit() {
		return tierAvoid
	}
	return tierGood
}

// pickNearBest picks a random server whose score is within p.Tolerance of the
// least one.
func (s *Set) pickNearBest(p Informed, t tier) *server {
	least := math.Inf(1)
	for _, c := range s.scores {
		least = min(least, c)
	}
	limit := least * (1 + p.Tolerance)
	var v *server
	n := 0
	for i, c := range s.scores {
		if c > limit {
			continue
		}
		n++
		if s.Rand.IntN(n) == 0 {
			v = s.servers[i]
		}
	}
	if v != nil && v.coldStart.phase == phaseSlowStart && t == tierGood {
		v.coldStart.credit--
	}
	return v
}

// expectedTime returns the time in nanoseconds in which v is expected to answer
// a request sent now.
func (s *Set) expectedTime(p Informed, v *server) float64 {
	f := v.currentSlowness(s.now, s.meanLatencies(p.SlownessDecayTime))
	f += p.LatenessWeight * v.calls.lateness(s.now)
	f += failureScoreFactor * v.health.score(s.now)
	if v.missing && s.now.Sub(v.lastContact) > missingGracePeriod {
		f *= missingFactor
	}
	m := s.usualTime()
	f *= s.pace(v)
	if v.probeFailedAt.After(v.lastContact) {
		f *= unansweredProbeFactor
	}
	e := m*f*(1+s.queueWait(p, v)) + float64(v.dataCentre.distance)
	if s.FarCost > 0 && v.dataCentre.name != s.DataCentre && s.kind != nil {
		e += s.kind.bytes.value / 1000 * float64(s.FarCost)
	}
	return e
}

// minWorkSamples is how many answers are needed to know the work of a kind of
// request.
const minWorkSamples = 8

// usualTime returns the time in nanoseconds that a request is expected to take at a
// server without a queue and at its usual pace: the work of its kind if servers
// report their pace, else the mean latency, which includes usual queues.
func (s *Set) usualTime() float64 {
	if s.kind != nil && s.kind.work.count >= minWorkSamples {
		return s.kind.work.value
	}
	if s.baseline.work.count >= minWorkSamples {
		return s.baseline.work.value
	}
	if s.baseline.known() {
		return float64(s.baseline.mean)
	}
	return float64(max(s.initialLatency, defaultLatency))
}

// pace returns how long work takes at v, relative to the usual time. An old
// report decays to the mean of all servers.
func (s *Set) pace(v *server) float64 {
	if s.meanPace.count == 0 {
		return 1
	}
	if v.report.Pace <= 0 {
		return s.meanPace.value
	}
	w := decay(s.now.Sub(v.reportedAt), paceDecayTime)
	return s.meanPace.value + (v.report.Pace-s.meanPace.value)*w
}

// queueWait returns the expected wait in v's queue, in mean latencies. It is a
// smooth form of max(0, requests-slots+1)/slots: the less certain the number of
// requests, the greater the wait expected near the limit.
func (s *Set) queueWait(p Informed, v *server) float64 {
	n, certainty := s.estimateRequests(p, v)
	slots := float64(s.slots)
	x := n - slots + 1
	d := p.Uncertainty * (1 - certainty)
	return (x + math.Sqrt(x*x+d*d+0.25)) / 2 / slots
}

// estimateRequests returns the estimated number of requests at v and the weight
// of v's own report in it, 0 to 1. An old report decays to the typical number.
func (s *Set) estimateRequests(p Informed, v *server) (float64, float64) {
	m := s.typicalRequests()
	own := s.estimateFromOwn(v, m)
	if v.reportedAt.IsZero() {
		return own, 0
	}
	certainty := decay(s.now.Sub(v.reportedAt), s.meanLatencies(p.ReportDecayTime))
	n := m + (float64(v.report.Running+v.report.Queued)-m)*certainty
	n += float64(v.calls.startedSince(v.reportedAt))
	if v.calls.count > 1 {
		n = max(n, own)
	}
	return n + v.currentBias(s.now), certainty
}

// typicalRequests returns the mean number of requests at a server: that of the
// load reports, or an estimate from this VM's calls when there are none.
func (s *Set) typicalRequests() float64 {
	if s.meanRequests.count > 0 {
		return s.meanRequests.value
	}
	return float64(s.inFlight*s.vms) / float64(len(s.servers))
}

// ownCallsPrior is the weight of the typical number of requests in
// estimateFromOwn, in calls.
const ownCallsPrior = 2.0

// estimateFromOwn estimates the number of requests at v from this VM's calls in
// flight: the typical number, scaled by the ratio of v's calls to the mean over
// all servers and smoothed by ownCallsPrior.
func (s *Set) estimateFromOwn(v *server, typical float64) float64 {
	u := float64(s.inFlight) / float64(len(s.servers))
	n := typical * (ownCallsPrior + float64(v.calls.count)) / (ownCallsPrior + u)
	return max(n, float64(v.calls.count))
}

// meanLatencies returns the duration of n mean latencies.
func (s *Set) meanLatencies(n float64) time.Duration {
	return time.Duration(n * float64(max(s.baseline.mean, minLatency)))
}

// runningMean is a mean over about the last meanWindow values.
type runningMean struct {
	value float64
	count int
}

const meanWindow = 64

func (m *runningMean) add(n float64) {
	m.count = min(m.count+1, meanWindow)
	m.value += (n - m.value) / float64(m.count)
}
