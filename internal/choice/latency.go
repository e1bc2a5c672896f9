package choice

import (
	"math"
	"time"
)

// Parameters of the latency histogram: bucket i holds latencies around
// minLatency * bucketRatio^i.
const (
	bucketCount = 160
	minLatency  = 50 * time.Microsecond
	bucketRatio = 1.1
	// refreshSamples is the number of samples after which the percentiles are
	// computed again.
	refreshSamples = 32
	// maxSamples is the weight of the histogram at which all counts are halved,
	// so that old samples lose weight.
	maxSamples = 4096
)

// latencyStats holds the distribution of recent latencies of a service, a kind
// of request or a data centre.
type latencyStats struct {
	count        [bucketCount]float64
	total        float64
	sinceRefresh int
	p10          time.Duration
	median       time.Duration
	p90          time.Duration
	mean         time.Duration // of latencies cut to tailCutoff medians
	bytes        runningMean   // size of answers
	// work is the time in nanoseconds that an idle server needs at its usual
	// pace. It is learned from servers that report their pace.
	work runningMean
}

// tailCutoff is the latency, in medians, to which greater ones are cut for the
// mean.
const tailCutoff = 8

func (l *latencyStats) add(d time.Duration) {
	l.count[bucketIndex(d)]++
	l.total++
	l.sinceRefresh++
	if l.sinceRefresh >= refreshSamples || l.total < refreshSamples {
		l.refresh()
	}
}

func (l *latencyStats) refresh() {
	l.sinceRefresh = 0
	l.p10 = l.quantile(0.1)
	l.median = l.quantile(0.5)
	l.p90 = l.quantile(0.9)
	l.mean = l.cutMean(tailCutoff * l.median)
	if l.total < maxSamples {
		return
	}
	for i := range l.count {
		l.count[i] /= 2
	}
	l.total /= 2
}

func (l *latencyStats) quantile(q float64) time.Duration {
	n := q * l.total
	for i, c := range l.count {
		n -= c
		if n <= 0 {
			return bucketLatency(i)
		}
	}
	return bucketLatency(bucketCount - 1)
}

// cutMean returns the mean with latencies above limit counted as limit.
func (l *latencyStats) cutMean(limit time.Duration) time.Duration {
	var s float64
	for i, c := range l.count {
		s += c * float64(min(bucketLatency(i), limit))
	}
	return time.Duration(s / l.total)
}

// known reports whether there are enough samples to use the statistics.
func (l *latencyStats) known() bool {
	return l.total >= refreshSamples/2
}

func bucketIndex(d time.Duration) int {
	if d <= minLatency {
		return 0
	}
	i := int(math.Log(float64(d)/float64(minLatency))/math.Log(bucketRatio) + 0.5)
	return min(i, bucketCount-1)
}

func bucketLatency(i int) time.Duration {
	return bucketLatencies[i]
}

var bucketLatencies = newBucketLatencies()

func newBucketLatencies() [bucketCount]time.Duration {
	var m [bucketCount]time.Duration
	d := float64(minLatency)
	for i := range m {
		m[i] = time.Duration(d)
		d *= bucketRatio
	}
	return m
}

// maxKinds bounds the kinds of request of a service with their own statistics.
const maxKinds = 64

// kindStats returns the statistics of a kind of request. Kinds beyond maxKinds
// share one.
func (s *Set) kindStats(name string) *latencyStats {
	l := s.kinds[name]
	if l != nil {
		return l
	}
	if len(s.kinds) >= maxKinds {
		name = ""
	}
	if l = s.kinds[name]; l != nil {
		return l
	}
	if s.kinds == nil {
		s.kinds = map[string]*latencyStats{}
	}
	l = &latencyStats{}
	s.kinds[name] = l
	return l
}
