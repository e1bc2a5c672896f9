package backend

import (
	"sync"
	"sync/atomic"
)

// Parameters of a retry budget, in thousandths of a retry.
const (
	retryCost    = 1000
	successGain  = 100
	budgetStart  = 10 * retryCost
	budgetLimit  = 100 * retryCost
	triesAtMost  = 4
	connsPerTry  = 3
	firstAttempt = 1
)

// budget bounds the retries of one service to a share of its successes.
type budget struct {
	left atomic.Int64
}

// succeeded adds the share that one success gives.
func (b *budget) succeeded() {
	if b.left.Load() < budgetLimit {
		b.left.Add(successGain)
	}
}

// take spends one retry; it returns false when none is left.
func (b *budget) take() bool {
	for {
		n := b.left.Load()
		if n < retryCost {
			return false
		}
		if b.left.CompareAndSwap(n, n-retryCost) {
			return true
		}
	}
}

// budgets holds the budget of each service.
type budgets struct {
	m sync.Map
}

func (b *budgets) of(service string) *budget {
	if v, ok := b.m.Load(service); ok {
		return v.(*budget)
	}
	n := &budget{}
	n.left.Store(budgetStart)
	v, _ := b.m.LoadOrStore(service, n)
	return v.(*budget)
}
