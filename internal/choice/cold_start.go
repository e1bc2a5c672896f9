package choice

import "time"

// phase is the phase of a server's cold start.
type phase int

const (
	phaseWarm phase = iota
	// phaseSuspect means that a connection broke or that a drain announcement
	// expired: the server may be down, and cold when it is back.
	phaseSuspect
	phaseCold
	// phaseSlowStart means that the server's load is raised step by step.
	phaseSlowStart
)

// Parameters of the slow start. Fractions are those of an equal share of the
// requests.
const (
	slowStartFirst = 0.125
	// slowStartUp and slowStartDown multiply the fraction after a good or a
	// slow answer.
	slowStartUp   = 2
	slowStartDown = 0.5
	// slowStartBoost multiplies the credit, so that a server can get up to
	// twice its fraction.
	slowStartBoost = 2
	// slowAnswerRatio is the latency ratio above which an answer is slow.
	slowAnswerRatio = 3
)

// coldStart is the state of a server's cold start and slow start.
type coldStart struct {
	phase    phase
	since    time.Time
	deniedAt time.Time // when the cold allowance last had no token
	until    time.Time // stated end of the cold start; zero when not stated
	fraction float64   // of an equal share of the requests, in slow start
	credit   float64   // requests that the server may get in slow start
}

// begin begins a cold start unless the server is cold already.
func (s *coldStart) begin(now time.Time) {
	if s.phase != phaseCold {
		s.phase = phaseCold
		s.since = now
	}
}

// beginUntil begins a cold start with a stated end.
func (s *coldStart) beginUntil(now, until time.Time) {
	s.phase = phaseCold
	s.since = now
	s.until = until
}

// coldEnded reports whether the stated end of a cold start has passed.
func (s *coldStart) coldEnded(now time.Time) bool {
	return s.phase == phaseCold && !s.until.IsZero() && !now.Before(s.until)
}

// markSuspect marks a server as suspect unless it is cold.
func (s *coldStart) markSuspect(now time.Time) {
	if s.phase != phaseCold {
		s.phase = phaseSuspect
		s.since = now
	}
}

// beginSlowStart begins a slow start with an initial credit.
func (s *coldStart) beginSlowStart(now time.Time, credit float64) {
	s.phase = phaseSlowStart
	s.since = now
	s.until = time.Time{}
	s.fraction = slowStartFirst
	s.credit = credit
}

// adjustFraction raises or lowers the fraction of a server in slow start after
// an answer. The server is warm once the fraction reaches 1.
func (s *coldStart) adjustFraction(now time.Time, ratio float64) {
	if s.phase != phaseSlowStart {
		return
	}
	if ratio > slowAnswerRatio {
		s.fraction = max(s.fraction*slowStartDown, slowStartFirst/2)
		return
	}
	s.fraction *= slowStartUp
	if s.fraction >= 1 {
		s.phase = phaseWarm
		s.since = now
	}
}

// needsAllowance reports whether each request takes a token of the cold
// allowance.
func (s *coldStart) needsAllowance() bool {
	return s.phase == phaseCold || s.phase == phaseSuspect
}

// addCredit adds the credit for one request of the service to a server in slow
// start, one of n servers.
func (s *coldStart) addCredit(n int) {
	if s.phase == phaseSlowStart {
		s.credit = min(s.credit+slowStartBoost*s.fraction/float64(n), 2)
	}
}

// hasCredit reports whether slow start allows a request now.
func (s *coldStart) hasCredit() bool {
	return s.phase != phaseSlowStart || s.credit >= 1
}
