package choice

import (
	"math"
	"time"
)

// Sizes of the latency histogram: bucket i holds latencies around
// latencyFloor * latencyStep^i.
const (
	latencyBuckets = 160
	latencyFloor   = 50 * time.Microsecond
	latencyStep    = 1.1
	// latencyRefresh is how many samples pass between two looks at the
	// quantiles.
	latencyRefresh = 32
	// latencyKeep is how many samples the histogram remembers, about.
	latencyKeep = 4096
)

// latencies remembers the usual latency of a service or data centre. The mean
// leaves out the part of a latency that is far beyond the median.
type latencies struct {
	count  [latencyBuckets]float64
	total  float64
	fresh  int
	low    time.Duration
	median time.Duration
	late   time.Duration
	mean   time.Duration
	bytes  mean // size of answers
}

// tailCut is the greatest part of a latency that counts for the mean, in
// medians.
const tailCut = 8

func (l *latencies) add(d time.Duration) {
	l.count[bucket(d)]++
	l.total++
	l.fresh++
	if l.fresh >= latencyRefresh || l.total < latencyRefresh {
		l.refresh()
	}
}

func (l *latencies) refresh() {
	l.fresh = 0
	l.low = l.quantile(0.1)
	l.median = l.quantile(0.5)
	l.late = l.quantile(0.9)
	l.mean = l.average(tailCut * l.median)
	if l.total < latencyKeep {
		return
	}
	for i := range l.count {
		l.count[i] /= 2
	}
	l.total /= 2
}

func (l *latencies) quantile(q float64) time.Duration {
	n := q * l.total
	for i, c := range l.count {
		n -= c
		if n <= 0 {
			return middle(i)
		}
	}
	return middle(latencyBuckets - 1)
}

func (l *latencies) average(most time.Duration) time.Duration {
	var s float64
	for i, c := range l.count {
		s += c * float64(min(middle(i), most))
	}
	return time.Duration(s / l.total)
}

// known says whether there are enough samples to judge by.
func (l *latencies) known() bool {
	return l.total >= latencyRefresh/2
}

func bucket(d time.Duration) int {
	if d <= latencyFloor {
		return 0
	}
	i := int(math.Log(float64(d)/float64(latencyFloor))/math.Log(latencyStep) + 0.5)
	return min(i, latencyBuckets-1)
}

func middle(i int) time.Duration {
	return middles[i]
}

var middles = newMiddles()

func newMiddles() [latencyBuckets]time.Duration {
	var m [latencyBuckets]time.Duration
	d := float64(latencyFloor)
	for i := range m {
		m[i] = time.Duration(d)
		d *= latencyStep
	}
	return m
}

// kindsMost is how many kinds of request of a service are told apart.
const kindsMost = 64

// kind returns the latencies of a kind; kinds beyond kindsMost are taken
// together.
func (s *Set) kind(name string) *latencies {
	l := s.kinds[name]
	if l != nil {
		return l
	}
	if len(s.kinds) >= kindsMost {
		name = ""
	}
	if l = s.kinds[name]; l != nil {
		return l
	}
	if s.kinds == nil {
		s.kinds = map[string]*latencies{}
	}
	l = &latencies{}
	s.kinds[name] = l
	return l
}
