package choice

import (
	"math/rand/v2"
	"time"
)

// Backoff of an ejected server, before jitter: it doubles with each consecutive
// ejection.
const (
	ejectionBaseDelay = 100 * time.Millisecond
	ejectionMaxDelay  = 5 * time.Second
)

// Parameters of the failure score, which ejects a server at ejectionThreshold.
// A good answer halves the score. A broken connection counts more than an
// answer with an error status.
const (
	ejectionThreshold     = 2.0
	errorStatusWeight     = 1.0
	brokenConnWeight      = 2.0
	maxFailureScore       = 8.0
	failureScoreDecayTime = 2 * time.Second
)

// health tracks the failures of a server and ejects it.
type health struct {
	failureScore float64 // as of scoredAt
	scoredAt     time.Time
	ejections    int // consecutive, without a good answer in between
	ejectedUntil time.Time
	brokenConns  int // connections that failed since the last good answer
}

// addFailure adds weight to the failure score and ejects the server for a
// jittered delay when the score reaches the threshold.
func (h *health) addFailure(now time.Time, weight float64, r *rand.Rand) {
	h.failureScore = min(h.score(now)+weight, maxFailureScore)
	h.scoredAt = now
	if h.failureScore < ejectionThreshold || now.Before(h.ejectedUntil) {
		return
	}
	d := min(ejectionBaseDelay<<min(h.ejections, 10), ejectionMaxDelay)
	h.ejections++
	h.ejectedUntil = now.Add(d/2 + time.Duration(r.Int64N(int64(d))))
}

// score returns the failure score, decayed to now.
func (h *health) score(now time.Time) float64 {
	if h.failureScore == 0 {
		return 0
	}
	return h.failureScore * decay(now.Sub(h.scoredAt), failureScoreDecayTime)
}

// addSuccess records a good answer.
func (h *health) addSuccess() {
	h.ejections = 0
	h.brokenConns = 0
	h.ejectedUntil = time.Time{}
	h.failureScore /= 2
	if h.failureScore < errorStatusWeight/4 {
		h.failureScore = 0
	}
}

// ejected reports whether the server is ejected now.
func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// halfOpen reports whether the server was ejected and has not given a good
// answer since, so that it gets one request at a time once its ejection is over.
func (h *health) halfOpen() bool {
	return h.ejections > 0
}
