package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc"

	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/timer"
)

// idleTimeout is the time after which an unused pull connection is closed.
const idleTimeout = time.Minute

// newClientConn returns a new connection to a peer; it is dialled on first use.
func (h *Hub) newClientConn(to netip.AddrPort) (*grpc.ClientConn, error) {
	d := func(ctx context.Context, _ string) (net.Conn, error) {
		c, err := h.dialTCP(ctx, to)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, counters: &h.counters}, nil
	}
	return grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(h.credentials),
		grpc.WithContextDialer(d),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithInitialWindowSize(flowControlWindow),
		grpc.WithInitialConnWindowSize(flowControlWindow),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)))
}

func (h *Hub) dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if h.Dial != nil {
		return h.Dial(ctx, to)
	}
	// Without TLS, peers identify this VM by the source IP, which must be that of
	// its peer address.
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: h.Self.Address.Addr().AsSlice()}}
	return dialHedged(ctx, h.Timing.DialHedgeDelay, func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", to.String())
	})
}

// startDialling starts maintainStream for a peer unless it is already running.
// h.mu must be held.
func (h *Hub) startDialling(l *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.runContext)
	l.cancel = cancel
	go h.maintainStream(ctx, l)
}

// maintainStream opens a stream whenever there is none. To avoid two streams
// per pair, the VM with the lower address dials first; the other one dials only
// if there is still no stream after Timing.FallbackDelay.
func (h *Hub) maintainStream(ctx context.Context, l *link) {
	b := h.Timing.MinBackoff
	for ctx.Err() == nil {
		if h.Self.Address.Compare(l.address) > 0 && !h.waitForFallback(ctx, l) {
			continue
		}
		if l.current() != nil {
			l.waitDisconnected(ctx)
			continue
		}
		t := time.Now()
		err := h.openStream(ctx, l)
		if time.Since(t) > h.Timing.MaxBackoff {
			b = h.Timing.MinBackoff
		}
		if err != nil && ctx.Err() == nil {
			_ = level.Debug(h.Logger).Log("msg", "Stream ended.", "peer", l.address, "err", err)
		}
		timer.Sleep(ctx, b/2+rand.N(b))
		b = min(2*b, h.Timing.MaxBackoff)
	}
}

// waitForFallback waits until there is no stream and then up to
// Timing.FallbackDelay for the peer to open one. It reports whether there is
// still none, so that this VM has to dial. It does not wait for a seed while this VM has
// no stream at all, since the seed cannot know it yet.
func (h *Hub) waitForFallback(ctx context.Context, l *link) bool {
	l.waitDisconnected(ctx)
	if slices.Contains(h.Settings.Seeds, l.address) && len(h.Connected()) == 0 {
		return l.current() == nil
	}
	for t := time.Now(); time.Since(t) < h.Timing.FallbackDelay; {
		if ctx.Err() != nil {
			return false
		}
		if l.current() != nil {
			return false
		}
		timer.Sleep(ctx, h.Timing.MinBackoff/2+rand.N(h.Timing.MinBackoff))
	}
	return l.current() == nil
}

// openStream opens a stream on a new connection, runs it until it ends and
// returns the reason.
func (h *Hub) openStream(ctx context.Context, l *link) error {
	l.mu.Lock()
	l.dials++
	l.mu.Unlock()
	c, err := h.newClientConn(l.address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialTimer := time.AfterFunc(h.Timing.DialTimeout, cancel)
	defer dialTimer.Stop()
	opened := time.Now()
	x, err := peerpb.NewPeerClient(c).Exchange(ctx)
	if err != nil {
		return err
	}
	if err := x.Send(h.helloFrame()); err != nil {
		return err
	}
	f, err := x.Recv()
	if err != nil {
		return err
	}
	from, err := senderID(f)
	if err != nil {
		return err
	}
	if from.Address != l.address {
		return fmt.Errorf("peer identifies itself as %s, but was dialled at %s", from.Address, l.address)
	}
	if !dialTimer.Stop() {
		return context.DeadlineExceeded
	}
	return h.runStream(ctx, newStream(from, x.Send, cancel, opened), l, f, x)
}
