package admission

import (
	"cmp"
	"slices"
	"time"
)

// Worth of a response to a caller, by which waiting requests are ordered.
const (
	// priorityRatio is the worth of a request relative to one of the next more
	// urgent priority. It is above lateRatio, so that a request that can be on time
	// goes before a more urgent one that can't.
	priorityRatio = 0.25
	// lateRatio is the worth of a response after the objective.
	lateRatio = 0.1
	// objectiveMargin is the part of the time until the objective within which a
	// response must be expected. The rest covers the variation of the work, as in
	// the choice of a server.
	objectiveMargin = 0.7
)

// worth returns what serving t now is worth, and with it what refusing it costs.
func (t *Ticket) worth(now time.Time) float64 {
	if t.kind.starved {
		return 1
	}
	w := 1.0
	for range t.kind.rank {
		w *= priorityRatio
	}
	if t.missesObjective(now) {
		w *= lateRatio
	}
	return w
}

// missesObjective reports whether t is expected to miss its objective even if it starts
// now.
func (t *Ticket) missesObjective(now time.Time) bool {
	return !t.request.WantedBy.IsZero() && float64(t.request.WantedBy.Sub(now))*objectiveMargin < float64(t.work)
}

// compare orders waiting requests: those that are worth more first, then those with the
// earlier objective.
func compare(now time.Time, a, b *Ticket) int {
	if c := cmp.Compare(b.worth(now), a.worth(now)); c != 0 {
		return c
	}
	x, y := a.request.WantedBy, b.request.WantedBy
	switch {
	case x.Equal(y):
		return a.arrived.Compare(b.arrived)
	case x.IsZero():
		return 1
	case y.IsZero():
		return -1
	}
	return x.Compare(y)
}

// admitWaiting admits waiting requests in the order of compare. A kind that may not
// be admitted now doesn't block the others, whose thresholds may be higher.
func (g *Gate) admitWaiting(now time.Time) {
	slices.SortStableFunc(g.waiting, func(a, b *Ticket) int { return compare(now, a, b) })
	left := g.waiting[:0]
	for _, t := range g.waiting {
		if !g.mayAdmit(now, t) {
			left = append(left, t)
			continue
		}
		g.admit(now, t)
	}
	clear(g.waiting[len(left):])
	g.waiting = left
}

// admitAll admits all waiting requests, since the capacity is no longer known.
func (g *Gate) admitAll(now time.Time) {
	for _, t := range g.waiting {
		g.admit(now, t)
	}
	g.waiting = nil
}

// admit admits a request that the caller removes from waiting.
func (g *Gate) admit(now time.Time, t *Ticket) {
	t.state = ticketRunning
	t.kind.waiting--
	g.running++
	g.counts.admitted++
	g.capacity.Busy++
	t.kind.recordWait(now, now.Sub(t.arrived))
	t.kind.admitted.add(now, 1)
	g.notifications = append(g.notifications, notification{t, t.request.Notify, Admitted{}})
}

// dropNotification removes the notification of t, the request that was admitted last
// but for those that went before it.
func (g *Gate) dropNotification(t *Ticket) {
	for i := len(g.notifications) - 1; i >= 0; i-- {
		if g.notifications[i].ticket == t {
			g.notifications = slices.Delete(g.notifications, i, i+1)
			return
		}
	}
}

// refuseHopeless refuses the waiting requests that can't be served in time.
func (g *Gate) refuseHopeless(now time.Time) {
	for _, t := range slices.Clone(g.waiting) {
		if g.isHopeless(now, t) {
			g.refuse(now, t)
		}
	}
}

// isHopeless reports whether t is not expected to start in time: its deadline less its
// processing time is before the expected start, or it misses its objective and there is
// only capacity for more urgent requests. Its caller may retry at another VM.
func (g *Gate) isHopeless(now time.Time, t *Ticket) bool {
	latest := t.request.Deadline
	if latest.IsZero() {
		latest = t.request.WantedBy
	}
	if latest.IsZero() {
		return now.Sub(t.arrived) >= maxWaitWithoutDeadline
	}
	latest = latest.Add(-t.work)
	if !now.Before(latest) || t.missesObjective(now) && g.capacity.occupancy() > t.kind.threshold {
		return true
	}
	return now.Add(g.expectedWait(now, t.kind)).After(latest)
}

// maxWaitWithoutDeadline bounds the wait of a request without deadline and objective.
const maxWaitWithoutDeadline = time.Second

// leastWorth returns the waiting request whose refusal costs least.
func (g *Gate) leastWorth(now time.Time) *Ticket {
	return slices.MaxFunc(g.waiting, func(a, b *Ticket) int { return compare(now, a, b) })
}

// refuse refuses a waiting request.
func (g *Gate) refuse(now time.Time, t *Ticket) {
	g.removeWaiting(t)
	t.state = ticketEnded
	g.notifications = append(g.notifications, notification{notify: t.request.Notify, decision: g.refusal(now, t)})
}

// refusal counts a refusal of t for lack of capacity and returns it.
func (g *Gate) refusal(now time.Time, t *Ticket) Refused {
	if w := now.Sub(t.arrived); w > 0 {
		t.kind.recordWait(now, time.Duration(expiredWaitFactor*float64(w)))
	}
	r := Refused{Cause: CauseRoomElsewhere}
	if g.capacity.occupancy() >= 1 {
		r.Cause = CauseNoRoom
	}
	r.RetryAfter = spread(g.expectedWait(now, t.kind), g.Rand)
	return g.count(r)
}

// count counts a refusal.
func (g *Gate) count(r Refused) Refused {
	g.counts.refused[r.Cause]++
	return r
}

func (g *Gate) addWaiting(t *Ticket) {
	g.waiting = append(g.waiting, t)
	t.kind.waiting++
}

func (g *Gate) removeWaiting(t *Ticket) {
	if i := slices.Index(g.waiting, t); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		t.kind.waiting--
	}
}
