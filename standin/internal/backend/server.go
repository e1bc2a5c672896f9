// Package backend is a stand-in for backend servers: slots, service times,
// load reports, cold starts, and the ways in which a server fails.
package backend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"lentilbend.example/internal/load"
)

// Server is one backend server. Set the exported fields before Run.
type Server struct {
	// Address is listened on.
	Address netip.AddrPort
	// Service and DataCentre name what the server belongs to.
	Service    string
	DataCentre string
	// Slots is how many requests it works on at once; 0 means no bound.
	Slots int
	// Queue is how many requests may wait for a slot; more are shed.
	Queue int
	// ServiceTime is the mean time of work on a request.
	ServiceTime time.Duration
	// Spread is the sigma of the log-normal distribution of the time of work;
	// 0 makes it constant.
	Spread float64
	// Connections is how many connections it accepts; 0 means no bound.
	Connections int
	// OpenTime is how long a new connection waits for its first answer.
	OpenTime time.Duration
	// ProbeTime is how long an answer of the load endpoint takes.
	ProbeTime time.Duration
	// LoadPath is the path of the load endpoint.
	LoadPath string
	// Seed makes the times of work repeatable.
	Seed uint64
	// Recorder takes the executions; it may be nil.
	Recorder *Recorder
	// Keys must not be seen in any request.
	Keys []string

	once  sync.Once
	slots chan struct{}
	http  http.Server
	conns conns
	state state
}

// Run serves until Close or until the address fails.
func (s *Server) Run() error {
	l, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		return fmt.Errorf("backend: %w", err)
	}
	s.prepare()
	s.http.ReadHeaderTimeout = 0
	s.http.Handler = s.routes()
	err = s.http.Serve(&listener{Listener: l, server: s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("backend: %w", err)
}

// Close ends the listener and all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	s.conns.release()
}

func (s *Server) prepare() {
	s.once.Do(func() {
		if s.Slots > 0 {
			s.slots = make(chan struct{}, s.Slots)
		}
		s.state.random = rand.New(rand.NewPCG(s.Seed, uint64(s.Address.Port())))
	})
}

func (s *Server) routes() http.Handler {
	m := chi.NewRouter()
	if s.LoadPath != "" {
		m.Get(s.LoadPath, s.getLoad)
	}
	m.Handle("/*", s)
	return m
}

// getLoad answers a probe.
func (s *Server) getLoad(w http.ResponseWriter, r *http.Request) {
	s.state.probed()
	if !sleep(r.Context(), s.ProbeTime) {
		return
	}
	w.Header().Set(load.Header, s.report())
	w.WriteHeader(http.StatusNoContent)
}

// ServeHTTP works on a request, or refuses it as the modes ask.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m := s.state.arrive(time.Now())
	if m.failFast {
		s.fail(w)
		return
	}
	if m.shed || m.drain {
		s.shed(w)
		return
	}
	ctx, cancel := deadline(r)
	defer cancel()
	if m.silent {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if !s.enter(ctx) {
		s.shed(w)
		return
	}
	defer s.leave()
	s.run(ctx, w, r, m)
}

// fail answers with an error at once; nothing ran.
func (s *Server) fail(w http.ResponseWriter) {
	w.Header().Set(load.Header, s.report())
	w.WriteHeader(http.StatusInternalServerError)
}

// shed says that the request was not started.
func (s *Server) shed(w http.ResponseWriter) {
	w.Header().Set(load.RunHeader, load.NotRun)
	w.Header().Set(load.Header, s.report())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// enter waits for a slot. The result is false when the queue is full or ctx
// ended first.
func (s *Server) enter(ctx context.Context) bool {
	if s.slots == nil {
		s.state.start()
		return true
	}
	select {
	case s.slots <- struct{}{}:
		s.state.start()
		return true
	default:
	}
	if !s.state.queue(s.Queue) {
		return false
	}
	defer s.state.unqueue()
	select {
	case s.slots <- struct{}{}:
		s.state.start()
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) leave() {
	s.state.end()
	if s.slots != nil {
		<-s.slots
	}
}

// deadline returns the request's context with the time left that the request
// tells.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	d, err := time.ParseDuration(r.Header.Get("Request-Timeout"))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), d)
}

// sleep returns false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
