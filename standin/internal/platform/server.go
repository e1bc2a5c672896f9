// Package platform is a stand-in for the platform's read-only service:
// configuration values with revisions, a lagging VM list, and the faults of
// both.
package platform

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/platformpb"
)

// Server serves values and a VM list, on one address for each reader that is
// to be told apart. Set the exported fields before Run.
type Server struct {
	// Addresses are listened on; a fault may be set for the readers of one.
	Addresses []netip.AddrPort
	// Lag is how old an answered VM list is.
	Lag time.Duration

	mu      sync.Mutex
	edits   []edit
	changed chan struct{}
	lists   []list
	all     fault
	faults  map[netip.AddrPort]fault
	servers []*http.Server

	reads  atomic.Uint64
	denied atomic.Uint64
	rate   rateCounter
}

// Run serves until Close or until an address fails.
func (s *Server) Run() error {
	failed := make(chan error, len(s.Addresses))
	for _, a := range s.Addresses {
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		v := &http.Server{Handler: s.routes(a), ReadHeaderTimeout: time.Second}
		s.mu.Lock()
		s.servers = append(s.servers, v)
		s.mu.Unlock()
		go func() { failed <- v.Serve(l) }()
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("platform: %w", err)
	}
	return nil
}

// Close ends all listeners and connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		_ = v.Close()
	}
}

// Reads returns how many reads came; a waiting watch counts as one.
func (s *Server) Reads() uint64 {
	return s.reads.Load()
}

// ReadRate returns the reads of the last whole second.
func (s *Server) ReadRate() uint64 {
	return s.rate.last(time.Now())
}

func (s *Server) routes(a netip.AddrPort) http.Handler {
	m := chi.NewRouter()
	m.Use(func(next http.Handler) http.Handler { return s.count(a, next) })
	m.Get("/v1/values", func(w http.ResponseWriter, r *http.Request) { s.getValues(a, w, r) })
	m.Get("/v1/vms", func(w http.ResponseWriter, _ *http.Request) { s.getVms(a, w) })
	return m
}

// count counts a read and refuses it while the service is down.
func (s *Server) count(a netip.AddrPort, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.reads.Add(1)
		s.rate.add(time.Now())
		if s.faultOf(a).down {
			s.denied.Add(1)
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) getValues(a netip.AddrPort, w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "bad wait", http.StatusBadRequest)
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		v := s.view(a, after)
		if v.down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if v.now || len(v.answer.GetValues()) > 0 {
			answer(w, v.answer)
			return
		}
		select {
		case <-v.changed:
		case <-t.C:
			answer(w, v.answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// view is what one reader is shown.
type view struct {
	answer *platformpb.ValuesAnswer
	// changed is closed when another look is worthwhile.
	changed <-chan struct{}
	down    bool
	// now asks for an answer without a wait.
	now bool
}

func (s *Server) view(a netip.AddrPort, after uint64) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	f := s.faultLocked(a)
	n := f.newest(s.revision())
	return view{
		answer:  s.sinceLocked(after, n),
		changed: s.changed,
		down:    f.down,
		now:     f.reverted && n < after,
	}
}

func (s *Server) getVms(a netip.AddrPort, w http.ResponseWriter) {
	s.mu.Lock()
	f := s.faultLocked(a)
	m := s.listAt(f.listTime(time.Now().Add(-s.Lag)))
	s.mu.Unlock()
	answer(w, m)
}

// wake lets every waiting watch look again. The caller holds mu.
func (s *Server) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, m proto.Message) {
	b, err := protojson.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// rateCounter counts events of the current and the last second.
type rateCounter struct {
	mu     sync.Mutex
	second int64
	counts [2]uint64
}

func (c *rateCounter) add(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn(now)
	c.counts[1]++
}

func (c *rateCounter) last(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn(now)
	return c.counts[0]
}

func (c *rateCounter) turn(now time.Time) {
	switch d := now.Unix() - c.second; {
	case d == 1:
		c.counts = [2]uint64{c.counts[1], 0}
	case d > 1:
		c.counts = [2]uint64{}
	}
	c.second = now.Unix()
}
