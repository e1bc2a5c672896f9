package peer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// service answers the calls of peers.
type service struct {
	peerpb.UnimplementedPeerServer
	hub *Hub
}

// wire is what both ends of a stream have.
type wire interface {
	Send(*peerpb.Frame) error
	Recv() (*peerpb.Frame, error)
}

func (h *Hub) server() *grpc.Server {
	s := grpc.NewServer(
		grpc.Creds(h.credentials),
		grpc.InitialWindowSize(window),
		grpc.InitialConnWindowSize(window),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.ConnectionTimeout(h.Times.Dial))
	peerpb.RegisterPeerServer(s, &service{hub: h})
	return s
}

// Pull answers with the values accepted here.
func (s *service) Pull(ctx context.Context, r *peerpb.PullRequest) (*peerpb.PullAnswer, error) {
	if _, err := s.hub.admit(ctx); err != nil {
		return nil, err
	}
	if s.hub.Answer == nil {
		return nil, status.Error(codes.Unavailable, "no values")
	}
	return s.hub.Answer(r), nil
}

// Exchange runs a stream that a peer opened.
func (s *service) Exchange(x grpc.BidiStreamingServer[peerpb.Frame, peerpb.Frame]) error {
	ip, err := s.hub.admit(x.Context())
	if err != nil {
		return err
	}
	f, err := x.Recv()
	if err != nil {
		return err
	}
	from, err := sender(f)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if !s.hub.secure() && from.Address.Addr().Unmap() != ip {
		return status.Error(codes.PermissionDenied, "address differs from the connection's")
	}
	if from.Address == s.hub.Self.Address {
		return status.Error(codes.PermissionDenied, "own address")
	}
	if err := x.Send(s.hub.hello()); err != nil {
		return err
	}
	s.hub.mu.Lock()
	l := s.hub.link(from.Address)
	s.hub.mu.Unlock()
	ctx, cancel := context.WithCancel(x.Context())
	defer cancel()
	return s.hub.run(ctx, cancel, l, from, f, x)
}

// admit returns the caller's IP if it may talk.
func (h *Hub) admit(ctx context.Context) (netip.Addr, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return netip.Addr{}, status.Error(codes.PermissionDenied, "no address")
	}
	a, err := netip.ParseAddrPort(p.Addr.String())
	if err != nil {
		return netip.Addr{}, status.Error(codes.PermissionDenied, "no IP")
	}
	ip := a.Addr().Unmap()
	if h.secure() || h.Allowed == nil || h.Allowed(ip) {
		return ip, nil
	}
	h.counters.refused.Add(1)
	_ = level.Info(h.Logger).Log("msg", "Refused a peer.", "ip", ip)
	return ip, status.Error(codes.PermissionDenied, "not a known VM")
}

func (h *Hub) hello() *peerpb.Frame {
	return &peerpb.Frame{Hello: &peerpb.Hello{
		Address:     h.Self.Address.String(),
		Incarnation: h.Self.Incarnation,
		DataCentre:  h.DataCentre,
	}}
}

// sender returns who opened a stream.
func sender(f *peerpb.Frame) (member.ID, error) {
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

// run carries frames on an open stream until it ends.
func (h *Hub) run(ctx context.Context, cancel context.CancelFunc, l *link, from member.ID, first *peerpb.Frame, w wire) error {
	s := &stream{from: from, send: w.Send, cancel: cancel, wake: make(chan struct{}, 1)}
	l.attach(s)
	defer l.detach(s)
	h.handle(from, first)
	go s.write(ctx, &h.counters)
	ended := make(chan error, 1)
	go func() { ended <- h.read(s, w) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Hub) read(s *stream, w wire) error {
	for {
		f, err := w.Recv()
		if err != nil {
			return err
		}
		h.counters.receivedFrames.Add(1)
		s.note(time.Now(), f)
		if !empty(f) {
			h.handle(s.from, f)
		}
	}
}

func (h *Hub) handle(from member.ID, f *peerpb.Frame) {
	now := time.Now()
	for _, x := range h.Handlers {
		x.Handle(now, from, f)
	}
}

// watch ends silent streams and sends acknowledgements.
func (h *Hub) watch(ctx context.Context) {
	t := time.NewTicker(h.Times.Acknowledge / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			h.checkAll(now)
		}
	}
}

func (h *Hub) checkAll(now time.Time) {
	h.mu.RLock()
	ls := make([]*link, 0, len(h.links))
	for _, l := range h.links {
		ls = append(ls, l)
	}
	h.mu.RUnlock()
	for _, l := range ls {
		s := l.current()
		if s == nil || !s.check(now, h.Times) {
			continue
		}
		h.counters.silent.Add(1)
		l.mu.Lock()
		l.silent++
		l.mu.Unlock()
		_ = level.Warn(h.Logger).Log("msg", "Connection silent, replaced.", "peer", l.address)
		s.cancel()
	}
}
