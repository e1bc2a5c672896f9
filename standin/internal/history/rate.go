package history

import (
	"slices"
)

// maxIntervalStarts bounds the number of interval starts that are tried for one
// limit, since the cost of each grows with the number of admissions.
const maxIntervalStarts = 2000

// findOverrun returns an interval that wholly contains more admissions than rate
// (calls a second) and burst allow, and their number. With maxIntervalStarts
// admissions or more, only evenly spaced ones are tried as start.
func findOverrun(as []admission, rate, burst float64) (admission, int, bool) {
	slices.SortFunc(as, func(a, b admission) int { return a.end.Compare(b.end) })
	starts := slices.Clone(as)
	slices.SortFunc(starts, func(a, b admission) int { return a.start.Compare(b.start) })
	step := len(starts)/maxIntervalStarts + 1
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
