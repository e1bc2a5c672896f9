package retry

import (
	"slices"
	"time"
)

// credit is an amount of retries, in thousandths, that expires.
type credit struct {
	amount  int64
	expires time.Time
}

// credits are ordered by when they expire.
type credits []credit

// add adds c.
func (s *credits) add(c credit) {
	if c.amount <= 0 {
		return
	}
	i := len(*s)
	for i > 0 && (*s)[i-1].expires.After(c.expires) {
		i--
	}
	*s = slices.Insert(*s, i, c)
}

// expire drops the credits that expired.
func (s *credits) expire(now time.Time) {
	n := 0
	for n < len(*s) && !now.Before((*s)[n].expires) {
		n++
	}
	*s = slices.Delete(*s, 0, n)
}

// total returns the sum of the credits.
func (s credits) total() int64 {
	var n int64
	for _, c := range s {
		n += c.amount
	}
	return n
}

// take removes up to n, what expires first before the rest, and returns how much it
// removed.
func (s *credits) take(n int64) int64 {
	var taken int64
	for len(*s) > 0 && taken < n {
		c := &(*s)[0]
		m := min(c.amount, n-taken)
		c.amount -= m
		taken += m
		if c.amount == 0 {
			*s = slices.Delete(*s, 0, 1)
		}
	}
	return taken
}
