package virtual

import (
	"time"

	"lentilbend.example/internal/limit"
)

// tolerance is the allowed rounding error of sums of fractions, in tokens.
const tolerance = 1e-6

// Checker checks the uses of one limit over all VMs. For a rate it is an exact
// token bucket: one that starts full runs dry if and only if some interval had
// more uses than rate and burst allow.
type Checker struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate  float64
	Burst float64
	// Permits is the number of requests that may run at once; 0 for a rate.
	Permits int
	// Violations counts the uses beyond the limit.
	Violations int
	// Uses counts all uses.
	Uses int

	tokens     float64
	refilledAt time.Duration
	started    bool
	inUse      int // permits
}

// RecordUse counts the use of one token or permit.
func (c *Checker) RecordUse(now time.Duration) {
	c.Uses++
	if c.Permits > 0 {
		c.inUse++
		if c.inUse > c.Permits {
			c.Violations++
		}
		return
	}
	c.refill(now)
	c.tokens--
	if c.tokens < -tolerance {
		c.Violations++
		c.tokens = 0
	}
}

// RecordRelease counts the return of a permit.
func (c *Checker) RecordRelease() {
	c.inUse--
}

// SetSpec changes the limit that applies from now on.
func (c *Checker) SetSpec(now time.Duration, s limit.Spec) {
	c.refill(now)
	c.Rate, c.Burst, c.Permits = s.Rate, s.Burst, s.Permits
}

func (c *Checker) refill(now time.Duration) {
	if !c.started {
		c.tokens, c.started = c.Burst, true
	}
	c.tokens = min(c.Burst, c.tokens+c.Rate*(now-c.refilledAt).Seconds())
	c.refilledAt = now
}

// TryTake takes a token if there is a whole one, as a single central bucket would.
func (c *Checker) TryTake(now time.Duration) bool {
	c.refill(now)
	if c.tokens < 1-tolerance {
		return false
	}
	c.tokens--
	return true
}
