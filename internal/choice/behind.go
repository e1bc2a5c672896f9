package choice

import (
	"math"
	"net/netip"
	"time"
)

// Parameters of the comparison of a call in flight with a new one elsewhere.
const (
	// leastLeft is the least part of the usual latency that a call is taken to
	// have left.
	leastLeft = 0.25
	// slowSpell is how long a slow spell of a server is taken to last on, at
	// most.
	slowSpell = 300 * time.Millisecond
	// gain is how much sooner a new call must be expected to end.
	gain = 1.2
)

// Behind tells whether a request that c carries is expected to end later than
// wanted, and later than if it were sent to another server now. Wanted is when
// its answer is wanted; zero when that is not known.
func (s *Set) Behind(now, wanted time.Time, c Call, tried []netip.AddrPort) bool {
	k, ok := c.(*call)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	p, ok := s.Policy.(Informed)
	if !ok || k.ended || !k.kind.known() {
		return false
	}
	here := s.left(k)
	if !wanted.IsZero() && s.now.Add(here).Before(wanted) {
		return false
	}
	s.asked = k.kind
	if s.score(p, tried) != tierGood {
		return false
	}
	there := math.Inf(1)
	for _, x := range s.scores {
		there = min(there, x)
	}
	return float64(here) > gain*there
}

// left returns how long a call is expected to take on, by its server's pace at
// this moment.
func (s *Set) left(c *call) time.Duration {
	v := c.server
	usual := float64(c.kind.mean + c.wait)
	rest := max(usual-float64(s.now.Sub(c.start)), leastLeft*usual)
	if v.mute.After(v.heard) && v.mute.After(c.start) {
		return time.Duration(rest) + unanswered
	}
	return time.Duration(min(rest*s.pace(v), rest+float64(slowSpell)))
}

// unanswered is added to the rest of a call whose server leaves probes without
// an answer.
const unanswered = 5 * time.Second
