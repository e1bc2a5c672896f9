package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lentilbend.example/lentilbend/internal/settings"
)

// Server listens for callers. Set the exported fields before Run.
type Server struct {
	Settings settings.Caller
	Sizes    settings.Sizes
	Handler  http.Handler

	server http.Server
}

// Run serves until Shutdown.
func (s *Server) Run() error {
	m := chi.NewRouter()
	m.Handle("/*", s.Handler)
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	s.server.Handler = m
	s.server.Protocols = p
	s.server.ReadHeaderTimeout = s.Settings.HeaderTimeout
	s.server.IdleTimeout = s.Settings.IdleTimeout
	s.server.MaxHeaderBytes = s.Sizes.Header
	l, err := net.Listen("tcp", s.Settings.Address.String())
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	return s.serve(l)
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

// Shutdown stops listening and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}
