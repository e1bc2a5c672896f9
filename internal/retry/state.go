package retry

import (
	"slices"
	"strings"
	"time"
)

// Reasons for which a retry is denied.
const (
	// reasonEmpty means that the balance has no retry.
	reasonEmpty = iota
	// reasonReserve means that it has only the reserve for requests of higher cost.
	reasonReserve
	// reasonHedge means that it has too little for a hedged request.
	reasonHedge
	reasonCount
)

// State is the budget of one service, in retries.
type State struct {
	Service string
	// Held is what this VM may spend, Granted the part of it that coordinators granted,
	// and GivenAway what it gave to coordinators and may still exist.
	Held, Granted, GivenAway float64
	// Pooled is what this VM holds as a coordinator.
	Pooled float64
	// Limit is how many retries this VM may save.
	Limit float64
	// ReturnedTotal, ReceivedTotal and PoolGrantedTotal count since the start what was
	// given to coordinators, got from them, and granted to VMs as a coordinator.
	ReturnedTotal, ReceivedTotal, PoolGrantedTotal float64
	Denied                                         Denied
}

// Denied counts denied retries since the start: for an empty balance, for the reserve for
// requests of higher cost, and hedged requests.
type Denied struct {
	Empty, Reserve, Hedge uint64
}

// States returns the state of each service with requests, ordered by name.
func (b *Budget) States(now time.Time) []State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.share(now)
	var ss []State
	for name, v := range b.balances {
		v.settle(now, s)
		t := State{
			Service:       name,
			Held:          retries(v.own + v.granted.total()),
			Granted:       retries(v.granted.total()),
			GivenAway:     retries(v.charged.total()),
			Limit:         retries(s.limit),
			ReturnedTotal: retries(v.stats.returned),
			ReceivedTotal: retries(v.stats.granted),
			Denied: Denied{
				Empty:   v.stats.denied[reasonEmpty],
				Reserve: v.stats.denied[reasonReserve],
				Hedge:   v.stats.denied[reasonHedge],
			},
		}
		if p := b.pools[v.hash]; p != nil {
			p.held.expire(now)
			t.Pooled, t.PoolGrantedTotal = retries(p.held.total()), retries(p.granted)
		}
		ss = append(ss, t)
	}
	slices.SortFunc(ss, func(a, b State) int { return strings.Compare(a.Service, b.Service) })
	return ss
}

// retries converts thousandths.
func retries(n int64) float64 {
	return float64(n) / unit
}

// Held returns how many unused retries of a service this VM may use, and whether the
// service had a request yet. It changes nothing.
func (b *Budget) Held(now time.Time, service string) (float64, bool) {
	for _, s := range b.States(now) {
		if s.Service == service {
			return s.Held, true
		}
	}
	return 0, false
}
