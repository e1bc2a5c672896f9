package backend

import (
	"net/netip"
	"sync"
	"time"
)

// Execution is one request that a backend server started to work on.
type Execution struct {
	ID string
	// Workspace is what the request's header of that name says; empty when it
	// has none.
	Workspace  string
	Server     netip.AddrPort
	Attempt    int
	Start, End time.Time
	BodyDigest string
	// KeySeen says that the request held a key.
	KeySeen bool
	// Cancelled says that the work was not finished.
	Cancelled bool
}

// Recorder collects executions; its zero value is ready for use.
type Recorder struct {
	mu  sync.Mutex
	all []Execution
}

func (s *Server) record(e Execution) {
	if s.Recorder == nil || e.ID == "" {
		return
	}
	s.Recorder.mu.Lock()
	defer s.Recorder.mu.Unlock()
	s.Recorder.all = append(s.Recorder.all, e)
}

// Executions returns a copy of those recorded so far, from the given index on.
func (r *Recorder) Executions(from int) []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from >= len(r.all) {
		return nil
	}
	return append([]Execution(nil), r.all[from:]...)
}
