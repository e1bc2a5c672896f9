package limit

import "time"

// demand estimates the requests a second for one limit.
type demand struct {
	taken int
	rate  float64
	last  time.Time
	// since is when the estimate began.
	since time.Time
	// used, wanted and refused are when a request, an ask of another VM, and a
	// request without tokens came last.
	used    time.Time
	wanted  time.Time
	refused time.Time
	// short is when an ask of another VM last found too few tokens.
	short time.Time
}

// demandSpan is the time between two steps of an estimate.
const demandSpan = time.Second

func (d *demand) step(now time.Time) {
	t := now.Sub(d.last)
	if t < demandSpan {
		return
	}
	if d.last.IsZero() {
		d.last, d.since = now, now
		return
	}
	r := float64(d.taken) / t.Seconds()
	d.rate += (r - d.rate) / 4
	d.taken, d.last = 0, now
}

// lastUse is when the limit was last in use, here or at another VM.
func (d *demand) lastUse() time.Time {
	if d.used.After(d.wanted) {
		return d.used
	}
	return d.wanted
}
