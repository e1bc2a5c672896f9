package peer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"lentilbend.example/internal/peerpb"
)

// openConnTimeout is how long a pull over a connection that was open before waits for
// the answer before it is also sent over a new one.
const openConnTimeout = 200 * time.Millisecond

// Pull gets from a peer the accepted values and the VM list that are newer than
// the revisions in q. An open connection may have gone silent without notice, so that
// a pull over one that fails or gets no answer is also sent over a new connection.
func (h *Hub) Pull(ctx context.Context, to netip.AddrPort, q *peerpb.PullRequest) (*peerpb.PullAnswer, error) {
	c, err := h.pullConn(to)
	if err != nil {
		return nil, fmt.Errorf("peer: pull from %s: %w", to, err)
	}
	if c.GetState() != connectivity.Ready {
		return h.pullOver(ctx, to, c, q)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan pullResult, 2)
	start := func(c *grpc.ClientConn) {
		a, err := h.pullOver(ctx, to, c, q)
		results <- pullResult{answer: a, err: err}
	}
	go start(c)
	t := time.NewTimer(openConnTimeout)
	defer t.Stop()
	running := 1
	select {
	case r := <-results:
		if r.err == nil || ctx.Err() != nil {
			return r.answer, r.err
		}
		running--
	case <-t.C:
	}
	h.counters.repeatedPulls.Add(1)
	h.replacePullConn(to, c)
	if c, err = h.pullConn(to); err != nil {
		return nil, fmt.Errorf("peer: pull from %s: %w", to, err)
	}
	running++
	go start(c)
	r := <-results
	if r.err != nil && running > 1 {
		r = <-results
	}
	return r.answer, r.err
}

type pullResult struct {
	answer *peerpb.PullAnswer
	err    error
}

// pullOver pulls over a connection, and closes it if that fails or if it was replaced
// meanwhile.
func (h *Hub) pullOver(ctx context.Context, to netip.AddrPort, c *grpc.ClientConn, q *peerpb.PullRequest) (*peerpb.PullAnswer, error) {
	a, err := peerpb.NewPeerClient(c).Pull(ctx, q)
	if err != nil {
		h.replacePullConn(to, c)
	}
	h.mu.Lock()
	replaced := h.pullConns[to] != c
	h.mu.Unlock()
	if replaced {
		_ = c.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("peer: pull from %s: %w", to, err)
	}
	return a, nil
}

// pullConn returns the connection used for pulls from a peer. gRPC closes its
// TCP connection when idle.
func (h *Hub) pullConn(to netip.AddrPort) (*grpc.ClientConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runContext == nil {
		return nil, errors.New("hub is not running")
	}
	if c := h.pullConns[to]; c != nil {
		return c, nil
	}
	c, err := h.newClientConn(to)
	if err != nil {
		return nil, err
	}
	if h.pullConns == nil {
		h.pullConns = map[netip.AddrPort]*grpc.ClientConn{}
	}
	h.pullConns[to] = c
	return c, nil
}

// replacePullConn makes the next pull from a peer use a new connection. The pulls over
// c close it when they end.
func (h *Hub) replacePullConn(to netip.AddrPort, c *grpc.ClientConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pullConns[to] == c {
		delete(h.pullConns, to)
	}
}
