package retry

import (
	"net/netip"
	"time"
)

// balance is this VM's budget of one service, in thousandths of a retry.
type balance struct {
	hash uint64
	// own is what this VM earned and did not spend.
	own int64
	// refilled is when the share's refill was last added.
	refilled time.Time
	// granted are unused retries from coordinators.
	granted credits
	// charged are retries that this VM gave away and that may still exist.
	charged credits
	// returned counts what was given to each coordinator.
	returned map[netip.AddrPort]uint64
	// reportedTo is the coordinator that the last report went to.
	reportedTo netip.AddrPort
	// denied counts denied retries, weighted by their cost.
	denied uint64
	// deniedCost is the greatest cost of a retry that was denied within scarcityTime, and
	// deniedAt when that was.
	deniedCost float64
	deniedAt   time.Time
	// wanted is what a coordinator on this VM has to grant to it.
	wanted need
	stats  counts
}

// counts are totals since the start of the process.
type counts struct {
	returned, granted int64
	denied            [reasonCount]uint64
}

// settle adds the refill, and drops what expired or exceeds the share.
func (v *balance) settle(now time.Time, s share) {
	v.granted.expire(now)
	v.charged.expire(now)
	if s.refill <= 0 {
		v.refilled = now
	} else if n := int64(s.refill * now.Sub(v.refilled).Seconds()); n > 0 {
		v.own += n
		v.refilled = v.refilled.Add(time.Duration(float64(n) / s.refill * float64(time.Second)))
	}
	v.own = min(v.own, max(0, s.limit-v.charged.total()))
}

// isScarce reports whether a retry was denied within scarcityTime.
func (v *balance) isScarce(now time.Time) bool {
	return !v.deniedAt.IsZero() && now.Sub(v.deniedAt) < scarcityTime
}

// reserve returns what a retry of r must leave for requests of higher cost, if one was
// denied within scarcityTime.
func (v *balance) reserve(now time.Time, s share, r Request) int64 {
	if !v.isScarce(now) {
		return 0
	}
	cost := r.Cost()
	if r.Hedge {
		cost = 0
	}
	most := min(unit, max(0, s.limit-unit))
	return int64(max(0, v.deniedCost-cost) * float64(most))
}

// spend spends one retry on r, granted ones first because they expire. If it cannot, it
// returns false and counts the denial.
func (v *balance) spend(now time.Time, s share, r Request) bool {
	have := v.own + v.granted.total()
	if have >= unit+v.reserve(now, s, r) {
		v.own -= unit - v.granted.take(unit)
		return true
	}
	if r.Hedge {
		v.stats.denied[reasonHedge]++
		return false
	}
	if have >= unit {
		v.stats.denied[reasonReserve]++
	} else {
		v.stats.denied[reasonEmpty]++
	}
	v.deny(now, r.Cost())
	return false
}

// deny records a denied retry.
func (v *balance) deny(now time.Time, cost float64) {
	w := uint64(unit * cost)
	v.denied += w
	v.wanted.add(now, w)
	if !v.isScarce(now) || cost >= v.deniedCost {
		v.deniedCost, v.deniedAt = cost, now
	}
}

// surplus returns what this VM can give away. A VM that lacked retries a short time ago
// gives none.
func (v *balance) surplus(now time.Time, s share) int64 {
	if v.isScarce(now) {
		return 0
	}
	return max(0, min(v.own-s.keep, s.pooled-v.charged.total()))
}

// giveAway deducts n, which then counts against the share until it cannot exist any more.
func (v *balance) giveAway(now time.Time, n int64) {
	v.own -= n
	v.charged.add(credit{amount: n, expires: now.Add(lifetime)})
	v.stats.returned += n
}
