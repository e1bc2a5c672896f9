package peer

import (
	"context"
	"errors"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// service implements the gRPC service that peers call.
type service struct {
	peerpb.UnimplementedPeerServer
	hub *Hub
}

// frameStream is implemented by both the client and the server side of the
// Exchange stream.
type frameStream interface {
	Send(*peerpb.Frame) error
	Recv() (*peerpb.Frame, error)
}

func (h *Hub) newServer() *grpc.Server {
	s := grpc.NewServer(
		grpc.Creds(h.credentials),
		grpc.InitialWindowSize(flowControlWindow),
		grpc.InitialConnWindowSize(flowControlWindow),
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.ConnectionTimeout(h.Timing.DialTimeout))
	peerpb.RegisterPeerServer(s, &service{hub: h})
	return s
}

// Pull returns the accepted values and the VM list of this VM that are newer
// than the caller's.
func (s *service) Pull(ctx context.Context, r *peerpb.PullRequest) (*peerpb.PullAnswer, error) {
	if _, err := s.hub.authorize(ctx); err != nil {
		return nil, err
	}
	if s.hub.AnswerPull == nil {
		return nil, status.Error(codes.Unavailable, "no values")
	}
	return s.hub.AnswerPull(r), nil
}

// Exchange serves a stream that a peer opened.
func (s *service) Exchange(x grpc.BidiStreamingServer[peerpb.Frame, peerpb.Frame]) error {
	ip, err := s.hub.authorize(x.Context())
	if err != nil {
		return err
	}
	f, err := x.Recv()
	if err != nil {
		return err
	}
	from, err := senderID(f)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if !s.hub.usesTLS() && from.Address.Addr().Unmap() != ip {
		return status.Error(codes.PermissionDenied, "address differs from the connection's")
	}
	if from.Address == s.hub.Self.Address {
		return status.Error(codes.PermissionDenied, "own address")
	}
	if err := x.Send(s.hub.helloFrame()); err != nil {
		return err
	}
	s.hub.mu.Lock()
	l := s.hub.linkTo(from.Address)
	s.hub.mu.Unlock()
	ctx, cancel := context.WithCancel(x.Context())
	defer cancel()
	return s.hub.runStream(ctx, newStream(from, x.Send, cancel, time.Time{}), l, f, x)
}

// authorize returns the caller's IP, or a PermissionDenied error if that IP is
// not allowed. With TLS the certificate has already identified the caller.
func (h *Hub) authorize(ctx context.Context) (netip.Addr, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return netip.Addr{}, status.Error(codes.PermissionDenied, "no address")
	}
	a, err := netip.ParseAddrPort(p.Addr.String())
	if err != nil {
		return netip.Addr{}, status.Error(codes.PermissionDenied, "no IP")
	}
	ip := a.Addr().Unmap()
	if h.usesTLS() || h.Allowed == nil || h.Allowed(ip) {
		return ip, nil
	}
	h.counters.refusedCalls.Add(1)
	_ = level.Info(h.Logger).Log("msg", "Rejected a call from an unknown VM.", "ip", ip)
	return ip, status.Error(codes.PermissionDenied, "not a known VM")
}

func (h *Hub) helloFrame() *peerpb.Frame {
	return &peerpb.Frame{Hello: &peerpb.Hello{
		Address:     h.Self.Address.String(),
		Incarnation: h.Self.Incarnation,
		DataCentre:  h.DataCentre,
	}}
}

// senderID returns the identity that the first frame of a stream states.
func senderID(f *peerpb.Frame) (member.ID, error) {
	if f.GetHello() == nil {
		return member.ID{}, errors.New("no Hello")
	}
	a, err := netip.ParseAddrPort(f.Hello.Address)
	if err != nil {
		return member.ID{}, err
	}
	if f.Hello.Incarnation == 0 {
		return member.ID{}, errors.New("no incarnation")
	}
	return member.ID{Address: a, Incarnation: f.Hello.Incarnation}, nil
}

// runStream sends and receives frames on an open stream until it ends.
func (h *Hub) runStream(ctx context.Context, s *stream, l *link, first *peerpb.Frame, x frameStream) error {
	l.attach(s)
	defer l.detach(s)
	h.dispatch(s, first)
	go s.writeFrames(ctx, &h.counters)
	ended := make(chan error, 1)
	go func() { ended <- h.readFrames(s, x) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Hub) readFrames(s *stream, x frameStream) error {
	for {
		f, err := x.Recv()
		if err != nil {
			return err
		}
		h.counters.receivedFrames.Add(1)
		s.recordFrame(time.Now(), f)
		if !hasNoMessages(f) {
			h.dispatch(s, f)
		}
	}
}

func (h *Hub) dispatch(s *stream, f *peerpb.Frame) {
	now, sentAfter := time.Now(), s.lastSentAfter()
	for _, x := range h.Handlers {
		h.handle(x, now, sentAfter, s.from, f)
	}
}

// handle passes a frame to a handler. A panic drops the frame: one message must not
// end the process, since a peer would send it to the next process too.
func (h *Hub) handle(x Handler, now, sentAfter time.Time, from member.ID, f *peerpb.Frame) {
	defer func() {
		if v := recover(); v != nil {
			h.counters.panics.Add(1)
			_ = level.Error(h.Logger).Log("msg", "A frame of a peer was dropped after a panic.", "peer", from.Address, "panic", v, "stack", string(debug.Stack()))
		}
	}()
	x.Handle(now, sentAfter, from, f)
}

// watchStreams periodically cancels silent streams and sends acknowledgements
// that are due.
func (h *Hub) watchStreams(ctx context.Context) {
	t := time.NewTicker(h.Timing.AckDelay / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			h.checkStreams(now)
		}
	}
}

func (h *Hub) checkStreams(now time.Time) {
	h.mu.RLock()
	ls := make([]*link, 0, len(h.links))
	for _, l := range h.links {
		ls = append(ls, l)
	}
	h.mu.RUnlock()
	for _, l := range ls {
		s := l.current()
		if s == nil || !s.checkSilence(now, h.Timing) {
			continue
		}
		h.counters.silentStreams.Add(1)
		l.mu.Lock()
		l.silentStreams++
		l.mu.Unlock()
		_ = level.Warn(h.Logger).Log("msg", "Peer connection made no progress; closing it.", "peer", l.address)
		s.cancel()
	}
}
