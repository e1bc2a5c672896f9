package platform

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Mode is a way in which the service answers: one of the types below.
type Mode interface {
	mode()
}

// Normal ends every fault.
type Normal struct{}

// Down answers every read with an error.
type Down struct{}

// Stale answers as if no revision after Revision had come; watches wait.
type Stale struct {
	// Revision 0 stands for the newest at the time of the change.
	Revision uint64
}

// Reverted answers at once with an older revision, also to those who know a
// newer one.
type Reverted struct {
	Revision uint64
}

// FrozenList answers with the VM list of the time of the change.
type FrozenList struct{}

func (Normal) mode()     {}
func (Down) mode()       {}
func (Stale) mode()      {}
func (Reverted) mode()   {}
func (FrozenList) mode() {}

// ParseMode reads a mode such as "normal", "down", "stale", "stale 3",
// "reverted 2" or "frozen-list".
func ParseMode(text string) (Mode, error) {
	f := strings.Fields(text)
	if len(f) == 0 || len(f) > 2 {
		return nil, fmt.Errorf("platform: mode %q has no name or too many words", text)
	}
	var n uint64
	if len(f) == 2 {
		var err error
		if n, err = strconv.ParseUint(f[1], 10, 64); err != nil {
			return nil, fmt.Errorf("platform: mode %q: %w", text, err)
		}
	}
	switch f[0] {
	case "normal":
		return Normal{}, nil
	case "down":
		return Down{}, nil
	case "stale":
		return Stale{Revision: n}, nil
	case "reverted":
		return Reverted{Revision: n}, nil
	case "frozen-list":
		return FrozenList{}, nil
	}
	return nil, fmt.Errorf("platform: unknown mode %q", text)
}

// fault is what is wrong for a reader.
type fault struct {
	down     bool
	stale    bool
	reverted bool
	// at is the newest revision shown while stale or reverted.
	at uint64
	// frozen is the time of the list that is shown; zero means the lagging
	// one.
	frozen time.Time
}

func (f fault) newest(revision uint64) uint64 {
	if f.stale || f.reverted {
		return min(f.at, revision)
	}
	return revision
}

func (f fault) listTime(lagging time.Time) time.Time {
	if f.frozen.IsZero() {
		return lagging
	}
	return f.frozen
}

// SetMode changes how all readers are answered. It ends the faults of single
// readers.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = s.apply(s.all, m)
	s.faults = nil
	s.wake()
}

// SetReaderMode changes how the readers of one address are answered.
func (s *Server) SetReaderMode(a netip.AddrPort, m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.apply(s.faultLocked(a), m)
	if s.faults == nil {
		s.faults = map[netip.AddrPort]fault{}
	}
	s.faults[a] = f
	s.wake()
}

// apply returns the fault f with m taken in. The caller holds mu.
func (s *Server) apply(f fault, m Mode) fault {
	switch m := m.(type) {
	case Normal:
		return fault{}
	case Down:
		f.down = true
	case Stale:
		f.stale = true
		f.at = m.Revision
		if m.Revision == 0 {
			f.at = s.revision()
		}
	case Reverted:
		f.reverted = true
		f.at = m.Revision
	case FrozenList:
		f.frozen = time.Now().Add(-s.Lag)
	}
	return f
}

func (s *Server) faultOf(a netip.AddrPort) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultLocked(a)
}

func (s *Server) faultLocked(a netip.AddrPort) fault {
	if f, ok := s.faults[a]; ok {
		return f
	}
	return s.all
}
