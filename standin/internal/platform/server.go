// Package platform simulates the platform's read-only service: configuration values
// with revisions, a VM list that lags behind, and faults of both.
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

// Server serves values and a VM list. Set the exported fields before Run.
type Server struct {
	// Addresses are the addresses to listen on. Faults can be set separately for
	// the readers of each.
	Addresses []netip.AddrPort
	// Lag is the age of the VM list in answers.
	Lag time.Duration

	mu sync.Mutex
	// edits are in the order of their revisions.
	edits []edit
	// changed is closed and replaced at each change of the values or faults.
	changed chan struct{}
	// vmLists are in the order of their times.
	vmLists []vmList
	// defaultFault applies to the addresses that are not in readerFaults.
	defaultFault fault
	readerFaults map[netip.AddrPort]fault
	servers      []*http.Server

	reads  atomic.Uint64
	denied atomic.Uint64
	rate   rateCounter
}

// Run serves until Close is called or a listener fails.
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

// Close closes all listeners and connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		_ = v.Close()
	}
}

// Reads returns the number of reads. A read that waits for a change counts once.
func (s *Server) Reads() uint64 {
	return s.reads.Load()
}

// ReadRate returns the number of reads in the last whole second.
func (s *Server) ReadRate() uint64 {
	return s.rate.lastSecond(time.Now())
}

func (s *Server) routes(a netip.AddrPort) http.Handler {
	m := chi.NewRouter()
	m.Use(func(next http.Handler) http.Handler { return s.countReads(a, next) })
	m.Get("/v1/values", func(w http.ResponseWriter, r *http.Request) { s.getValues(a, w, r) })
	m.Get("/v1/vms", func(w http.ResponseWriter, _ *http.Request) { s.getVMs(a, w) })
	return m
}

// countReads is a middleware that counts each read and refuses it in mode Down.
func (s *Server) countReads(a netip.AddrPort, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.reads.Add(1)
		s.rate.add(time.Now())
		if s.readerFault(a).down {
			s.denied.Add(1)
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// getValues answers with the values that changed after the revision "after". If there
// are none, it waits for a change, at most for the duration "wait".
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
		v := s.readValues(a, after)
		if v.down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if v.immediate || len(v.answer.GetValues()) > 0 {
			writeAnswer(w, v.answer)
			return
		}
		select {
		case <-v.changed:
		case <-t.C:
			writeAnswer(w, v.answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// readResult is the result of a read of the values.
type readResult struct {
	answer *platformpb.ValuesAnswer
	// changed is closed when the values or faults have changed since.
	changed <-chan struct{}
	down    bool
	// immediate is set if the answer must be sent without a wait.
	immediate bool
}

func (s *Server) readValues(a netip.AddrPort, after uint64) readResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	f := s.readerFaultLocked(a)
	n := f.visibleRevision(s.revisionLocked())
	return readResult{
		answer:    s.valuesSinceLocked(after, n),
		changed:   s.changed,
		down:      f.down,
		immediate: f.reverted && n < after,
	}
}

func (s *Server) getVMs(a netip.AddrPort, w http.ResponseWriter) {
	s.mu.Lock()
	f := s.readerFaultLocked(a)
	m := s.vmListAt(f.listTime(time.Now().Add(-s.Lag)))
	s.mu.Unlock()
	writeAnswer(w, m)
}

// wakeLocked makes all waiting reads check the values and faults again. The caller
// holds mu.
func (s *Server) wakeLocked() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func writeAnswer(w http.ResponseWriter, m proto.Message) {
	b, err := protojson.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// rateCounter counts events in the current and the previous second.
type rateCounter struct {
	mu sync.Mutex
	// second is the current second in Unix time.
	second int64
	// counts are the events in the previous and in the current second.
	counts [2]uint64
}

func (c *rateCounter) add(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.counts[1]++
}

// lastSecond returns the number of events in the last whole second.
func (c *rateCounter) lastSecond(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	return c.counts[0]
}

// advance moves the counts on to the second of now. The caller holds mu.
func (c *rateCounter) advance(now time.Time) {
	switch d := now.Unix() - c.second; {
	case d == 1:
		c.counts = [2]uint64{c.counts[1], 0}
	case d > 1:
		c.counts = [2]uint64{}
	}
	c.second = now.Unix()
}
