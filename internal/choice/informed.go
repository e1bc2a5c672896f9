package choice

import (
	"math"
	"net/netip"
	"time"
)

// tier tells how much speaks against a server. A server of a worse tier is
// chosen only when no better one is left, which then is overload, not a fault
// of each.
type tier int

const (
	tierGood tier = iota
	tierSuspect
	tierDraining
	tierNone
)

// Parts of the score, as factors on the expected time.
const (
	missingFactor  = 1.25
	missingKnown   = 5 * time.Second
	evidenceFactor = 1.0
	// muteFactor is for a server that left its last probe unanswered.
	muteFactor = 4.0
	// sparedFactor is how many usual latencies an answer may be expected to
	// take before a server in cold start, which takes about twice as long, is
	// the better choice.
	sparedFactor = 2.0
	// paceFade is the time in which half of a reported pace is forgotten:
	// neighbours on a machine change in some hundred milliseconds.
	paceFade = 250 * time.Millisecond
	// unknownLatency stands for the mean latency while too few are known.
	unknownLatency = 10 * time.Millisecond
	// coldWait is how long an empty allowance is not asked again.
	coldWait = 5 * time.Millisecond
)

// pickInformed offers the request to the servers in cold start as far as their
// allowance goes, and else picks among the best tier by the expected time.
func (s *Set) pickInformed(p Informed, tried []netip.AddrPort) *server {
	if s.special() && !s.spared(p, tried) {
		if v := s.pickCold(tried); v != nil {
			return v
		}
		if v := s.pickTrial(tried); v != nil {
			return v
		}
	}
	best := s.score(p, tried)
	if best == tierNone {
		return nil
	}
	return s.near(p, best)
}

// spared says that requests need no server in cold start, where servers say
// when theirs ends: others are well and not busy.
func (s *Set) spared(p Informed, tried []netip.AddrPort) bool {
	if !s.stated || s.score(p, tried) != tierGood {
		return false
	}
	least := math.Inf(1)
	for _, c := range s.scores {
		least = min(least, c)
	}
	m := float64(s.prior)
	if s.usual.known() {
		m = float64(s.usual.mean)
	}
	return least < sparedFactor*m
}

// special says whether any server is not warm or on trial, and lets those in the
// ramp earn.
func (s *Set) special() bool {
	found := false
	for _, v := range s.servers {
		v.undrain(s.now)
		if v.start.over(s.now) {
			s.rise(v)
		}
		if v.start.phase != phaseWarm || v.health.trial() || v.drain.said {
			found = true
			v.start.earn(len(s.servers))
		}
	}
	return found
}

// score fills scores with the expected time of each server in the best tier,
// infinite for the others, and returns the tier. When more than half of the
// servers are suspended, they are scored beside the others, since the few others
// could not bear the whole work.
func (s *Set) score(p Informed, tried []netip.AddrPort) tier {
	best, suspended := s.scoreTiers(p, tried, false)
	if 2*suspended > len(s.servers) {
		best, _ = s.scoreTiers(p, tried, true)
	}
	if best == tierSuspect || 2*suspended > len(s.servers) {
		s.panics++
	}
	return best
}

func (s *Set) scoreTiers(p Informed, tried []netip.AddrPort, crowd bool) (tier, int) {
	best, suspended := tierNone, 0
	for i, v := range s.servers {
		s.scores[i] = math.Inf(1)
		t := s.tier(v, tried)
		if t == tierSuspect {
			suspended++
			if crowd {
				t = tierGood
			}
		}
		if t > best || t == tierNone {
			continue
		}
		if t < best {
			best = t
			s.clear(i)
		}
		s.scores[i] = s.expected(p, v)
	}
	return best, suspended
}

func (s *Set) clear(n int) {
	for i := range n {
		s.scores[i] = math.Inf(1)
	}
}

func (s *Set) tier(v *server, tried []netip.AddrPort) tier {
	if !v.usable(tried) || v.start.bounded() {
		return tierNone
	}
	if v.drains(s.now) {
		return tierDraining
	}
	if v.health.suspended(s.now) || v.health.trial() && v.calls.count > 0 {
		return tierSuspect
	}
	if !v.start.ready() {
		return tierSuspect
	}
	return tierGood
}

// near picks any server whose score is close to the least one.
func (s *Set) near(p Informed, t tier) *server {
	least := math.Inf(1)
	for _, c := range s.scores {
		least = min(least, c)
	}
	most := least * (1 + p.Near)
	var v *server
	n := 0
	for i, c := range s.scores {
		if c > most {
			continue
		}
		n++
		if s.Rand.IntN(n) == 0 {
			v = s.servers[i]
		}
	}
	if v != nil && v.start.phase == phaseRamp && t == tierGood {
		v.start.credit--
	}
	return v
}

// expected returns the time in nanoseconds after which a request given to v is
// expected to end.
func (s *Set) expected(p Informed, v *server) float64 {
	f := v.slowness(s.now, s.fade(p.Slow))
	f += p.Late * v.calls.lateness(s.now)
	f += evidenceFactor * v.health.weight(s.now)
	if v.missing && s.now.Sub(v.heard) > missingKnown {
		f *= missingFactor
	}
	m := float64(max(s.prior, unknownLatency))
	if s.usual.known() {
		m = float64(s.usual.mean)
	}
	f *= s.pace(v)
	if v.mute.After(v.heard) {
		f *= muteFactor
	}
	e := m*f*(1+s.wait(p, v)) + float64(v.centre.distance)
	if s.FarCost > 0 && v.centre.name != s.Home && s.asked != nil {
		e += s.asked.bytes.value / 1000 * float64(s.FarCost)
	}
	return e
}

// pace returns by how much work takes longer at v than usual. An old report
// fades to the mean of all servers.
func (s *Set) pace(v *server) float64 {
	if s.paces.count == 0 {
		return 1
	}
	if v.report.Pace <= 0 {
		return s.paces.value
	}
	w := faded(s.now.Sub(v.reported), paceFade)
	return s.paces.value + (v.report.Pace-s.paces.value)*w
}

// wait returns the expected wait in v's queue, in mean latencies.
func (s *Set) wait(p Informed, v *server) float64 {
	n, sure := s.requests(p, v)
	slots := float64(s.slots)
	x := n - slots + 1
	d := p.Spread * (1 - sure)
	return (x + math.Sqrt(x*x+d*d+0.25)) / 2 / slots
}

// requests returns how many requests v is thought to have, and how much of
// that rests on its own report. An old report fades to the usual number.
func (s *Set) requests(p Informed, v *server) (float64, float64) {
	m := s.usually()
	own := s.byOwn(v, m)
	if v.reported.IsZero() {
		return own, 0
	}
	sure := faded(s.now.Sub(v.reported), s.fade(p.Fade))
	n := m + (float64(v.report.Running+v.report.Queued)-m)*sure
	n += float64(v.calls.since(v.reported))
	if v.calls.count > 1 {
		n = max(n, own)
	}
	return n + v.correction(s.now), sure
}

// usually returns the usual number of requests at a server: by the reports, or
// by the own calls when there are none.
func (s *Set) usually() float64 {
	if s.mean.count > 0 {
		return s.mean.value
	}
	return float64(s.inFlight*s.vms) / float64(len(s.servers))
}

// ownPrior is the weight of the usual number of requests at a server, in own
// calls, when the own calls tell of all.
const ownPrior = 2.0

// byOwn returns how many requests v is thought to have by the number of own
// calls in flight, if m is usual.
func (s *Set) byOwn(v *server, m float64) float64 {
	u := float64(s.inFlight) / float64(len(s.servers))
	n := m * (ownPrior + float64(v.calls.count)) / (ownPrior + u)
	return max(n, float64(v.calls.count))
}

// fade returns a time given in mean latencies.
func (s *Set) fade(n float64) time.Duration {
	return time.Duration(n * float64(max(s.usual.mean, latencyFloor)))
}

// mean is a running mean.
type mean struct {
	value float64
	count int
}

// meanKeep is how many numbers the mean goes over, about.
const meanKeep = 64

func (m *mean) add(n float64) {
	m.count = min(m.count+1, meanKeep)
	m.value += (n - m.value) / float64(m.count)
}
