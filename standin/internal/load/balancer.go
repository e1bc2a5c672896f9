package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// readyTimeout bounds one readiness check.
const readyTimeout = time.Second

// balancer simulates the platform's load balancer: it picks entry VMs at random
// among those that were ready at the last readiness check.
type balancer struct {
	entries []Entry
	// ready is nil before the first check.
	ready atomic.Pointer[[]Entry]
}

// run checks the readiness of all entry VMs every interval until ctx ends. With
// an interval of 0 it never does, and pick chooses among all.
func (b *balancer) run(ctx context.Context, interval time.Duration) {
	if interval <= 0 {
		return
	}
	c := &http.Client{Timeout: readyTimeout}
	defer c.CloseIdleConnections()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		b.updateReady(ctx, c)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// updateReady checks all entry VMs in parallel and stores those that are ready.
func (b *balancer) updateReady(ctx context.Context, c *http.Client) {
	isReady := make([]bool, len(b.entries))
	done := make(chan struct{}, len(b.entries))
	for i, e := range b.entries {
		go func() {
			isReady[i] = checkReady(ctx, c, e)
			done <- struct{}{}
		}()
	}
	for range b.entries {
		<-done
	}
	var es []Entry
	for i, e := range b.entries {
		if isReady[i] {
			es = append(es, e)
		}
	}
	if ctx.Err() == nil {
		b.ready.Store(&es)
	}
}

func checkReady(ctx context.Context, c *http.Client, e Entry) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Operator.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	a, err := c.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// pick returns a random entry VM among the ready ones, or among all if none is
// ready.
func (b *balancer) pick() Entry {
	es := b.entries
	if p := b.ready.Load(); p != nil && len(*p) > 0 {
		es = *p
	}
	return es[rand.IntN(len(es))]
}
