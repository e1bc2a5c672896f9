package retry

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// grantor is a coordinator's process as a source of grants.
type grantor struct {
	// heard is when its last answer arrived. number is that of the answer, and reported
	// when the report that it answers was sent.
	heard    time.Time
	number   uint64
	reported time.Time
	// granted are the counts in that answer, by service.
	granted map[uint64]uint64
}

// Report returns the counts for a report to the coordinator of the highest rank.
// answers says that it answered a report lately; without that, nothing is given away.
func (b *Budget) Report(now time.Time, to netip.AddrPort, answers bool) []*peerpb.RetryUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.short = false
	s := b.share(now)
	var us []*peerpb.RetryUse
	for _, v := range b.balances {
		v.settle(now, s)
		// The coordinator takes the counts in the first report as those to compare
		// later ones with.
		if n := v.surplus(now, s); n > 0 && answers && v.reportedTo == to {
			v.giveAway(now, n)
			v.returned[to] += uint64(n)
		}
		v.reportedTo = to
		us = append(us, &peerpb.RetryUse{Service: v.hash, Returned: v.returned[to], Denied: v.denied})
	}
	return us
}

// ReceiveAnswer adds the grants in a coordinator's answer to the report that was sent at
// reported.
//
// The counts of an answer include earlier grants whose answers were lost. The age of a
// grant is at most the time since the last answer that arrived was asked for, or since
// this one was if no report lies between the two.
func (b *Budget) ReceiveAnswer(now, reported time.Time, from member.ID, a *peerpb.FleetAnswer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reported.IsZero() || now.Sub(reported) >= grantLifetime || b.coordinators == nil {
		return
	}
	o := b.coordinators[from]
	if o != nil && a.GetNumber() <= o.number {
		return
	}
	n := &grantor{heard: now, number: a.GetNumber(), reported: reported, granted: map[uint64]uint64{}}
	for _, g := range a.GetRetries() {
		n.granted[g.GetService()] = g.GetGranted()
	}
	b.coordinators[from] = n
	if o == nil {
		return
	}
	since := o.reported
	if a.GetNumber() == o.number+1 {
		since = reported
	}
	b.addGrants(now, since, o, n)
}

// addGrants adds by how much the counts of a coordinator rose from o to n. since is the
// earliest time at which it may have granted that.
func (b *Budget) addGrants(now, since time.Time, o, n *grantor) {
	expires := since.Add(grantLifetime)
	if !now.Before(expires) {
		return
	}
	for _, v := range b.balances {
		x, y := o.granted[v.hash], n.granted[v.hash]
		if y <= x {
			continue
		}
		v.granted.add(credit{amount: int64(y - x), expires: expires})
		v.stats.granted += int64(y - x)
	}
}

// ExchangeLocally takes the place of a report where this VM is itself the coordinator of
// the highest rank.
func (b *Budget) ExchangeLocally(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.short = false
	s := b.share(now)
	for _, v := range b.balances {
		v.settle(now, s)
		v.reportedTo = netip.AddrPort{}
		if n := v.surplus(now, s); n > 0 {
			v.giveAway(now, n)
			b.addToPool(now, v.hash, credit{amount: n, expires: now.Add(poolLifetime)})
		}
		g := b.grant(now, v.hash, &v.wanted)
		v.granted.add(credit{amount: g, expires: now.Add(grantLifetime)})
		v.stats.granted += g
	}
}

// dropSilent forgets processes that were not heard for long. After twice grantLifetime,
// no answer is valid that was sent before the last one that was heard.
func (b *Budget) dropSilent(now time.Time) {
	for id, c := range b.coordinators {
		if now.Sub(c.heard) >= 2*grantLifetime {
			delete(b.coordinators, id)
		}
	}
	for id, r := range b.reporters {
		if now.Sub(r.heard) >= reporterRetention {
			delete(b.reporters, id)
		}
	}
}
