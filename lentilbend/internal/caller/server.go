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
	"net/netip"
	"time"

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

// Server listens for callers. Set the exported fields before Run.
type Server struct {
	Settings settings.Caller
	Sizes    settings.Limits
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
	// A multipath listener takes no packet filter, which a stop needs.
	c.SetMultipathTCP(false)
	l, err := c.Listen(context.Background(), "tcp", s.Settings.Address.String())
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	s.listener = newListener(l)
	s.listener.secure = s.Settings.Certificate != ""
	return nil
}

// Run serves until Shutdown. Call Listen before.
func (s *Server) Run() error {
	return s.serve(s.listener)
}

func (s *Server) configure() {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	s.server.Handler = s.Handler
	s.server.Protocols = p
	s.server.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	s.server.ReadHeaderTimeout = s.Settings.HeaderTimeout
	s.server.IdleTimeout = s.Settings.IdleTimeout
	// The handler refuses headers beyond the limit with a body; the library
	// closes the connection beyond twice the limit.
	s.server.MaxHeaderBytes = 2 * s.Sizes.Header
	s.server.ConnState = s.noteState
	s.server.ConnContext = withConn
	s.server.ErrorLog = log.New(io.Discard, "", 0)
}

func (s *Server) serve(l net.Listener) error {
	var err error
	if s.Settings.Certificate != "" {
		err = s.server.ServeTLS(l, s.Settings.Certificate, s.Settings.Key)
	} else {
		err = s.server.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) || s.listener.leaving.Load() {
		return nil
	}
	return fmt.Errorf("caller: %w", err)
}

// noteState tells a connection whether it waits for a request.
func (s *Server) noteState(n net.Conn, t http.ConnState) {
	u, secure := n.(*tls.Conn)
	if secure {
		n = u.NetConn()
	}
	c, ok := n.(*conn)
	if !ok {
		return
	}
	switch t {
	case http.StateIdle:
		c.enter(isIdle)
	case http.StateActive:
		c.enter(isActive)
		if secure && u.ConnectionState().NegotiatedProtocol == "h2" {
			c.http2.Store(true)
		}
	}
}

// Address returns the address that is listened on.
func (s *Server) Address() netip.AddrPort {
	a, ok := s.listener.Addr().(*net.TCPAddr)
	if !ok {
		return s.Settings.Address
	}
	return a.AddrPort()
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
