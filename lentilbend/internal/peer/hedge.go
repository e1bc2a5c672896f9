package peer

import (
	"context"
	"net"
	"time"
)

// dialHedged dials again while an attempt is not answered, after delay and then after
// twice the time before, and returns the first connection. The packet that opens a
// connection to a VM without power is lost, and the kernel repeats it only after a
// second. With a delay of 0 it dials once. A failed attempt is not repeated.
func dialHedged(ctx context.Context, delay time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	if delay <= 0 {
		return dial(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	attempt := func() {
		c, err := dial(ctx)
		select {
		case results <- dialResult{c, err}:
		case <-ctx.Done():
			if c != nil {
				_ = c.Close()
			}
		}
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	go attempt()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-t.C:
			delay *= 2
			t.Reset(delay)
			go attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dialResult is the result of one attempt to dial.
type dialResult struct {
	conn net.Conn
	err  error
}
