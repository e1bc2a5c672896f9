package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc"

	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/timer"
)

// idleTimeout is how long an unused connection for pulls stays open.
const idleTimeout = time.Minute

// connect returns a new connection to a peer; it is dialled on first use.
func (h *Hub) connect(to netip.AddrPort) (*grpc.ClientConn, error) {
	d := func(ctx context.Context, _ string) (net.Conn, error) {
		c, err := h.tcp(ctx, to)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, counters: &h.counters}, nil
	}
	return grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(h.credentials),
		grpc.WithContextDialer(d),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithInitialWindowSize(window),
		grpc.WithInitialConnWindowSize(window),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
}

func (h *Hub) tcp(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if h.Dial != nil {
		return h.Dial(ctx, to)
	}
	// Peers know this VM by the IP of its peer address.
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: h.Self.Address.Addr().AsSlice()}}
	return d.DialContext(ctx, "tcp", to.String())
}

// dial starts to keep a stream to a peer. The caller holds the lock.
func (h *Hub) dial(l *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.base)
	l.cancel = cancel
	go h.keep(ctx, l)
}

// keep opens a stream whenever there is none. The lower address dials first;
// the higher dials only when that did not help.
func (h *Hub) keep(ctx context.Context, l *link) {
	b := h.Times.Backoff
	for ctx.Err() == nil {
		if h.Self.Address.Compare(l.address) > 0 && !h.fallback(ctx, l) {
			continue
		}
		if l.current() != nil {
			l.wait(ctx)
			continue
		}
		t := time.Now()
		err := h.open(ctx, l)
		if time.Since(t) > h.Times.BackoffMax {
			b = h.Times.Backoff
		}
		if err != nil && ctx.Err() == nil {
			_ = level.Debug(h.Logger).Log("msg", "Stream ended.", "peer", l.address, "err", err)
		}
		timer.Sleep(ctx, b/2+rand.N(b))
		b = min(2*b, h.Times.BackoffMax)
	}
}

// fallback waits for the peer to dial, and returns whether there is still no
// stream.
func (h *Hub) fallback(ctx context.Context, l *link) bool {
	l.wait(ctx)
	for t := time.Now(); time.Since(t) < h.Times.Fallback; {
		if ctx.Err() != nil {
			return false
		}
		if l.current() != nil {
			return false
		}
		timer.Sleep(ctx, h.Times.Backoff/2+rand.N(h.Times.Backoff))
	}
	return l.current() == nil
}

// open runs one stream on a connection of its own until it ends. Its error
// says why.
func (h *Hub) open(ctx context.Context, l *link) error {
	l.mu.Lock()
	l.dials++
	l.mu.Unlock()
	c, err := h.connect(l.address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(h.Times.Dial, cancel)
	defer late.Stop()
	x, err := peerpb.NewPeerClient(c).Exchange(ctx)
	if err != nil {
		return err
	}
	if err := x.Send(h.hello()); err != nil {
		return err
	}
	f, err := x.Recv()
	if err != nil {
		return err
	}
	from, err := sender(f)
	if err != nil {
		return err
	}
	if from.Address != l.address {
		return fmt.Errorf("%s answers for %s", from.Address, l.address)
	}
	if !late.Stop() {
		return context.DeadlineExceeded
	}
	return h.run(ctx, cancel, l, from, f, x)
}
