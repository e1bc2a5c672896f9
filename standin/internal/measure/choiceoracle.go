package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// oracle chooses by the true state of all servers, the requests on their way
// counted in.
type oracle struct {
	servers []*simServer
	rand    *rand.Rand
}

func (o *oracle) choose(centre int) *simServer {
	var best *simServer
	least := math.Inf(1)
	for _, i := range o.rand.Perm(len(o.servers)) {
		v := o.servers[i]
		if e := o.expected(v, centre); e < least {
			best, least = v, e
		}
	}
	return best
}

// expected is the time until a request given to v now is likely to end.
func (o *oracle) expected(v *simServer, centre int) float64 {
	if v.failing || v.down {
		return math.Inf(1)
	}
	n := len(v.running) + len(v.queue) + v.coming
	wait := max(0, n-v.slots+1)
	t := float64(serviceMean) / v.speed * (1 + float64(wait)/float64(v.slots))
	return t + 2*float64(delay(centre, v.centre))
}

// samples are the latencies of a run after its warm-up.
type samples struct {
	whole    durations
	added    durations
	requests int
	failures int
}

func (s *samples) add(a arrival, d time.Duration, ok bool) {
	if a.at < choiceWarmup {
		return
	}
	s.requests++
	if !ok {
		s.failures++
		return
	}
	s.whole = append(s.whole, d)
	s.added = append(s.added, d-a.work)
}

// durations are latencies in any order.
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
