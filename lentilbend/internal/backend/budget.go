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

// Budget bounds the retries of a service where all VMs share one bound.
type Budget struct {
	// Part is how many retries each request of a service adds.
	Part float64
	// Most returns how many retries may be saved up here.
	Most func() float64
}

// asked adds the share that one request gives.
func (b *budget) asked(s Budget) {
	most := int64(s.Most() * retryCost)
	if n := b.left.Load() + int64(s.Part*retryCost); n <= most {
		b.left.Store(n)
		return
	}
	b.left.Store(most)
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

func (b *budgets) of(service string, start int64) *budget {
	if v, ok := b.m.Load(service); ok {
		return v.(*budget)
	}
	n := &budget{}
	n.left.Store(start)
	v, _ := b.m.LoadOrStore(service, n)
	return v.(*budget)
}
