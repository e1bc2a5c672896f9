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

// TCP keep-alive and HTTP/2 pings, which detect dead connections of callers.
const (
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	http2PingDelay    = 15 * time.Second
	http2PingTimeout  = 5 * time.Second
)

// Server is the HTTP server for callers. Set the exported fields before Listen.
type Server struct {
	Settings settings.Caller
	Sizes    settings.Limits
	Handler  *Handler

	server   http.Server
	listener *listener
}

// Listen opens the listener for callers. The error is that of net.Listen.
func (s *Server) Listen() error {
	s.configure()
	c := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
	// Multipath TCP sockets do not support the packet filter that Shutdown needs.
	c.SetMultipathTCP(false)
	l, err := c.Listen(context.Background(), "tcp", s.Settings.Address.String())
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	s.listener = newListener(l)
	s.listener.encrypted = s.Settings.Certificate != ""
	return nil
}

// Run serves requests until Shutdown. Call Listen first. It returns nil after
// a shutdown, otherwise the error that ended the server.
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
	s.server.HTTP2 = &http.HTTP2Config{SendPingTimeout: http2PingDelay, PingTimeout: http2PingTimeout}
	s.server.ReadHeaderTimeout = s.Settings.HeaderTimeout
	s.server.IdleTimeout = s.Settings.IdleTimeout
	// The handler refuses headers beyond the limit with a problem document. Beyond
	// twice the limit, net/http answers itself and closes the connection.
	s.server.MaxHeaderBytes = 2 * s.Sizes.Header
	s.server.ConnState = s.updatePhase
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
	if errors.Is(err, http.ErrServerClosed) || s.listener.draining.Load() {
		return nil
	}
	return fmt.Errorf("caller: %w", err)
}

// updatePhase sets the phase of a connection when its http.ConnState changes.
func (s *Server) updatePhase(n net.Conn, t http.ConnState) {
	u, isTLS := n.(*tls.Conn)
	if isTLS {
		n = u.NetConn()
	}
	c, ok := n.(*conn)
	if !ok {
		return
	}
	switch t {
	case http.StateIdle:
		c.setPhase(phaseIdle)
	case http.StateActive:
		c.setPhase(phaseActive)
		if isTLS && u.ConnectionState().NegotiatedProtocol == "h2" {
			c.http2.Store(true)
		}
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	a, ok := s.listener.Addr().(*net.TCPAddr)
	if !ok {
		return s.Settings.Address
	}
	return a.AddrPort()
}

// OpenConnections returns the number of callers' open connections.
func (s *Server) OpenConnections() int {
	return s.listener.connCount()
}

// State is the state of the server in a dump.
type State struct {
	// Open is the number of callers' open connections.
	Open int
	// Leaving says that the server drains.
	Leaving bool
}

// Dump returns the server's State.
func (s *Server) Dump() any {
	return State{Open: s.listener.connCount(), Leaving: s.Handler.draining.Load()}
}
