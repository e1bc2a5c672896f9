// Package peer carries frames between entry VMs over gRPC: one long-lived
// stream for each pair.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"

	"lentilbend.example/lentilbend/internal/settings"
)

// maxMessage bounds one message, in bytes.
const maxMessage = 64 << 20

// window is the flow-control window of a stream and of a connection, in bytes.
// A fixed window keeps grpc from sending pings to estimate one.
const window = 1 << 20

// Handler takes the frames of all peers. Calls for one peer do not overlap;
// calls for different peers do.
type Handler interface {
	// Handle must not keep f's slices.
	Handle(now time.Time, from member.ID, f *peerpb.Frame)
}

// Hub holds the streams to all peers. Set the exported fields before Run.
type Hub struct {
	Self       member.ID
	DataCentre string
	Settings   settings.Peer
	Logger     log.Logger
	// Handlers get every frame in turn. The first frame of a stream has Hello.
	Handlers []Handler
	// Allowed tells whether a VM at this IP may talk; without TLS it is the
	// only check. Nil allows every IP.
	Allowed func(netip.Addr) bool
	// Answer answers pulls of peers; nil answers nothing.
	Answer func(q *peerpb.PullRequest) *peerpb.PullAnswer
	// Times replaces DefaultTimes.
	Times Times
	// Dial replaces a TCP dial, for tests.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

	credentials credentials.TransportCredentials
	counters    counters

	mu      sync.RWMutex
	base    context.Context
	links   map[netip.AddrPort]*link
	clients map[netip.AddrPort]*grpc.ClientConn
	wanted  []netip.AddrPort
}

// Times are the times that govern streams.
type Times struct {
	// Dial is how long a dial and the first answer may take.
	Dial time.Duration
	// Silent is how long a sent frame may stay without an answer before the
	// connection is replaced.
	Silent time.Duration
	// Acknowledge is how long an answer may wait for a frame to ride on.
	Acknowledge time.Duration
	// Fallback is how long the higher address waits for the lower to dial.
	Fallback time.Duration
	// Backoff and BackoffMax bound the wait after a failed dial.
	Backoff, BackoffMax time.Duration
}

// DefaultTimes returns the times used when Hub.Times is zero.
func DefaultTimes() Times {
	return Times{
		Dial:        3 * time.Second,
		Silent:      2 * time.Second,
		Acknowledge: 500 * time.Millisecond,
		Fallback:    time.Second,
		Backoff:     100 * time.Millisecond,
		BackoffMax:  5 * time.Second,
	}
}

// Run listens for peers and keeps the streams until ctx ends.
func (h *Hub) Run(ctx context.Context) error {
	if h.Times == (Times{}) {
		h.Times = DefaultTimes()
	}
	var err error
	if h.credentials, err = transport(h.Settings); err != nil {
		return err
	}
	l, err := net.Listen("tcp", h.listen().String())
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := h.server()
	h.start(ctx)
	go h.watch(ctx)
	go func() {
		<-ctx.Done()
		s.Stop()
	}()
	if err := s.Serve(&countedListener{Listener: l, counters: &h.counters}); err != nil && ctx.Err() == nil {
		return fmt.Errorf("peer: serve: %w", err)
	}
	return nil
}

// listen returns the address to listen on.
func (h *Hub) listen() netip.AddrPort {
	if h.Settings.Listen.IsValid() {
		return h.Settings.Listen
	}
	return h.Settings.Address
}

// start begins to dial the peers given before Run.
func (h *Hub) start(ctx context.Context) {
	h.mu.Lock()
	h.base = ctx
	w := h.wanted
	h.mu.Unlock()
	h.SetPeers(time.Now(), w)
}

// Peers sets the peers to stay connected to. Streams that others opened stay.
func (h *Hub) SetPeers(_ time.Time, to []netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted = slices.Clone(to)
	if h.base == nil {
		return
	}
	for _, a := range to {
		if a != h.Self.Address {
			h.dial(h.link(a))
		}
	}
	for a, l := range h.links {
		if !slices.Contains(to, a) {
			l.stop()
		}
	}
}

// Send merges f into the next frame for a peer. It returns false when there is
// no stream or its queue is full; it never blocks.
func (h *Hub) Send(to netip.AddrPort, f *peerpb.Frame) bool {
	h.mu.RLock()
	l := h.links[to]
	h.mu.RUnlock()
	return l != nil && l.add(f)
}

// Connected returns the peers that have a stream, in order.
func (h *Hub) Connected() []netip.AddrPort {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var as []netip.AddrPort
	for a, l := range h.links {
		if l.current() != nil {
			as = append(as, a)
		}
	}
	slices.SortFunc(as, netip.AddrPort.Compare)
	return as
}

// Pull asks a peer for what it has newer than the request says.
func (h *Hub) Pull(ctx context.Context, to netip.AddrPort, q *peerpb.PullRequest) (*peerpb.PullAnswer, error) {
	c, err := h.client(to)
	if err != nil {
		return nil, fmt.Errorf("peer: pull from %s: %w", to, err)
	}
	a, err := peerpb.NewPeerClient(c).Pull(ctx, q)
	if err != nil {
		h.drop(to, c)
		return nil, fmt.Errorf("peer: pull from %s: %w", to, err)
	}
	return a, nil
}

// client returns the connection used for pulls. It closes itself when idle.
func (h *Hub) client(to netip.AddrPort) (*grpc.ClientConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.base == nil {
		return nil, errors.New("not running")
	}
	if c := h.clients[to]; c != nil {
		return c, nil
	}
	c, err := h.connect(to)
	if err != nil {
		return nil, err
	}
	if h.clients == nil {
		h.clients = map[netip.AddrPort]*grpc.ClientConn{}
	}
	h.clients[to] = c
	return c, nil
}

// drop closes a connection on which a pull failed, so that the next one gets a
// new connection.
func (h *Hub) drop(to netip.AddrPort, c *grpc.ClientConn) {
	h.mu.Lock()
	if h.clients[to] == c {
		delete(h.clients, to)
	}
	h.mu.Unlock()
	_ = c.Close()
}

// link returns the link to an address. The caller holds the lock.
func (h *Hub) link(a netip.AddrPort) *link {
	if h.links == nil {
		h.links = map[netip.AddrPort]*link{}
	}
	l := h.links[a]
	if l == nil {
		l = &link{address: a}
		h.links[a] = l
	}
	return l
}
