package retry

import (
	"math"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

const (
	// reporterRetention is how long the counts of a silent process are kept. A report
	// that is late by more would count again what was counted before; streams between
	// VMs close after a second without a message.
	reporterRetention = 30 * time.Second
	// needLifetime is how long a denied retry counts as a need: two report intervals,
	// after which a VM that still lacks retries has reported again.
	needLifetime = 500 * time.Millisecond
)

// pool holds what VMs gave to this coordinator of one service.
type pool struct {
	held credits
	// granted counts what it gave to other VMs and to this one.
	granted int64
}

// need is what a VM lacks of one service, in thousandths weighted by cost.
type need struct {
	weight uint64
	since  time.Time
}

func (n *need) add(now time.Time, weight uint64) {
	if weight == 0 {
		return
	}
	n.weight = n.at(now) + weight
	n.since = now
}

// at returns the need that has not expired.
func (n *need) at(now time.Time) uint64 {
	if now.Sub(n.since) >= needLifetime {
		return 0
	}
	return n.weight
}

// reporter is a process that reports to this VM.
type reporter struct {
	heard time.Time
	// number is that of its newest report, and builtAfter the latest time before which
	// that report was certainly not built; zero if that is unknown.
	number     uint64
	builtAfter time.Time
	// answered are the numbers of the last reports modulo the length, and when they
	// were first answered.
	answered [16]answerTime
	uses     map[uint64]*use
}

type answerTime struct {
	number uint64
	at     time.Time
}

// use are the latest counts of a service that a process reported, and what it was
// granted.
type use struct {
	returned, denied uint64
	need             need
	granted          uint64
}

// ReceiveReport adds what a process gave away, and returns the counts of what this VM
// granted to it.
func (b *Budget) ReceiveReport(now time.Time, from member.ID, q *peerpb.FleetReport) []*peerpb.RetryGrant {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reporters == nil {
		return nil
	}
	r := b.reporters[from]
	if r == nil {
		r = &reporter{uses: map[uint64]*use{}}
		b.reporters[from] = r
	}
	r.heard = now
	if q.GetNumber() > r.number {
		b.applyReport(now, r, q)
	}
	var gs []*peerpb.RetryGrant
	for h, u := range r.uses {
		if u.granted > 0 {
			gs = append(gs, &peerpb.RetryGrant{Service: h, Granted: u.granted})
		}
	}
	return gs
}

// applyReport applies the counts of a newer report than those before. What they rose by
// was given away after the last applied report was built, or when this one was built if
// no report lies between the two.
func (b *Budget) applyReport(now time.Time, r *reporter, q *peerpb.FleetReport) {
	built := r.answerTime(q.GetBase())
	since := r.builtAfter
	if q.GetNumber() == r.number+1 {
		since = built
	}
	for _, m := range q.GetRetries() {
		u := r.uses[m.GetService()]
		if u == nil {
			r.uses[m.GetService()] = &use{returned: m.GetReturned(), denied: m.GetDenied()}
			continue
		}
		if n := m.GetReturned(); n > u.returned {
			if !since.IsZero() {
				b.addToPool(now, m.GetService(), credit{amount: int64(n - u.returned), expires: since.Add(poolLifetime)})
			}
			u.returned = n
		}
		if n := m.GetDenied(); n > u.denied {
			u.need.add(now, n-u.denied)
			u.denied = n
		}
		// A process that has not got an answer yet cannot tell which grants are new.
		if !built.IsZero() {
			u.granted += uint64(b.grant(now, m.GetService(), &u.need))
		}
	}
	r.number, r.builtAfter = q.GetNumber(), built
	r.answered[r.number%uint64(len(r.answered))] = answerTime{number: r.number, at: now}
}

// answerTime returns when this process first answered the report of a number; zero if it
// did not, or too long ago. A report that an earlier process at this address answered
// does not arrive here too, since a stream ends with its process.
func (r *reporter) answerTime(number uint64) time.Time {
	a := r.answered[number%uint64(len(r.answered))]
	if a.number != number {
		return time.Time{}
	}
	return a.at
}

// addToPool adds c to the pool of a service, up to what VMs may give away of the slack.
func (b *Budget) addToPool(now time.Time, service uint64, c credit) {
	if !b.fleet.Coordinates || !now.Before(c.expires) {
		return
	}
	p := b.pools[service]
	if p == nil {
		p = &pool{}
		b.pools[service] = p
	}
	p.held.expire(now)
	c.amount = min(c.amount, int64(pooledRatio*b.Slack*unit)-p.held.total())
	p.held.add(c)
}

// grant takes whole retries for a need from the pool of a service and returns them in
// thousandths. While the pool does not meet all needs, it is divided in proportion to
// them, and a part below one retry goes to the greatest need.
func (b *Budget) grant(now time.Time, service uint64, n *need) int64 {
	p, mine := b.pools[service], n.at(now)
	if p == nil || mine == 0 {
		return 0
	}
	p.held.expire(now)
	available := float64(p.held.total() / unit)
	if available == 0 {
		return 0
	}
	sum, greatest := b.needs(now, service)
	part := math.Floor(available * float64(mine) / float64(max(sum, mine)))
	if part == 0 && mine >= greatest {
		part = 1
	}
	g := p.held.take(unit * int64(min(part, math.Ceil(float64(mine)/unit))))
	n.weight = mine - min(mine, uint64(g))
	p.granted += g
	return g
}

// needs returns the sum and the greatest of the needs of all VMs.
func (b *Budget) needs(now time.Time, service uint64) (sum, greatest uint64) {
	count := func(n *need) {
		sum += n.at(now)
		greatest = max(greatest, n.at(now))
	}
	for _, r := range b.reporters {
		if u := r.uses[service]; u != nil {
			count(&u.need)
		}
	}
	for _, v := range b.balances {
		if v.hash == service && !v.reportedTo.IsValid() {
			count(&v.wanted)
		}
	}
	return sum, greatest
}
