package backend

import (
	"sync"
	"sync/atomic"

	"lentilbend.example/internal/retry"
)

// Limits of retries.
const (
	// The balance of a retry budget counts thousandths of a retry. Ten
	// successes pay for one retry.
	retryCost     = 1000
	successCredit = 100
	initialBudget = 10 * retryCost
	maxBudget     = 100 * retryCost

	// maxAttempts bounds the servers that one request is sent to.
	maxAttempts = 4
	// maxConnsPerAttempt bounds the connections tried to one server while no
	// byte has been written.
	maxConnsPerAttempt = 3
	// firstAttempt is the attempt number of a request that was not repeated
	// before it reached this VM.
	firstAttempt = 1
)

// budget bounds the retries of one service to a ratio of its successes.
type budget struct {
	balance atomic.Int64
}

// addSuccess credits one successful request.
func (b *budget) addSuccess() {
	if b.balance.Load() < maxBudget {
		b.balance.Add(successCredit)
	}
}

// take spends one retry; it returns false when none is left.
func (b *budget) take() bool {
	for {
		n := b.balance.Load()
		if n < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(n, n-retryCost) {
			return true
		}
	}
}

// budgets holds the budget of each service.
type budgets struct {
	m sync.Map
}

// get returns the budget of a service.
func (b *budgets) get(service string) *budget {
	if v, ok := b.m.Load(service); ok {
		return v.(*budget)
	}
	n := &budget{}
	n.balance.Store(initialBudget)
	v, _ := b.m.LoadOrStore(service, n)
	return v.(*budget)
}

// spendRetry takes one retry from the budget; it returns false when none is left.
func (f *forwarding) spendRetry() bool {
	return f.spend(f.retryRequest(f.mayHaveRun))
}

// spendHedge takes one retry for a request whose attempt is still in flight. It may be
// called while the attempt ends.
func (f *forwarding) spendHedge() bool {
	r := f.retryRequest(true)
	r.Hedge = true
	return f.spend(r)
}

func (f *forwarding) spend(r retry.Request) bool {
	if b := f.forwarder.FleetBudget; b != nil {
		return b.Take(f.forwarder.now(), f.exchange.Service.Name, r)
	}
	return f.budget.take()
}

// retryRequest returns what the fleet's budget needs to know of the request.
func (f *forwarding) retryRequest(mayHaveRun bool) retry.Request {
	x := f.exchange
	r := retry.Request{
		Priority:   x.Route.Priority,
		Idempotent: x.Route.Idempotent,
		MayHaveRun: mayHaveRun,
		Left:       x.Deadline.Sub(f.forwarder.now()),
		Objective:  x.Route.Objective,
	}
	if w := x.Workspace; w != nil && w.Priority != nil {
		r.Priority = *w.Priority
	}
	return r
}
