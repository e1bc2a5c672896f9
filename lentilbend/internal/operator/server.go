// Package operator serves the HTTP endpoints for operators: health, readiness,
// metrics, state dump, explanations of requests, profiling and log level.
package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lentilbend.example/lentilbend/internal/settings"
)

// readHeaderTimeout is how long a client may take to send the header of a
// request.
const readHeaderTimeout = 10 * time.Second

// Dumper is a component that can dump its state. The result of Dump is encoded as
// JSON and must not contain secrets such as API keys.
type Dumper interface {
	Dump() any
}

// Server is the HTTP server for operators. Set the exported fields before Run.
type Server struct {
	Settings settings.Operator
	Registry *prometheus.Registry
	// Ready returns nil if callers may send requests to this VM, or the reason
	// why not.
	Ready func() error
	// SetLevel changes the log level. It returns an error for an unknown level.
	SetLevel func(level string) error
	// Dumpers holds the components in the state dump by their names.
	Dumpers map[string]Dumper
	// Explain explains where a request would go; nil for none.
	Explain http.Handler

	server http.Server
	// metrics serves Settings.Metrics, if that is set.
	metrics http.Server
}

// Run serves until Close and then returns nil. It returns an error if an address
// cannot be listened on or serving fails.
func (s *Server) Run() error {
	s.server.Handler = s.routes()
	s.server.ReadHeaderTimeout = readHeaderTimeout
	l, err := net.Listen("tcp", s.Settings.Address.String())
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	serveErr := make(chan error, 2)
	if s.Settings.Metrics.IsValid() {
		m, err := net.Listen("tcp", s.Settings.Metrics.String())
		if err != nil {
			return errors.Join(fmt.Errorf("operator: %w", err), l.Close())
		}
		go func() { serveErr <- s.serveMetrics(m) }()
	}
	go func() { serveErr <- s.serve(l) }()
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("operator: %w", err)
	}
	return nil
}

func (s *Server) serve(l net.Listener) error {
	if s.Settings.Certificate != "" {
		return s.server.ServeTLS(l, s.Settings.Certificate, s.Settings.Key)
	}
	return s.server.Serve(l)
}

// serveMetrics serves only the metrics, without TLS.
func (s *Server) serveMetrics(l net.Listener) error {
	m := chi.NewRouter()
	m.Method(http.MethodGet, "/metrics", s.metricsHandler())
	s.metrics.Handler, s.metrics.ReadHeaderTimeout = m, readHeaderTimeout
	return s.metrics.Serve(l)
}

func (s *Server) metricsHandler() http.Handler {
	return promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{})
}

// Close closes the listeners and all connections.
func (s *Server) Close() error {
	return errors.Join(s.server.Close(), s.metrics.Close())
}

func (s *Server) routes() http.Handler {
	m := chi.NewRouter()
	m.Get("/healthz", s.health)
	m.Get("/readyz", s.ready)
	if p := s.Settings.ReadyPath; p != "" {
		m.Get(p, s.ready)
	}
	m.Get("/dump", s.dump)
	if s.Explain != nil {
		m.Method(http.MethodGet, "/explain", s.Explain)
	}
	m.Put("/log-level/{level}", s.level)
	m.Mount("/debug", middleware.Profiler())
	m.Method(http.MethodGet, "/metrics", s.metricsHandler())
	return m
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("Alive.\n"))
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("Ready.\n"))
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) {
	d := map[string]any{}
	for n, p := range s.Dumpers {
		d[n] = p.Dump()
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(d)
}

func (s *Server) level(w http.ResponseWriter, r *http.Request) {
	if err := s.SetLevel(chi.URLParam(r, "level")); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
