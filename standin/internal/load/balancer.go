package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// readyTimeout is how long the balancer waits for a readiness answer.
const readyTimeout = time.Second

// balancer picks entry VMs at random among those last seen ready.
type balancer struct {
	entries []Entry
	ready   atomic.Pointer[[]Entry]
}

// run looks at the readiness every interval until ctx ends.
func (b *balancer) run(ctx context.Context, interval time.Duration) {
	if interval <= 0 {
		return
	}
	c := &http.Client{Timeout: readyTimeout}
	defer c.CloseIdleConnections()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		b.look(ctx, c)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *balancer) look(ctx context.Context, c *http.Client) {
	got := make([]bool, len(b.entries))
	done := make(chan struct{}, len(b.entries))
	for i, e := range b.entries {
		go func() {
			got[i] = readable(ctx, c, e)
			done <- struct{}{}
		}()
	}
	for range b.entries {
		<-done
	}
	var es []Entry
	for i, e := range b.entries {
		if got[i] {
			es = append(es, e)
		}
	}
	if ctx.Err() == nil {
		b.ready.Store(&es)
	}
}

func readable(ctx context.Context, c *http.Client, e Entry) bool {
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

// pick returns an entry VM; with none ready it is any of them.
func (b *balancer) pick() Entry {
	es := b.entries
	if p := b.ready.Load(); p != nil && len(*p) > 0 {
		es = *p
	}
	return es[rand.IntN(len(es))]
}
