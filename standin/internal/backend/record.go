package backend

import (
	"net/netip"
	"sync"
	"time"
)

// Execution is a request that a backend server started to process.
type Execution struct {
	// ID is the value of IDHeader.
	ID string
	// Workspace is the value of the Workspace header, or empty.
	Workspace string
	Server    netip.AddrPort
	// Attempt is the value of the Request-Attempt header, or 0.
	Attempt    int
	Start, End time.Time
	// BodyDigest is the digest of the request's body.
	BodyDigest string
	// KeySeen is set if the URL or a header contained one of Server.Keys.
	KeySeen bool
	// Cancelled is set if the server did not finish processing the request.
	Cancelled bool
}

// Recorder records executions. Its zero value is ready for use.
type Recorder struct {
	mu  sync.Mutex
	all []Execution
}

// recordExecution records an execution; requests without an ID are left out.
func (s *Server) recordExecution(e Execution) {
	if s.Recorder == nil || e.ID == "" {
		return
	}
	s.Recorder.mu.Lock()
	defer s.Recorder.mu.Unlock()
	s.Recorder.all = append(s.Recorder.all, e)
}

// Executions returns a copy of the recorded executions, starting at index from.
func (r *Recorder) Executions(from int) []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from >= len(r.all) {
		return nil
	}
	return append([]Execution(nil), r.all[from:]...)
}
