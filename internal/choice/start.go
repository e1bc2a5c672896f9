package choice

import "time"

// phase is where a server is in its start.
type phase int

const (
	phaseWarm phase = iota
	// phaseDoubt means that a connection broke: the server may be down, and
	// cold when it comes back.
	phaseDoubt
	phaseCold
	// phaseRamp means that its part rises to a full one.
	phaseRamp
)

// Steps of the ramp, as parts of what a warm server may get.
const (
	rampFirst = 0.125
	rampUp    = 2
	rampDown  = 0.5
	// rampBonus is how much more than an equal part a server in the ramp may
	// get at most.
	rampBonus = 2
	// rampSlow is how late an answer must be to lower the part.
	rampSlow = 3
)

// start is the state of a server's cold start.
type start struct {
	phase  phase
	since  time.Time
	asked  time.Time // when the allowance last had nothing
	until  time.Time // when a stated cold start ends; zero when not stated
	part   float64
	credit float64
}

// cold begins a cold start.
func (s *start) cold(now time.Time) {
	if s.phase != phaseCold {
		s.phase = phaseCold
		s.since = now
	}
}

// coldUntil begins a cold start whose end is stated.
func (s *start) coldUntil(now, until time.Time) {
	s.phase = phaseCold
	s.since = now
	s.until = until
}

// over says whether a stated cold start has ended.
func (s *start) over(now time.Time) bool {
	return s.phase == phaseCold && !s.until.IsZero() && !now.Before(s.until)
}

// doubt notes a broken connection of a server that is not known as cold.
func (s *start) doubt(now time.Time) {
	if s.phase != phaseCold {
		s.phase = phaseDoubt
		s.since = now
	}
}

// ramp begins to raise the server's part.
func (s *start) ramp(now time.Time, credit float64) {
	s.phase = phaseRamp
	s.since = now
	s.until = time.Time{}
	s.part = rampFirst
	s.credit = credit
}

// step raises or lowers the part of a server in the ramp after an answer.
func (s *start) step(now time.Time, ratio float64) {
	if s.phase != phaseRamp {
		return
	}
	if ratio > rampSlow {
		s.part = max(s.part*rampDown, rampFirst/2)
		return
	}
	s.part *= rampUp
	if s.part >= 1 {
		s.phase = phaseWarm
		s.since = now
	}
}

// bounded says whether each request needs a unit of the cold allowance.
func (s *start) bounded() bool {
	return s.phase == phaseCold || s.phase == phaseDoubt
}

// earn adds to the credit of a server in the ramp, one of n servers, for one
// choice.
func (s *start) earn(n int) {
	if s.phase == phaseRamp {
		s.credit = min(s.credit+rampBonus*s.part/float64(n), 2)
	}
}

// ready says whether a server has the credit to be chosen.
func (s *start) ready() bool {
	return s.phase != phaseRamp || s.credit >= 1
}
