package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// oracle chooses servers with exact knowledge of their state and of the requests
// in transit to them. It serves as a near-optimal reference for the policies.
type oracle struct {
	servers []*simServer
	rand    *rand.Rand
}

func (o *oracle) choose(centre int) *simServer {
	var best *simServer
	lowest := math.Inf(1)
	for _, i := range o.rand.Perm(len(o.servers)) {
		v := o.servers[i]
		if e := o.expectedLatency(v, centre); e < lowest {
			best, lowest = v, e
		}
	}
	return best
}

// expectedLatency returns the expected latency of a request sent to v now, in
// nanoseconds.
func (o *oracle) expectedLatency(v *simServer, centre int) float64 {
	if v.failing || v.down {
		return math.Inf(1)
	}
	n := len(v.running) + len(v.queue) + v.inTransit
	wait := max(0, n-v.slots+1)
	t := float64(meanServiceTime) / v.speed * (1 + float64(wait)/float64(v.slots))
	return t + 2*float64(networkDelay(centre, v.centre))
}

// latencySamples counts the requests that arrived after the warm-up and holds the
// latencies of those that did not fail.
type latencySamples struct {
	total    durations
	added    durations // total minus the service time at full speed
	requests int
	failures int
}

func (s *latencySamples) add(a arrival, d time.Duration, ok bool) {
	if a.at < choiceWarmup {
		return
	}
	s.requests++
	if !ok {
		s.failures++
		return
	}
	s.total = append(s.total, d)
	s.added = append(s.added, d-a.work)
}

// durations is a list of latencies in any order.
type durations []time.Duration

// quantile sorts d and returns its quantile q.
func (d durations) quantile(q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
