package pool

import "time"

// Bounds of the time after which a request counts as silent.
const (
	patienceUnknown = time.Second
	patienceLeast   = 50 * time.Millisecond
)

// Parameters of usual, as in TCP's retransmission timer (RFC 6298).
const (
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 8
	samplesLeast    = 8
)

// usual estimates the latency of one kind of request.
type usual struct {
	mean      float64
	deviation float64
	samples   int
}

// add takes the latency of an answer.
func (u *usual) add(d time.Duration) {
	x := float64(d)
	u.samples++
	if u.samples == 1 {
		u.mean, u.deviation = x, x/2
		return
	}
	e := x - u.mean
	u.mean += meanGain * e
	if e < 0 {
		e = -e
	}
	u.deviation += deviationGain * (e - u.deviation)
}

// patience returns how long an answer may take before it counts as silent.
func (u *usual) patience() time.Duration {
	if u == nil || u.samples < samplesLeast {
		return patienceUnknown
	}
	return max(patienceLeast, time.Duration(u.mean+deviationFactor*u.deviation))
}
