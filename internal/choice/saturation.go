package choice

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Parameters of the refusal of requests that would be answered too late.
const (
	// objectiveMargin is the fraction of the time left until the latency objective
	// within which an answer must be expected while requests queue. The rest
	// covers the variation of the work.
	objectiveMargin = 0.7
	// minQueueWait is the wait at the best server, relative to the request's own
	// work, from which requests count as queued.
	minQueueWait = 0.3
	// minRetryAfter and maxRetryAfter bound the time after which a caller may come
	// back.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = time.Second
	// retrySpread is the fraction by which that time varies, so that callers do not
	// come back together.
	retrySpread = 0.25
)

// Request is a request for which a server is to be chosen.
type Request struct {
	Kind string
	// Tried are the servers that must not be chosen again.
	Tried []netip.AddrPort
	// WantedBy is when the latency objective wants the answer; zero without one.
	WantedBy time.Time
	// Deadline is when the caller no longer waits for the answer; zero if the
	// request must not be refused for overload.
	Deadline time.Time
}

// ErrNoServer means that no server may get the request.
var ErrNoServer = errors.New("choice: no server may get the request")

// ErrColdRate is an ErrNoServer for a service that has servers in cold start, at the
// limit of their rate.
var ErrColdRate = fmt.Errorf("%w beyond the rate of servers in cold start", ErrNoServer)

// SaturatedError means that the servers can't answer a request in time, or that all
// of them asked for a pause.
type SaturatedError struct {
	// Expected is the time in which the best server would have answered.
	Expected time.Duration
	// RetryAfter is the time after which the caller may come back.
	RetryAfter time.Duration
}

// Error describes the overload.
func (e *SaturatedError) Error() string {
	return fmt.Sprintf("choice: the best server would answer after %v", e.Expected)
}

// checkSaturation returns a *SaturatedError if r should be refused: if no server can
// answer it before the deadline, or if requests queue at all servers so that the
// answer would miss the objective, and with it those of the requests behind. It
// returns nil for servers that do not report their pace. The scores must be set.
func (s *Set) checkSaturation(p Informed, r Request) error {
	if r.Deadline.IsZero() || s.meanPace.count == 0 || s.kind.work.count < minWorkSamples {
		return nil
	}
	best, least := s.leastScore()
	excessTime := s.excessTime(p, r, best, least)
	if excessTime <= 0 {
		return nil
	}
	s.saturated++
	spread := 1 + retrySpread*(2*s.Rand.Float64()-1)
	return &SaturatedError{
		Expected:   time.Duration(least),
		RetryAfter: time.Duration(spread * float64(min(max(excessTime, minRetryAfter), maxRetryAfter))),
	}
}

// excessTime returns by how much the answer of the best server is expected too late;
// not above 0 for one in time. A slow pace is assumed to end within maxSlowPeriod.
func (s *Set) excessTime(p Informed, r Request, best *server, least float64) time.Duration {
	usual := s.usualTime()
	slow := max(0, usual*s.pace(best)-usual-float64(maxSlowPeriod))
	if d := s.now.Add(time.Duration(least - slow)).Sub(r.Deadline); d > 0 {
		return d
	}
	if r.WantedBy.IsZero() || s.queueWait(p, best) < minQueueWait {
		return 0
	}
	wanted := objectiveMargin * float64(max(0, r.WantedBy.Sub(s.now)))
	if usual > wanted {
		// An idle server would miss the objective too, so it says nothing about
		// the load.
		return 0
	}
	return time.Duration(least - wanted)
}

// leastScore returns the server with the least expected time, and that time in
// nanoseconds.
func (s *Set) leastScore() (*server, float64) {
	var best *server
	least := math.Inf(1)
	for i, c := range s.scores {
		if c < least {
			best, least = s.servers[i], c
		}
	}
	return best, least
}
