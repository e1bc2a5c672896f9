package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"lentilbend.example/lentilbend/internal/settings"
)

// Times after which a caller's connection that went silent is left.
const (
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	pingAfter         = 15 * time.Second
	pingTimeout       = 5 * time.Second
)

// stopPoll is the time between looks at what is left during a stop.
const stopPoll = 5 * time.Millisecond

// Server listens for callers. Set the exported fields before Run.
type Server struct {
	Settings settings.Caller
	Sizes    settings.Sizes
	Handler  *Handler

	server   http.Server
	listener *listener
}

// Listen opens the callers' address. The error is that of the network.
func (s *Server) Listen() error {
	s.configure()
	c := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
	l, err := c.Listen(context.Background(), "tcp", s.Settings.Address.String())
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	s.listener = newListener(l)
	return nil
}

// Run serves until Shutdown. Call Listen before.
func (s *Server) Run() error {
	return s.serve(s.listener)
}

func (s *Server) configure() {
	m := chi.NewRouter()
	m.Handle("/*", s.Handler)
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	s.server.Handler = m
	s.server.Protocols = p
	s.server.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	s.server.ReadHeaderTimeout = s.Settings.HeaderTimeout
	s.server.IdleTimeout = s.Settings.IdleTimeout
	// The handler refuses headers beyond the limit with a body; the library
	// closes the connection beyond twice the limit.
	s.server.MaxHeaderBytes = 2 * s.Sizes.Header
	s.server.ConnState = s.noteState
	s.server.ErrorLog = log.New(io.Discard, "", 0)
}

func (s *Server) serve(l net.Listener) error {
	var err error
	if s.Settings.Certificate != "" {
		err = s.server.ServeTLS(l, s.Settings.Certificate, s.Settings.Key)
	} else {
		err = s.server.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("caller: %w", err)
}

// noteState tells a connection whether it waits for a request.
func (s *Server) noteState(n net.Conn, t http.ConnState) {
	if u, ok := n.(*tls.Conn); ok {
		n = u.NetConn()
	}
	c, ok := n.(*conn)
	if !ok {
		return
	}
	switch t {
	case http.StateIdle:
		c.setIdle(true)
	case http.StateActive:
		c.setIdle(false)
	}
}

// Leave asks the callers, with each answer, to use another connection.
func (s *Server) Leave() {
	s.Handler.Leave()
	s.listener.leaving.Store(true)
}

// Shutdown stops listening and waits until the running requests have ended and
// all connections are closed, or until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for s.listener.open() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("caller: %w", ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

// Open returns how many callers' connections are open.
func (s *Server) Open() int {
	return s.listener.open()
}

// State is what the server shows of itself.
type State struct {
	// Open is how many callers' connections are open.
	Open int
	// Leaving says that a planned stop has begun.
	Leaving bool
}

// Dump returns the server's State.
func (s *Server) Dump() any {
	return State{Open: s.listener.open(), Leaving: s.Handler.leaving.Load()}
}
