package history

import (
	"slices"
)

// mostStarts bounds how many interval starts are looked at for one limit.
const mostStarts = 2000

// overrun returns an interval that holds more admissions than rate and burst
// allow, and their number.
func overrun(as []admission, rate, burst float64) (admission, int, bool) {
	slices.SortFunc(as, func(a, b admission) int { return a.end.Compare(b.end) })
	starts := slices.Clone(as)
	slices.SortFunc(starts, func(a, b admission) int { return a.start.Compare(b.start) })
	step := len(starts)/mostStarts + 1
	for i := 0; i < len(starts); i += step {
		s := starts[i].start
		n := 0
		for _, a := range as {
			if a.start.Before(s) {
				continue
			}
			n++
			if float64(n) > rate*a.end.Sub(s).Seconds()+burst {
				return admission{start: s, end: a.end}, n, true
			}
		}
	}
	return admission{}, 0, false
}
