// Package backend simulates backend servers: slots, service times, load reports,
// cold starts and faults.
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

// Server is a simulated backend server. Set the exported fields before Run.
type Server struct {
	// Address is the address to listen on.
	Address netip.AddrPort
	// Service and DataCentre name the service and the data centre of the server.
	Service    string
	DataCentre string
	// Slots is how many requests the server processes at once; 0 means no limit.
	Slots int
	// Queue is how many requests may wait for a slot; more are shed.
	Queue int
	// ServiceTime is the mean time to process a request.
	ServiceTime time.Duration
	// Spread is the sigma of the log-normal distribution of the service time;
	// 0 makes the service time constant.
	Spread float64
	// Connections is how many connections may be open at once; 0 means no limit.
	Connections int
	// OpenTime is an extra delay of the first answer on a new connection.
	OpenTime time.Duration
	// ProbeTime is how long the load endpoint takes to answer.
	ProbeTime time.Duration
	// LoadPath is the path of the load endpoint; if it is empty, there is none.
	LoadPath string
	// Seed makes the random service times and the choice of answers to abort
	// repeatable. The port is also part of the seed.
	Seed uint64
	// Recorder records the executions; it may be nil.
	Recorder *Recorder
	// Keys are the keys of workspaces; no request to a backend server may contain one.
	Keys []string

	initOnce sync.Once
	slots    chan struct{}
	http     http.Server
	conns    connSet
	state    state
}

// Run serves until Close is called or the listener fails.
func (s *Server) Run() error {
	l, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		return fmt.Errorf("backend: %w", err)
	}
	s.init()
	s.http.ReadHeaderTimeout = 0
	s.http.Handler = s.routes()
	err = s.http.Serve(&listener{Listener: l, server: s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("backend: %w", err)
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	s.conns.closeAll()
}

// init makes the slots and the random source; SetMode may be called before Run.
func (s *Server) init() {
	s.initOnce.Do(func() {
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

// getLoad answers a load probe.
func (s *Server) getLoad(w http.ResponseWriter, r *http.Request) {
	s.state.recordProbe()
	if !sleep(r.Context(), s.ProbeTime) {
		return
	}
	w.Header().Set(load.Header, s.report())
	w.WriteHeader(http.StatusNoContent)
}

// ServeHTTP processes a request, or fails or refuses it as the modes in force
// require.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m := s.state.recordArrival(time.Now())
	if m.failFast {
		s.answerError(w)
		return
	}
	if m.shed || m.drain {
		s.shed(w)
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if m.silent {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if !s.acquireSlot(ctx) {
		s.shed(w)
		return
	}
	defer s.releaseSlot()
	s.process(ctx, w, r, m)
}

// answerError answers with status 500 without processing the request.
func (s *Server) answerError(w http.ResponseWriter) {
	w.Header().Set(load.Header, s.report())
	w.WriteHeader(http.StatusInternalServerError)
}

// shed refuses the request and reports that it was not started.
func (s *Server) shed(w http.ResponseWriter) {
	w.Header().Set(load.RunHeader, load.NotRun)
	w.Header().Set(load.Header, s.report())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// acquireSlot waits for a slot. It returns false if the queue is full or ctx is done
// first.
func (s *Server) acquireSlot(ctx context.Context) bool {
	if s.slots == nil {
		s.state.recordStart()
		return true
	}
	select {
	case s.slots <- struct{}{}:
		s.state.recordStart()
		return true
	default:
	}
	if !s.state.enqueue(s.Queue) {
		return false
	}
	defer s.state.dequeue()
	select {
	case s.slots <- struct{}{}:
		s.state.recordStart()
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) releaseSlot() {
	s.state.recordEnd()
	if s.slots != nil {
		<-s.slots
	}
}

// requestContext returns the context of r with the timeout in the Request-Timeout
// header, if there is one.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	d, err := time.ParseDuration(r.Header.Get("Request-Timeout"))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), d)
}

// sleep waits for d. It returns false if ctx is done first.
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
