package admission

import (
	"math"
	"time"
)

// kind is what the gate knows of a kind of request. Kinds of different priorities are
// distinct.
type kind struct {
	name     string
	priority int
	// arrived and admitted are recent counts. Admitted requests that were not served
	// no longer count.
	arrived, admitted rate
	// tokens limits the admissions close to the threshold.
	tokens   float64
	refilled time.Time
	// wait is the recent wait of admitted requests, as of waitAt.
	wait   time.Duration
	waitAt time.Time
	// waiting is the number of waiting requests.
	waiting int
	// The fields below are set by Gate.assess.
	ratio     float64 // fraction of the recent requests that were served
	starved   bool    // served much less often than another kind
	rank      int     // number of more urgent priorities
	threshold float64 // occupancy around which requests are admitted
}

// Parameters of what is learned of a kind of request.
const (
	// rateWindow is the time over which arrivals count. A small VM receives less than
	// one request of a kind per second.
	rateWindow = 10 * time.Second
	// servedPrior is added to the counts of a served ratio, so that it is near 1
	// after a few requests.
	servedPrior = 2.0
	// waitWeight is the EWMA weight of the latest wait, and waitDecayTime the time
	// after which an earlier wait no longer keeps new requests from waiting.
	waitWeight    = 0.3
	waitDecayTime = 5 * time.Second
	// expiredWaitFactor multiplies the wait of a request that was refused while it
	// waited: it would have waited longer.
	expiredWaitFactor = 1.5
	// maxKinds bounds the kinds of request of a service; the table gives their names.
	maxKinds = 64
)

// findKind returns the kind of a request.
func (g *Gate) findKind(r Request) *kind {
	if g.kinds == nil {
		g.kinds = map[string]*kind{}
	}
	k := g.kinds[r.Kind]
	if k == nil {
		if len(g.kinds) >= maxKinds {
			clear(g.kinds)
		}
		k = &kind{name: r.Kind, tokens: 1}
		g.kinds[r.Kind] = k
	}
	k.priority = r.Priority
	return k
}

// recordEnd counts the end of an admitted request.
func (k *kind) recordEnd(now time.Time, served bool) {
	if !served {
		k.admitted.add(now, -1)
	}
}

// recordWait adds the wait of a request that was admitted or refused.
func (k *kind) recordWait(now time.Time, d time.Duration) {
	w := k.recentWait(now)
	k.wait = w + time.Duration(waitWeight*float64(d-w))
	k.waitAt = now
}

// recentWait returns the recent wait, decayed to now.
func (k *kind) recentWait(now time.Time) time.Duration {
	return time.Duration(float64(k.wait) * math.Exp(-now.Sub(k.waitAt).Seconds()/waitDecayTime.Seconds()))
}

// servedRatio returns the fraction of the recent requests that were served. Those that
// wait or run count as served.
func (k *kind) servedRatio(now time.Time) float64 {
	return min(1, (k.admitted.value(now)+float64(k.waiting)+servedPrior)/(k.arrived.value(now)+servedPrior))
}

// rate is a count that decays over rateWindow.
type rate struct {
	count float64
	at    time.Time
}

func (r *rate) add(now time.Time, n float64) {
	r.count = max(0, r.value(now)+n)
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	if d := now.Sub(r.at); d > 0 {
		return r.count * math.Exp(-d.Seconds()/rateWindow.Seconds())
	}
	return r.count
}

// perSecond returns the count per second.
func (r *rate) perSecond(now time.Time) float64 {
	return r.value(now) / rateWindow.Seconds()
}
