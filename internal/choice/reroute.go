package choice

import (
	"math"
	"net/netip"
	"time"
)

// Parameters of the comparison of a call in flight with a new call to another
// server.
const (
	// minRemainingRatio is the least remaining time assumed for a call, however
	// long it has run, as a fraction of its expected latency.
	minRemainingRatio = 0.25
	// maxSlowPeriod is the longest time for which a slow server is assumed to
	// stay slow. It bounds the delay that is added for a slow pace.
	maxSlowPeriod = 300 * time.Millisecond
	// minRerouteGain is the ratio of the remaining time to the expected time of
	// a new call above which rerouting pays.
	minRerouteGain = 1.2
)

// ShouldReroute reports whether the request of c is expected to end after
// wantedBy, and later than if it were sent now to a server that is not in tried.
// Only the second condition counts when wantedBy is zero, that is, not known.
func (s *Set) ShouldReroute(now, wantedBy time.Time, c Call, tried []netip.AddrPort) bool {
	k, ok := c.(*call)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	p, ok := s.Policy.(Informed)
	if !ok || k.ended || !k.kind.known() && !s.probesInTurn() {
		return false
	}
	remaining := s.remaining(k)
	if !wantedBy.IsZero() && s.now.Add(remaining).Before(wantedBy) {
		return false
	}
	s.kind = k.kind
	if s.scoreServers(p, tried) != tierGood {
		return false
	}
	least := math.Inf(1)
	for _, x := range s.scores {
		least = min(least, x)
	}
	return float64(remaining) > minRerouteGain*least
}

// remaining returns the expected remaining time of a call at the current pace
// of its server.
func (s *Set) remaining(c *call) time.Duration {
	v := c.server
	expected := float64(c.kind.mean + c.queueWait)
	if !c.kind.known() {
		expected = s.usualTimeOf(c.kind) * (1 + c.wait)
	}
	done := float64(s.now.Sub(c.start))
	if s.probesInTurn() {
		// The check comes after an unusual time, so a server that is slow now has
		// been so for about half of it.
		done /= (1 + max(1, s.pace(v))) / 2
	}
	rest := max(expected-done, minRemainingRatio*expected)
	if v.probeFailedAt.After(v.lastContact) && v.probeFailedAt.After(c.start) {
		return time.Duration(rest) + unansweredProbeDelay
	}
	return time.Duration(min(rest*s.pace(v), rest+float64(maxSlowPeriod)))
}

// unansweredProbeDelay is added to the remaining time of a call whose server did
// not answer its last probe.
const unansweredProbeDelay = 5 * time.Second
