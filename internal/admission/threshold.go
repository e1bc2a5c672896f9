package admission

import (
	"slices"
	"time"
)

// Parameters of the thresholds, as occupancy. They were chosen by the simulation of the
// tests. A quarter of its servers is slow; at 0.8 of the capacity the occupancy is about
// 1, at 1.3 about 1.4.
const (
	// baseThreshold is the threshold of a kind without more urgent requests.
	baseThreshold = 1.5
	// maxReserve is by how much the threshold of a kind is lower if all other
	// requests are more urgent.
	maxReserve = 0.35
	// band is the distance from the threshold within which a VM admits its own share:
	// all requests below it, none above.
	band = 0.3
	// heldThreshold is the threshold of a kind that was served more often than a more
	// urgent one. With 1.0, downloads were served more often than writes.
	heldThreshold = 0.8
)

// Parameters of the share of a VM and of fairness between kinds.
const (
	// maxTokens bounds the admissions that a VM saves up.
	maxTokens = 2.0
	// maxOwnShare bounds the share of one VM.
	maxOwnShare = 0.5
	// minServedRatio is how often each kind is served relative to the others. The
	// bound is a quarter. With 0.32, the least urgent kind got 0.246 to 0.27 at twice the
	// capacity, since a VM counts retries as further requests.
	minServedRatio = 0.4
	// servedTolerance is by how much a kind may be served more often than a more
	// urgent one. With 0.02, the spread of a VM's counts held back requests that there was
	// capacity for.
	servedTolerance = 0.05
)

// assess sets what the thresholds and the order of the kinds follow from.
func (g *Gate) assess(now time.Time) {
	all := 0.0
	for _, k := range g.kinds {
		k.ratio = k.servedRatio(now)
		all += g.load(now, k)
	}
	for _, k := range g.kinds {
		g.assessKind(now, k, all)
	}
}

// load returns the slots that the requests of a kind would recently have taken.
func (g *Gate) load(now time.Time, k *kind) float64 {
	return k.arrived.perSecond(now) * g.workOf(k.name).Seconds()
}

// assessKind sets the rank and the threshold of a kind. The threshold is lower than
// baseThreshold by a reserve for more urgent requests, in proportion to their part of
// the load, so that nothing is reserved for requests that don't come.
func (g *Gate) assessKind(now time.Time, k *kind, all float64) {
	best, reserved := 0.0, 0.0
	held := false
	var more []int // more urgent priorities
	for _, o := range g.kinds {
		if o != k {
			best = max(best, o.ratio)
		}
		if o.priority < k.priority {
			reserved += g.load(now, o)
			held = held || o.ratio < k.ratio-servedTolerance
			if !slices.Contains(more, o.priority) {
				more = append(more, o.priority)
			}
		}
	}
	k.rank = len(more)
	k.starved = k.ratio < minServedRatio*best
	k.threshold = baseThreshold
	switch {
	case k.starved || all <= 0:
	case held:
		k.threshold = heldThreshold
	default:
		k.threshold -= maxReserve * reserved / all
	}
}

// mayAdmit reports whether a request may be admitted now, and takes a token close to the
// threshold. One that misses its objective is admitted only well below the threshold.
func (g *Gate) mayAdmit(now time.Time, t *Ticket) bool {
	k := t.kind
	if k.rank == 0 {
		return true
	}
	late := t.missesObjective(now)
	if k.starved && !late {
		return true
	}
	x := (k.threshold - g.capacity.occupancy()) / band
	g.refill(now, k, x)
	switch {
	case x >= 1:
		return true
	case late || x <= -1 || k.tokens < 1:
		return false
	}
	k.tokens--
	return true
}

// refill adds tokens for the time since the last call: this VM's share of the rate at
// which the servers process requests while the occupancy is at the threshold, less
// above it and more below.
func (g *Gate) refill(now time.Time, k *kind, x float64) {
	d := now.Sub(k.refilled)
	k.refilled = now
	if d <= 0 || x <= -1 {
		return
	}
	k.tokens = min(maxTokens, k.tokens+g.ownRate(now)*(1+x)*d.Seconds())
}

// ownRate returns this VM's share of the rate at which the servers process requests: an
// equal one, or more if its part of the demand is greater.
func (g *Gate) ownRate(now time.Time) float64 {
	w := g.capacity.Work.Seconds()
	if w <= 0 {
		return 0
	}
	share := 1 / float64(max(1, g.capacity.VMs))
	if running := g.capacity.Busy / w; running > 0 {
		share = max(share, min(maxOwnShare, g.arrivals.perSecond(now)/running))
	}
	return share * g.capacity.Slots / w
}

// expectedWait returns the time until a request of a kind that arrives now is expected to
// be admitted: until the servers have processed what is above the threshold, but at
// least as long as recent requests of the kind waited.
func (g *Gate) expectedWait(now time.Time, k *kind) time.Duration {
	excess := max(0, g.capacity.occupancy()-k.threshold)
	return max(time.Duration(excess*float64(g.capacity.Work)), k.recentWait(now))
}
