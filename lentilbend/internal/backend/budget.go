package backend

import (
	"sync"
	"sync/atomic"
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

// budget bounds the retries of one service to a ratio of its successes or
// requests.
type budget struct {
	balance atomic.Int64
}

// addSuccess credits one successful request.
func (b *budget) addSuccess() {
	if b.balance.Load() < maxBudget {
		b.balance.Add(successCredit)
	}
}

// FleetBudget configures retry budgets whose bound holds over all VMs together.
type FleetBudget struct {
	// RetryRatio is how many retries each request of a service adds.
	RetryRatio float64
	// MaxSaved returns how many unused retries of a service this VM may save.
	MaxSaved func() float64
}

// addRequest credits one request.
func (b *budget) addRequest(s FleetBudget) {
	limit := int64(s.MaxSaved() * retryCost)
	if n := b.balance.Load() + int64(s.RetryRatio*retryCost); n <= limit {
		b.balance.Store(n)
		return
	}
	b.balance.Store(limit)
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

// get returns the budget of a service, which begins with the balance initial.
func (b *budgets) get(service string, initial int64) *budget {
	if v, ok := b.m.Load(service); ok {
		return v.(*budget)
	}
	n := &budget{}
	n.balance.Store(initial)
	v, _ := b.m.LoadOrStore(service, n)
	return v.(*budget)
}
