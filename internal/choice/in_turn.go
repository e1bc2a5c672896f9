package choice

import (
	"math"
	"net/netip"
	"time"
)

// Parameters of probing in turn.
const (
	// freshReportAge is the age up to which a load report counts as current. It is
	// maxReportAge while the balance of probes is negative: a slow period lasts about
	// half a second, so an older report may not hold any more.
	freshReportAge = 40 * time.Millisecond
	maxReportAge   = 200 * time.Millisecond
	// probeCredit is how many probes each request adds to the balance. With 0.95, less
	// than the one probe per request that is aimed for, 0.80 of the requests of a
	// deployment with 104 VMs were answered in time instead of 0.90. The balance is at most
	// maxProbeBalance. No probe before a choice makes it less than -maxChoiceDebt, and
	// none for a request in flight less than -maxCheckDebt: such a request is more
	// often at a slow server than one to be sent.
	probeCredit     = 2.5
	maxProbeBalance = 6.0
	maxChoiceDebt   = 3.0
	maxCheckDebt    = 4.0
	// candidateProbeAge is the time for which a server is not probed again before a
	// choice, since an answer is outstanding or failed to come.
	candidateProbeAge = 40 * time.Millisecond
	// idleConnTime is the time after which a server may have closed the connections
	// to it. newConnFactor multiplies the expected time at such a server when one is
	// to be probed. With 0.5 requests per second and VM, this lowered the new
	// connections from 0.57 to 0.32 a request in simulations.
	idleConnTime  = 9 * time.Second
	newConnFactor = 1.1
	// goodPace is the pace up to which a server counts as good, if the mean pace is
	// not greater.
	goodPace = 1.5
	// goodFactor is the sum of slowness, lateness and failure score up to which a
	// server counts as good.
	goodFactor = 2.0
	// minPaceReports is the number of reports with a pace from which servers count
	// as reporting it.
	minPaceReports = 8
	// minSlotsPerVM is the number of slots per VM below which the servers are probed
	// as before. With 14 servers of 4 slots for 104 VMs at 1.3 times the capacity,
	// probing in turn served 0.30 of the requests in time instead of 0.41.
	minSlotsPerVM = 0.75
	// unusualRatio is the duration of a call, relative to the work of its kind, from
	// which it has taken longer than usual.
	unusualRatio = 1.25
	// checkBackoff is the time to the next check of such a call, relative to its
	// duration.
	checkBackoff = 0.5
)

// ProbesInTurn reports whether the service is probed with NextCandidate, one server
// after the other, instead of ProbeCandidates. This takes the field InTurn, servers that
// report their pace, and enough of them for the number of VMs.
func (s *Set) ProbesInTurn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probesInTurn()
}

func (s *Set) probesInTurn() bool {
	return s.InTurn && s.probeable && s.meanPace.count >= minPaceReports &&
		float64(len(s.servers)*s.slots) >= minSlotsPerVM*float64(s.vms)
}

// NextCandidate returns the server to probe before one is chosen for a request of a
// kind: the one of the subset with the least expected time whose state is not known. It
// returns false if a server is known to be good, so that it can be chosen at once, or
// if the state of all is known.
func (s *Set) NextCandidate(now time.Time, kind string, tried []netip.AddrPort) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	p, ok := s.Policy.(Informed)
	if !ok || !s.probesInTurn() || len(s.servers) < 2 {
		return netip.AddrPort{}, false
	}
	s.kind = s.kindStats(kind)
	if s.probeBalance <= -maxChoiceDebt || s.scoreServers(p, tried) == tierNone {
		return netip.AddrPort{}, false
	}
	s.limitToSubset()
	if s.limitToGood(p) {
		return netip.AddrPort{}, false
	}
	for i, v := range s.servers {
		if s.now.Sub(v.reportedAt) <= s.freshAge() || s.now.Sub(v.probedAt) <= candidateProbeAge {
			s.scores[i] = math.Inf(1)
		} else if s.now.Sub(v.lastContact) > idleConnTime {
			s.scores[i] *= newConnFactor
		}
	}
	v := s.pickNearBest(p, tierNone)
	if v == nil {
		return netip.AddrPort{}, false
	}
	v.probedAt = s.now
	s.probeBalance--
	return v.address, true
}

// freshAge returns the age up to which a load report counts as current.
func (s *Set) freshAge() time.Duration {
	if s.probeBalance < 0 {
		return maxReportAge
	}
	return freshReportAge
}

// addProbeCredit adds the probes of one request to the balance.
func (s *Set) addProbeCredit() {
	s.probeBalance = min(s.probeBalance+probeCredit, maxProbeBalance)
}

// limitToGood sets the scores of all servers to infinite but those whose report is
// current and good. It returns false and changes nothing if there is none.
func (s *Set) limitToGood(p Informed) bool {
	found := false
	for i, v := range s.servers {
		if !math.IsInf(s.scores[i], 1) && s.isGood(p, v) {
			found = true
			break
		}
	}
	if !found {
		return false
	}
	for i, v := range s.servers {
		if !s.isGood(p, v) {
			s.scores[i] = math.Inf(1)
		}
	}
	return true
}

// isGood reports whether a server's load report is current and shows a usual pace and a
// free slot, and nothing else is known against the server.
func (s *Set) isGood(p Informed, v *server) bool {
	if v.reportedAt.IsZero() || s.now.Sub(v.reportedAt) > s.freshAge() || v.probeFailedAt.After(v.lastContact) {
		return false
	}
	if v.report.Pace <= 0 || v.report.Pace > max(goodPace, s.meanPace.value) {
		return false
	}
	if v.report.Running+v.report.Queued+v.calls.startedSince(v.reportedAt) >= s.slots {
		return false
	}
	f := v.currentSlowness(s.now, s.meanLatencies(p.SlownessDecayTime))
	f += p.LatenessWeight * v.calls.lateness(s.now)
	return f+failureScoreFactor*v.health.score(s.now) <= goodFactor
}

// hasFreeSlots reports whether the servers have free slots on average while they are
// probed in turn. Then some server has one, although those whose state is known may
// be full, so that no request is refused.
func (s *Set) hasFreeSlots() bool {
	return s.probesInTurn() && s.typicalRequests() < float64(s.slots)
}

// busyRatio is the mean number of requests at a server, relative to its slots, from
// which warm servers count as busy and cold ones are used.
const busyRatio = 0.75

// hasIdleServers reports whether warm servers have free slots on average, or one is
// known to have one. The scores must be set.
func (s *Set) hasIdleServers(p Informed) bool {
	if s.typicalRequests() < busyRatio*float64(s.slots) {
		return true
	}
	for i, v := range s.servers {
		if !math.IsInf(s.scores[i], 1) && s.isGood(p, v) {
			return true
		}
	}
	return false
}

// CheckDue reports whether a check of a call in flight may send probes now: always
// unless ProbesInTurn. Otherwise the call must have taken longer than is usual for its
// kind, and the checks become rarer, more so when another server could not answer by
// wantedBy either. wantedBy is zero without a latency objective.
func (s *Set) CheckDue(now, wantedBy time.Time, c Call) bool {
	k, ok := c.(*call)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	if !s.probesInTurn() {
		return true
	}
	elapsed := s.now.Sub(k.start)
	usual := time.Duration(s.usualTimeOf(k.kind))
	if elapsed < k.unusualAfter(usual, wantedBy) || s.now.Before(k.nextCheck) || s.probeBalance <= -maxCheckDebt {
		return false
	}
	if wantedBy.IsZero() || s.now.Add(usual).Before(wantedBy) {
		k.nextCheck = s.now.Add(time.Duration(checkBackoff * float64(elapsed)))
		s.probeBalance--
		return true
	}
	k.nextCheck = s.now.Add(elapsed)
	if !s.now.After(wantedBy) {
		return false
	}
	s.probeBalance--
	return true
}

// unusualAfter returns the duration from which a call has taken longer than usual:
// unusualRatio of the usual time, or less if another attempt could not meet the
// objective after that, but at least the usual time.
func (c *call) unusualAfter(usual time.Duration, wantedBy time.Time) time.Duration {
	d := time.Duration(unusualRatio * float64(usual))
	if wantedBy.IsZero() {
		return d
	}
	return max(usual, min(d, wantedBy.Sub(c.start)-d))
}

// minUsualSamples is how many answers of a kind are needed for its usual time.
const minUsualSamples = 3

// usualTimeOf returns the time in nanoseconds that a request of a kind is expected to
// take at a server without a queue.
func (s *Set) usualTimeOf(kind *latencyStats) float64 {
	if kind.work.count >= minUsualSamples {
		return kind.work.value
	}
	s.kind = kind
	return s.usualTime()
}
