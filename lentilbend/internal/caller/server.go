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

	"lentilbend.example/lentilbend/internal/http1"
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

// http2Protocol is the name of HTTP/2 in the negotiation of TLS (RFC 9113, section
// 3.2).
const http2Protocol = "h2"

// Server is the HTTP server for callers. Connections of HTTP/1 are served by package
// http1, those of HTTP/2 by net/http. Set the exported fields before Listen.
type Server struct {
	Settings settings.Caller
	Sizes    settings.Limits
	Handler  *Handler

	http1         http1.Server
	http2         http.Server
	tls           *tls.Config
	listener      *listener
	http2Listener *http2Listener
}

// Listen opens the listener for callers. The error is that of net.Listen or says
// that the certificate can't be read.
func (s *Server) Listen() error {
	if err := s.configure(); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
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
	s.http2Listener = newHTTP2Listener(l.Addr())
	return nil
}

// Run serves requests until Shutdown. Call Listen first. It returns nil after
// a shutdown, otherwise the error that ended the server.
func (s *Server) Run() error {
	go func() { _ = s.http2.Serve(s.http2Listener) }()
	for {
		c, err := s.listener.Accept()
		if err == nil {
			go s.serveConn(c)
			continue
		}
		if s.listener.draining.Load() && errors.Is(err, net.ErrClosed) {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("caller: %w", err)
		}
		time.Sleep(acceptRetryDelay)
	}
}

// acceptRetryDelay is the pause after a failed accept, such as one for want of file
// descriptors.
const acceptRetryDelay = 5 * time.Millisecond

func (s *Server) configure() error {
	s.http1.Handler = s.Handler
	s.http1.Refuse = s.Handler.refuseMalformed
	s.http1.Concurrent = s.Handler.mayRunConcurrently
	// The handler refuses headers beyond the limit of the table. Beyond twice the
	// limit of the settings, nothing is read.
	s.http1.MaxHeaderBytes = 2*s.Sizes.Header + headerSlack
	s.http1.HeaderTimeout = s.Settings.HeaderTimeout
	s.http1.IdleTimeout = s.Settings.IdleTimeout
	s.http1.Panicked = s.Handler.logPanic
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	s.http2.Handler = s.Handler
	s.http2.Protocols = p
	s.http2.HTTP2 = &http.HTTP2Config{SendPingTimeout: http2PingDelay, PingTimeout: http2PingTimeout}
	s.http2.ReadHeaderTimeout = s.Settings.HeaderTimeout
	s.http2.IdleTimeout = s.Settings.IdleTimeout
	s.http2.MaxHeaderBytes = 2 * s.Sizes.Header
	s.http2.ConnState = s.updatePhase
	s.http2.ErrorLog = log.New(io.Discard, "", 0)
	if s.Settings.Certificate == "" {
		return nil
	}
	c, err := tls.LoadX509KeyPair(s.Settings.Certificate, s.Settings.Key)
	if err != nil {
		return err
	}
	s.tls = &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{c},
		NextProtos:   []string{http2Protocol, "http/1.1"},
	}
	s.http2.TLSConfig = s.tls
	return nil
}

// headerSlack is added to the limit of a head, in bytes, so that a header slightly
// beyond the limit is refused by the handler.
const headerSlack = 4 << 10

// serveConn serves one connection.
func (s *Server) serveConn(c *conn) {
	var n net.Conn = c
	if s.tls != nil {
		t, err := s.handshake(c)
		if err != nil {
			_ = c.closeNow()
			return
		}
		if t.ConnectionState().NegotiatedProtocol == http2Protocol {
			c.http2.Store(true)
			s.http2Listener.put(t)
			return
		}
		n = t
	}
	r := http1.NewReader(n)
	if !s.http1.ServeConn(n, c, r) {
		return
	}
	if s.tls != nil {
		// Over TLS, HTTP/2 must be negotiated (RFC 9113, section 3.2).
		_ = c.closeNow()
		return
	}
	c.http2.Store(true)
	c.prefix = r
	s.http2Listener.put(c)
}

// handshake performs the handshake of TLS. The connection is closed if it fails.
func (s *Server) handshake(c *conn) (*tls.Conn, error) {
	t := tls.Server(c, s.tls)
	ctx := context.Background()
	if s.Settings.HeaderTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.Settings.HeaderTimeout)
		defer cancel()
	}
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return t, nil
}

// updatePhase sets the phase of an HTTP/2 connection when its http.ConnState
// changes.
func (s *Server) updatePhase(n net.Conn, t http.ConnState) {
	if u, ok := n.(*tls.Conn); ok {
		n = u.NetConn()
	}
	c, ok := n.(*conn)
	if !ok {
		return
	}
	switch t {
	case http.StateIdle:
		c.idle.Store(true)
	case http.StateActive:
		c.idle.Store(false)
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

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.http1.Close()
	return errors.Join(s.listener.Close(), s.http2.Close())
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
