package pool

import "time"

// Default and minimum of the silence timeout.
const (
	// defaultSilenceTimeout applies while there are fewer than minSamples samples.
	defaultSilenceTimeout = time.Second
	minSilenceTimeout     = 50 * time.Millisecond
)

// Parameters of baseline. The gains are those of TCP's retransmission timer
// (RFC 6298).
const (
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 8
	minSamples      = 8
)

// baseline estimates the latency of one kind of request by moving averages of
// the latency and of its deviation, both in nanoseconds.
type baseline struct {
	mean      float64
	deviation float64
	samples   int
}

// add adds the latency of an answer.
func (b *baseline) add(d time.Duration) {
	x := float64(d)
	b.samples++
	if b.samples == 1 {
		b.mean, b.deviation = x, x/2
		return
	}
	e := x - b.mean
	b.mean += meanGain * e
	if e < 0 {
		e = -e
	}
	b.deviation += deviationGain * (e - b.deviation)
}

// silenceTimeout returns how long the first byte of an answer may take before
// the request counts as silent. b may be nil.
func (b *baseline) silenceTimeout() time.Duration {
	if b == nil || b.samples < minSamples {
		return defaultSilenceTimeout
	}
	return max(minSilenceTimeout, time.Duration(b.mean+deviationFactor*b.deviation))
}
