package choice

import (
	"math/rand/v2"
	"time"
)

// Times for which a failing server gets no work: they double with each failure
// in a row.
const (
	suspendFirst = 100 * time.Millisecond
	suspendMost  = 5 * time.Second
)

// Evidence of failure: a good answer halves it, a broken connection counts
// more than an answer with an error status.
const (
	evidenceSuspend = 2.0
	evidenceStatus  = 1.0
	evidenceFailed  = 2.0
	evidenceMost    = 8.0
	evidenceFade    = 2 * time.Second
)

// health is the evidence that a server fails.
type health struct {
	evidence float64
	changed  time.Time
	row      int // suspensions without a good answer between
	until    time.Time
	broken   int // connections that failed since the last good answer
}

// fail adds evidence, and suspends the server when there is enough.
func (h *health) fail(now time.Time, evidence float64, r *rand.Rand) {
	h.evidence = min(h.weight(now)+evidence, evidenceMost)
	h.changed = now
	if h.evidence < evidenceSuspend || now.Before(h.until) {
		return
	}
	d := min(suspendFirst<<min(h.row, 10), suspendMost)
	h.row++
	h.until = now.Add(d/2 + time.Duration(r.Int64N(int64(d))))
}

// weight returns the evidence as it counts now.
func (h *health) weight(now time.Time) float64 {
	if h.evidence == 0 {
		return 0
	}
	return h.evidence * faded(now.Sub(h.changed), evidenceFade)
}

// good takes a good answer.
func (h *health) good() {
	h.row = 0
	h.broken = 0
	h.until = time.Time{}
	h.evidence /= 2
	if h.evidence < evidenceStatus/4 {
		h.evidence = 0
	}
}

// suspended says whether the server gets no work now.
func (h *health) suspended(now time.Time) bool {
	return now.Before(h.until)
}

// trial says whether the server's last suspension was not yet followed by a
// good answer, so that one call at a time is enough.
func (h *health) trial() bool {
	return h.row > 0
}
