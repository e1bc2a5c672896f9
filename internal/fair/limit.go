package fair

import "time"

// Concurrency limits are in requests, pressures in queued requests per slot.
const (
	initialLimit = 64.0
	minLimit     = 1.0
	maxLimit     = 4096.0
	// targetPressure is the pressure of servers that are busy but not
	// overloaded.
	targetPressure = 0.75
	// maxPressure bounds the pressure of one sample, and is that of a sample
	// whose request the server shed.
	maxPressure = 2.0
	// sampleWeight is the EWMA weight of the latest sample.
	sampleWeight = 1.0 / 24
	// Every adjustInterval the limit grows by increaseStep if it is in use, and
	// shrinks by a ratio of at most maxDecreaseRatio, chosen such that the limit
	// stays at equilibriumLimit while the pressure is at its target.
	increaseStep     = 0.5
	maxDecreaseRatio = 0.25
	adjustInterval   = 10 * time.Millisecond
	equilibriumLimit = 12.0
	// minUsedRatio is the fraction of the limit that must have been in use for
	// it to grow.
	minUsedRatio = 0.7
	// overloadLatencyRatio is the ratio of latency to base latency above which
	// the servers count as overloaded even if their reports say otherwise.
	overloadLatencyRatio = 4.0
	// targetLatencyRatio is the ratio of latency to base latency that stands for
	// targetPressure when there are too few load reports.
	targetLatencyRatio = 2.0
	// baseFallWeight is the EWMA weight of the base latency while the latency is
	// below it.
	baseFallWeight = 0.01
	// initialBaseSamples is how many latencies are averaged for the first base
	// latency.
	initialBaseSamples = 64
	// baseRiseWeight is the EWMA weight of the base latency otherwise.
	baseRiseWeight = 0.00002
	// minReportRatio is the fraction of samples with a report below which only
	// latencies are used.
	minReportRatio = 0.3
)

// limit is an adaptive concurrency limit. It falls while the servers' queues are
// long, and grows while they are short and the limit is in use.
type limit struct {
	value float64 // 0 before the first sample
	// floor is the lower bound set by Gate.SetMinLimit.
	floor       float64
	pressure    float64 // EWMA
	reportRatio float64 // EWMA of the fraction of samples with a report
	latency     time.Duration
	baseLatency time.Duration // latency without overload
	samples     int           // latencies averaged so far, up to initialBaseSamples
	peakRunning int           // since the last adjustment
	adjustedAt  time.Time
}

// current returns the number of requests that may run at once.
func (l *limit) current() int {
	if l.value == 0 {
		return int(max(initialLimit, l.floor))
	}
	return int(max(l.value, l.floor))
}

// observe takes a sample, and adjusts the limit if adjustInterval has passed since
// the last adjustment.
func (l *limit) observe(now time.Time, s Sample, running int) {
	if l.value == 0 {
		l.value = initialLimit
	}
	l.peakRunning = max(l.peakRunning, running)
	l.observeLatency(s.Latency)
	l.observePressure(s)
	if now.Sub(l.adjustedAt) < adjustInterval {
		return
	}
	l.adjustedAt = now
	l.adjust(float64(l.peakRunning))
	l.peakRunning = running
}

// observeLatency updates the latency and the base latency. The base latency is
// the mean of the first samples; after that it follows the latency down quickly
// and up slowly.
func (l *limit) observeLatency(d time.Duration) {
	if d <= 0 {
		return
	}
	if l.samples < initialBaseSamples {
		l.samples++
		l.latency += (d - l.latency) / time.Duration(l.samples)
		l.baseLatency = l.latency
		return
	}
	l.latency += time.Duration(sampleWeight * float64(d-l.latency))
	w := baseRiseWeight
	if l.latency < l.baseLatency {
		w = baseFallWeight
	}
	l.baseLatency += time.Duration(w * float64(l.latency-l.baseLatency))
}

// observePressure updates the pressure and the fraction of samples with a report.
// A shed request counts as a report.
func (l *limit) observePressure(s Sample) {
	p := -1.0
	switch {
	case s.Shed:
		p = maxPressure
	case s.Reported:
		p = min(float64(s.Queued)/float64(max(s.Slots, 1)), maxPressure)
	}
	reported := 0.0
	if p >= 0 {
		reported = 1
		l.pressure += sampleWeight * (p - l.pressure)
	}
	l.reportRatio += sampleWeight * (reported - l.reportRatio)
}

// relativePressure returns the pressure relative to its target.
func (l *limit) relativePressure() float64 {
	r := 1.0
	if l.baseLatency > 0 {
		r = float64(l.latency) / float64(l.baseLatency)
	}
	if l.reportRatio < minReportRatio {
		return (r - 1) / (targetLatencyRatio - 1)
	}
	p := l.pressure / targetPressure
	if r > overloadLatencyRatio {
		p = max(p, r/overloadLatencyRatio)
	}
	return p
}

// adjust moves the limit towards equilibriumLimit divided by the square of the
// relative pressure. All entry VMs see about the same pressure, so their limits
// converge.
func (l *limit) adjust(peak float64) {
	p := l.relativePressure()
	l.value -= l.value * min(maxDecreaseRatio, increaseStep/equilibriumLimit*p*p)
	if peak >= minUsedRatio*max(l.value-1, minLimit) {
		l.value += increaseStep
	}
	l.value = max(min(max(l.value, minLimit), maxLimit), l.floor)
}
