package choice

import (
	"math"
	"net/netip"
	"time"
)

// Explanation says which servers could get a request now, and why the others could not.
type Explanation struct {
	// Policy is the name of the policy.
	Policy string
	// KindKnown says that enough latencies of the kind of request were measured. Otherwise
	// those of all kinds stand for them.
	KindKnown bool
	// UsualTime is how long such a request takes at a server without a queue.
	UsualTime time.Duration
	// ColdFirst says that a server with Use UseAllowance or UseTrial gets the request
	// before the candidates do, since no warm server is free enough.
	ColdFirst bool
	// Saturated is the error that refuses the request although there are candidates, or nil.
	Saturated *SaturatedError
	// PauseLeft is how long all servers want no requests; 0 if one wants some.
	PauseLeft time.Duration
	Servers   []ServerExplanation
}

// Use is whether and how a server could get a request.
type Use string

// Values of Use.
const (
	// UseCandidate means that the server is one of those from which a random one gets the
	// request.
	UseCandidate Use = "Candidate"
	// UseSlower means that the server may get requests, but others are expected to answer
	// sooner.
	UseSlower Use = "Slower"
	// UseAllowance means that the server gets the request if the cold allowance has a
	// token for it.
	UseAllowance Use = "Allowance"
	// UseTrial means that the server gets one request as a trial.
	UseTrial Use = "Trial"
	// UseFallback means that the server gets requests only if no better one is left.
	UseFallback Use = "Fallback"
	// UseNone means that the server gets no requests.
	UseNone Use = "None"
)

// Reason is why a server is no candidate at the same terms as the others.
type Reason string

// Values of Reason.
const (
	ReasonTableOut     Reason = "DataCentreOut"
	ReasonLeaving      Reason = "Leaving"
	ReasonSaysLeaving  Reason = "SaysLeaving"
	ReasonPaused       Reason = "Paused"
	ReasonDraining     Reason = "Draining"
	ReasonEjected      Reason = "Ejected"
	ReasonOnTrial      Reason = "OnTrial"
	ReasonCold         Reason = "Cold"
	ReasonSuspect      Reason = "Suspect"
	ReasonColdDenied   Reason = "NoColdToken"
	ReasonColdUnneeded Reason = "ColdNotNeeded"
	ReasonSlowStart    Reason = "SlowStart"
)

// ServerExplanation is what is known of one server, and its use for a request.
type ServerExplanation struct {
	Address    netip.AddrPort
	Name       string
	DataCentre string
	Use        Use
	// Reason is empty for a server that is a candidate, or slower than one.
	Reason Reason
	// Expected is the score: the expected time until the answer. It is 0 with a policy
	// that does not score servers.
	Expected time.Duration
	// Basis has the load report and its age.
	Basis Basis
	// InFlight is the number of requests of this VM at the server.
	InFlight int
	// Slowness is the recent latency relative to the expected one.
	Slowness float64
	// Failures is the failure score, which ejects the server at 2.
	Failures float64
	Phase    string
	// EndsIn is when an ejection, a pause or a stated cold start ends; 0 if unknown.
	EndsIn time.Duration
}

// Explain returns which servers could get a request at a time. It changes nothing: no
// token is taken, and neither counters nor phases nor the random source are used.
func (s *Set) Explain(now time.Time, r Request) Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Scores depend on the time and the kind of the request at hand.
	defer func(n time.Time, k *latencyStats) { s.now, s.kind = n, k }(s.now, s.kind)
	if now.After(s.now) {
		s.now = now
	}
	s.kind = s.knownKind(r.Kind)
	e := Explanation{KindKnown: s.kind.known(), UsualTime: time.Duration(s.usualTime())}
	p, ok := s.Policy.(Informed)
	if !ok {
		s.explainSimple(&e, r)
		return e
	}
	e.Policy = "Informed"
	s.explainInformed(&e, p, r)
	return e
}

// knownKind returns the statistics of a kind of request, which are empty for a new kind.
func (s *Set) knownKind(name string) *latencyStats {
	if l := s.kinds[name]; l != nil {
		return l
	}
	if l := s.kinds[""]; l != nil && len(s.kinds) >= maxKinds {
		return l
	}
	return &latencyStats{}
}

// explainSimple explains a policy that takes any usable server.
func (s *Set) explainSimple(e *Explanation, r Request) {
	switch s.Policy.(type) {
	case Random:
		e.Policy = "Random"
	case RoundRobin:
		e.Policy = "RoundRobin"
	case LeastOfTwo:
		e.Policy = "LeastOfTwo"
	}
	for _, v := range s.servers {
		x := s.explainServer(v)
		if x.Reason = s.unusableReason(v); x.Reason == "" && v.usable(s.now, r.Tried) {
			x.Use = UseCandidate
		}
		e.Servers = append(e.Servers, x)
	}
}

// scored is a server as it would be when a request arrives now.
type scored struct {
	state server
	tier  tier
	score float64
}

// explainInformed explains the policy Informed. It follows pickInformed.
func (s *Set) explainInformed(e *Explanation, p Informed, r Request) {
	vs := make([]scored, len(s.servers))
	avoided, changing := 0, false
	for i, v := range s.servers {
		vs[i].state = s.arrivalState(v)
		w := &vs[i].state
		vs[i].tier, vs[i].score = s.tier(w, r.Tried), math.Inf(1)
		if vs[i].tier == tierAvoid {
			avoided++
		}
		changing = changing || w.coldStart.phase != phaseWarm || w.health.halfOpen() || w.drain.announced
	}
	best, least, first := s.scoreCopies(vs, p, 2*avoided > len(vs))
	e.ColdFirst = changing && !s.sparesCold(best, least)
	for i := range vs {
		e.Servers = append(e.Servers, s.explainScored(&vs[i], p, r, best, least, e.ColdFirst))
	}
	switch {
	case best == tierNone:
		e.PauseLeft = s.pauseLeft(r.Tried)
	case best == tierGood:
		e.Saturated = s.saturation(p, r, first, least)
	}
}

// arrivalState returns a copy of a server as updatePhases would leave it.
func (s *Set) arrivalState(v *server) server {
	w := *v
	w.expireDrain(s.now)
	if w.coldStart.coldEnded(s.now) {
		w.coldStart.beginSlowStart(s.now, 0)
		w.slowness, w.bias = 1, 0
	}
	w.coldStart.addCredit(len(s.servers))
	return w
}

// scoreCopies sets the scores of the servers in the best tier. It returns that tier, the
// least score and its server. With includeAvoided, those in tierAvoid count as good.
func (s *Set) scoreCopies(vs []scored, p Informed, includeAvoided bool) (tier, float64, *server) {
	best := tierNone
	for i := range vs {
		if includeAvoided && vs[i].tier == tierAvoid {
			vs[i].tier = tierGood
		}
		best = min(best, vs[i].tier)
	}
	least := math.Inf(1)
	var first *server
	for i := range vs {
		if best == tierNone || vs[i].tier != best {
			continue
		}
		vs[i].score = s.expectedTime(p, &vs[i].state)
		if vs[i].score < least {
			least, first = vs[i].score, &vs[i].state
		}
	}
	return best, least, first
}

// sparesCold reports whether requests need no cold server; see canSpareCold.
func (s *Set) sparesCold(best tier, least float64) bool {
	m := float64(s.initialLatency)
	if s.baseline.known() {
		m = float64(s.baseline.mean)
	}
	return s.coldStated && best == tierGood && least < coldUseThreshold*m
}

// saturation returns the error of checkSaturation, without its random part.
func (s *Set) saturation(p Informed, r Request, first *server, least float64) *SaturatedError {
	if r.Deadline.IsZero() || s.meanPace.count == 0 || s.kind.work.count < minWorkSamples {
		return nil
	}
	d := s.excessTime(p, r, first, least)
	if d <= 0 {
		return nil
	}
	return &SaturatedError{Expected: time.Duration(least), RetryAfter: min(max(d, minRetryAfter), maxRetryAfter)}
}

// explainServer returns what is known of a server.
func (s *Set) explainServer(v *server) ServerExplanation {
	x := ServerExplanation{
		Address: v.address, Name: v.name, DataCentre: v.dataCentre.name, Use: UseNone,
		Basis: s.basis(v), InFlight: v.calls.count, Slowness: max(1, v.slowness),
		Failures: v.health.score(s.now), Phase: v.coldStart.phase.String(),
	}
	x.Expected = x.Basis.Expected
	return x
}

// explainScored returns the use of a scored server.
func (s *Set) explainScored(c *scored, p Informed, r Request, best tier, least float64, coldFirst bool) ServerExplanation {
	v := &c.state
	x := s.explainServer(v)
	if x.Reason = s.unusableReason(v); x.Reason != "" {
		x.EndsIn = max(0, v.notices.pausedUntil.Sub(s.now))
		return x
	}
	if !v.usable(s.now, r.Tried) {
		return x
	}
	if v.coldStart.needsAllowance() {
		x.Use, x.Reason = s.explainCold(v, coldFirst)
		x.EndsIn = max(0, v.coldStart.until.Sub(s.now))
		return x
	}
	x.Reason = s.fallbackReason(v)
	x.EndsIn = max(0, v.health.ejectedUntil.Sub(s.now))
	switch {
	case coldFirst && s.onTrial(v):
		x.Use = UseTrial
	case c.tier != best:
		x.Use = UseFallback
	case c.score <= least*(1+p.Tolerance):
		x.Use = UseCandidate
	default:
		x.Use = UseSlower
	}
	return x
}

// unusableReason returns why a server gets no requests at all, or "".
func (s *Set) unusableReason(v *server) Reason {
	switch {
	case v.out:
		return ReasonTableOut
	case v.leaving:
		return ReasonLeaving
	case v.notices.leaving:
		return ReasonSaysLeaving
	case s.now.Before(v.notices.pausedUntil):
		return ReasonPaused
	}
	return ""
}

// explainCold returns the use of a cold or suspect server.
func (s *Set) explainCold(v *server, coldFirst bool) (Use, Reason) {
	reason := ReasonCold
	if v.coldStart.phase == phaseSuspect {
		reason = ReasonSuspect
	}
	switch {
	case v.draining(s.now):
		return UseNone, ReasonDraining
	case v.health.ejected(s.now):
		return UseNone, ReasonEjected
	case s.Cold == nil:
		return UseNone, reason
	case !s.coldEligible(v):
		if reason == ReasonSuspect && v.calls.count > 0 {
			return UseNone, ReasonOnTrial
		}
		return UseNone, ReasonColdDenied
	case !coldFirst:
		return UseNone, ReasonColdUnneeded
	}
	return UseAllowance, reason
}

// fallbackReason returns why a usable server ranks behind good ones, or "".
func (s *Set) fallbackReason(v *server) Reason {
	switch {
	case v.draining(s.now):
		return ReasonDraining
	case v.health.ejected(s.now):
		return ReasonEjected
	case v.health.halfOpen() && v.calls.count > 0:
		return ReasonOnTrial
	case !v.coldStart.hasCredit():
		return ReasonSlowStart
	}
	return ""
}

// onTrial reports whether pickTrial would pick a server.
func (s *Set) onTrial(v *server) bool {
	if v.calls.count > 0 || v.health.ejected(s.now) {
		return false
	}
	return v.drain.checkDue(s.now) || v.health.halfOpen() && !v.drain.announced
}
