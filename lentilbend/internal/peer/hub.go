// Package peer carries frames between entry VMs over gRPC: one long-lived
// stream for each pair.
package peer

import (
	"context"
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

// maxMessageSize is the maximum size of a received gRPC message, in bytes.
const maxMessageSize = 64 << 20

// flowControlWindow is the HTTP/2 flow-control window of a stream and of a
// connection, in bytes. A fixed window stops gRPC from sending pings to estimate
// the bandwidth-delay product.
const flowControlWindow = 1 << 20

// Handler processes the frames received from all peers. Calls for one stream are
// sequential; calls for different streams may be concurrent.
type Handler interface {
	// Handle processes a frame received at now. The peer enqueued its messages after
	// sentAfter, a time on this VM's clock that is zero if unknown. Handle must not
	// retain the slices of f.
	Handle(now, sentAfter time.Time, from member.ID, f *peerpb.Frame)
}

// Hub maintains the streams to all peers. Set the exported fields before Run.
type Hub struct {
	Self       member.ID
	DataCentre string
	Settings   settings.Peer
	Logger     log.Logger
	// Handlers are called in order for every frame that has messages, and for the
	// first frame of a stream, which has Hello.
	Handlers []Handler
	// Allowed reports whether a VM with this IP may connect. It is the only
	// authorization without TLS, and not called with TLS. Nil allows every IP.
	Allowed func(netip.Addr) bool
	// AnswerPull returns the answer to a peer's pull. If nil, pulls fail with
	// Unavailable.
	AnswerPull func(q *peerpb.PullRequest) *peerpb.PullAnswer
	// Timing replaces DefaultTiming unless it is zero.
	Timing Timing
	// Dial replaces the TCP dial in tests.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

	credentials credentials.TransportCredentials
	counters    counters

	mu sync.RWMutex
	// runContext is the context of Run; nil before.
	runContext context.Context
	links      map[netip.AddrPort]*link
	// pullConns are the connections for pulls, apart from those of the streams.
	pullConns map[netip.AddrPort]*grpc.ClientConn
	// wantedPeers are the peers given to SetPeers.
	wantedPeers []netip.AddrPort
}

// Timing holds the timeouts and delays of streams.
type Timing struct {
	// DialTimeout limits the time from a dial to the peer's first frame, and the
	// handshake of an accepted connection.
	DialTimeout time.Duration
	// DialHedgeDelay is the time after which a connection is also dialled anew while
	// the peer does not answer; 0 for never.
	DialHedgeDelay time.Duration
	// SilenceTimeout is how long a frame may take to send, and how long it may
	// stay unacknowledged, before the connection is closed.
	SilenceTimeout time.Duration
	// AckDelay is how long an acknowledgement waits for a frame with messages that
	// can carry it.
	AckDelay time.Duration
	// FallbackDelay is how long the VM with the higher address waits for the other
	// one to dial.
	FallbackDelay time.Duration
	// MinBackoff and MaxBackoff bound the exponential backoff between dials, before
	// jitter of up to 50 % either way.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultTiming returns the timing used when Hub.Timing is zero.
func DefaultTiming() Timing {
	return Timing{
		DialTimeout:    3 * time.Second,
		SilenceTimeout: 2 * time.Second,
		AckDelay:       500 * time.Millisecond,
		FallbackDelay:  time.Second,
		MinBackoff:     100 * time.Millisecond,
		MaxBackoff:     5 * time.Second,
	}
}

// Run accepts connections of peers and maintains the streams until ctx ends.
func (h *Hub) Run(ctx context.Context) error {
	if h.Timing == (Timing{}) {
		h.Timing = DefaultTiming()
	}
	var err error
	if h.credentials, err = transportCredentials(h.Settings); err != nil {
		return err
	}
	l, err := net.Listen("tcp", h.listenAddress().String())
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := h.newServer()
	h.dialWantedPeers(ctx)
	go h.watchStreams(ctx)
	go func() {
		<-ctx.Done()
		s.Stop()
	}()
	if err := s.Serve(&countedListener{Listener: l, counters: &h.counters}); err != nil && ctx.Err() == nil {
		return fmt.Errorf("peer: serve: %w", err)
	}
	return nil
}

// listenAddress returns Settings.Listen if set, else the peer address.
func (h *Hub) listenAddress() netip.AddrPort {
	if h.Settings.Listen.IsValid() {
		return h.Settings.Listen
	}
	return h.Settings.Address
}

// dialWantedPeers starts dialling the peers that were set before Run.
func (h *Hub) dialWantedPeers(ctx context.Context) {
	h.mu.Lock()
	h.runContext = ctx
	w := h.wantedPeers
	h.mu.Unlock()
	h.SetPeers(time.Now(), w)
}

// SetPeers sets the peers to stay connected to. For all others it stops dialling
// and ends the streams that this VM opened; streams that they opened remain.
func (h *Hub) SetPeers(_ time.Time, to []netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wantedPeers = slices.Clone(to)
	if h.runContext == nil {
		return
	}
	for _, a := range to {
		if a != h.Self.Address {
			h.startDialling(h.linkTo(a))
		}
	}
	for a, l := range h.links {
		if !slices.Contains(to, a) {
			l.stopDialling()
		}
	}
}

// Send adds the messages of f to the next frame for a peer. It never blocks, and
// returns false if there is no stream or its queue is full.
func (h *Hub) Send(to netip.AddrPort, f *peerpb.Frame) bool {
	h.mu.RLock()
	l := h.links[to]
	h.mu.RUnlock()
	return l != nil && l.enqueue(f)
}

// Connected returns the peers that have a stream, sorted by address.
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

// linkTo returns the link to an address and creates it if necessary. h.mu must
// be held.
func (h *Hub) linkTo(a netip.AddrPort) *link {
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
