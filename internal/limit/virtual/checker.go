package virtual

import (
	"time"

	"lentilbend.example/internal/limit"
)

// slack is the error of sums of fractions, in tokens.
const slack = 1e-6

// Checker watches one limit over all VMs, exactly: a bucket that starts full
// runs dry if and only if some interval saw more than its rate and burst.
type Checker struct {
	Rate  float64
	Burst float64
	Units int
	// Over counts uses beyond the limit.
	Over int
	// Used counts uses.
	Used int

	level float64
	at    time.Duration
	begun bool
	held  int
}

// Use notes one use of a token or unit.
func (c *Checker) Use(now time.Duration) {
	c.Used++
	if c.Units > 0 {
		c.held++
		if c.held > c.Units {
			c.Over++
		}
		return
	}
	c.refill(now)
	c.level--
	if c.level < -slack {
		c.Over++
		c.level = 0
	}
}

// Done notes that a unit is free again.
func (c *Checker) Done() {
	c.held--
}

// Edit changes the limit that holds from now on.
func (c *Checker) Edit(now time.Duration, s limit.Spec) {
	c.refill(now)
	c.Rate, c.Burst, c.Units = s.Rate, s.Burst, s.Permits
}

func (c *Checker) refill(now time.Duration) {
	if !c.begun {
		c.level, c.begun = c.Burst, true
	}
	c.level = min(c.Burst, c.level+c.Rate*(now-c.at).Seconds())
	c.at = now
}

// Try takes a token if there is a whole one, as one central bucket would.
func (c *Checker) Try(now time.Duration) bool {
	c.refill(now)
	if c.level < 1-slack {
		return false
	}
	c.level--
	return true
}
