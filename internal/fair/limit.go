package fair

import "time"

// Bounds and steps of the learned limit.
const (
	limitFirst = 64.0
	limitLeast = 1.0
	limitMost  = 4096.0
	// pressureTarget is how many requests wait in the servers for each slot
	// when the limit is right.
	pressureTarget = 0.75
	pressureMost   = 2.0
	// pressureWeight is the weight of the latest sample.
	pressureWeight = 1.0 / 24
	// stepUp is what a step adds to a limit in use. A step takes off so much
	// that the limit stays at limitRight while the pressure is at its target.
	stepUp      = 0.5
	stepDownMax = 0.25
	stepEvery   = 10 * time.Millisecond
	limitRight  = 12.0
	// usedPart is the part of the limit that must be used for it to grow.
	usedPart = 0.7
	// latencyHigh is by how many times the base the latency must grow to
	// speak of overload against the reports.
	latencyHigh = 4.0
	// latencyFull is by how many times the base the latency grows when the
	// pressure is at its target, without reports.
	latencyFull = 2.0
	baseFall    = 0.01
	// baseSamples is how many latencies make the first base.
	baseSamples = 64
	baseRise    = 0.00002
	// reportsKnown is the part of samples with a report that must be reached
	// for reports to count.
	reportsKnown = 0.3
)

// limit learns how many requests may run at once. It falls while the servers'
// queues are long, and grows while it is used and they are short.
type limit struct {
	value float64
	// least is what the limit does not fall below.
	least    float64
	pressure float64
	reports  float64 // part of the samples with a report
	latency  time.Duration
	base     time.Duration // latency without overload
	samples  int
	peak     int
	stepped  time.Time
}

func (l *limit) whole() int {
	if l.value == 0 {
		return int(max(limitFirst, l.least))
	}
	return int(max(l.value, l.least))
}

func (l *limit) observe(now time.Time, s Sample, running int) {
	if l.value == 0 {
		l.value = limitFirst
	}
	l.peak = max(l.peak, running)
	l.time(s.Latency)
	l.press(s)
	if now.Sub(l.stepped) < stepEvery {
		return
	}
	l.stepped = now
	l.step(float64(l.peak))
	l.peak = running
}

// time takes a latency. The base is the mean of the first ones, and then follows
// the mean down quickly and up slowly.
func (l *limit) time(d time.Duration) {
	if d <= 0 {
		return
	}
	if l.samples < baseSamples {
		l.samples++
		l.latency += (d - l.latency) / time.Duration(l.samples)
		l.base = l.latency
		return
	}
	l.latency += time.Duration(pressureWeight * float64(d-l.latency))
	w := baseRise
	if l.latency < l.base {
		w = baseFall
	}
	l.base += time.Duration(w * float64(l.latency-l.base))
}

func (l *limit) press(s Sample) {
	p := -1.0
	switch {
	case s.Shed:
		p = pressureMost
	case s.Reported:
		p = min(float64(s.Queued)/float64(max(s.Slots, 1)), pressureMost)
	}
	known := 0.0
	if p >= 0 {
		known = 1
		l.pressure += pressureWeight * (p - l.pressure)
	}
	l.reports += pressureWeight * (known - l.reports)
}

// load returns the pressure in units of its target.
func (l *limit) load() float64 {
	r := 1.0
	if l.base > 0 {
		r = float64(l.latency) / float64(l.base)
	}
	if l.reports < reportsKnown {
		return (r - 1) / (latencyFull - 1)
	}
	p := l.pressure / pressureTarget
	if r > latencyHigh {
		p = max(p, r/latencyHigh)
	}
	return p
}

// step moves the limit towards limitRight over the square of the pressure. All
// entry VMs see about the same pressure, so their limits come out equal.
func (l *limit) step(peak float64) {
	p := l.load()
	l.value -= l.value * min(stepDownMax, stepUp/limitRight*p*p)
	if peak >= usedPart*max(l.value-1, limitLeast) {
		l.value += stepUp
	}
	l.value = max(min(max(l.value, limitLeast), limitMost), l.least)
}
