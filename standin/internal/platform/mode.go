package platform

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Mode is a behaviour of the service: one of the types below. Faults accumulate until
// Normal ends them all.
type Mode interface {
	mode()
}

// Normal ends all faults.
type Normal struct{}

// Down answers every read with status 503.
type Down struct{}

// Stale answers as if Revision were the newest revision. Reads that wait for a newer
// one get an answer without values when their wait time is over.
type Stale struct {
	// Revision 0 stands for the newest revision when the mode is set.
	Revision uint64
}

// Reverted answers as if the platform had been restored to the older Revision. A
// reader that has a newer revision gets the answer without a wait.
type Reverted struct {
	Revision uint64
}

// FrozenList answers with the VM list that was shown when the mode was set.
type FrozenList struct{}

func (Normal) mode()     {}
func (Down) mode()       {}
func (Stale) mode()      {}
func (Reverted) mode()   {}
func (FrozenList) mode() {}

// ParseMode parses a mode such as "normal", "down", "stale", "stale 3",
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

// fault is the sum of the faults that a reader sees.
type fault struct {
	down     bool
	stale    bool
	reverted bool
	// maxRevision is the newest revision shown if stale or reverted is set.
	maxRevision uint64
	// frozenAt is the time of the VM list that is shown in mode FrozenList, else
	// zero.
	frozenAt time.Time
}

// visibleRevision returns the newest revision shown; revision is the real one.
func (f fault) visibleRevision(revision uint64) uint64 {
	if f.stale || f.reverted {
		return min(f.maxRevision, revision)
	}
	return revision
}

// listTime returns the time of the VM list shown; lagging is the time without a
// fault.
func (f fault) listTime(lagging time.Time) time.Time {
	if f.frozenAt.IsZero() {
		return lagging
	}
	return f.frozenAt
}

// SetMode adds a mode for all readers. It ends the faults of single addresses.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.defaultFault = s.applyLocked(s.defaultFault, m)
	s.readerFaults = nil
	s.wakeLocked()
}

// SetReaderMode adds a mode for the readers of one address of the service, in addition
// to the faults in force there.
func (s *Server) SetReaderMode(a netip.AddrPort, m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.applyLocked(s.readerFaultLocked(a), m)
	if s.readerFaults == nil {
		s.readerFaults = map[netip.AddrPort]fault{}
	}
	s.readerFaults[a] = f
	s.wakeLocked()
}

// applyLocked returns f with the mode m added. The caller holds mu.
func (s *Server) applyLocked(f fault, m Mode) fault {
	switch m := m.(type) {
	case Normal:
		return fault{}
	case Down:
		f.down = true
	case Stale:
		f.stale = true
		f.maxRevision = m.Revision
		if m.Revision == 0 {
			f.maxRevision = s.revisionLocked()
		}
	case Reverted:
		f.reverted = true
		f.maxRevision = m.Revision
	case FrozenList:
		f.frozenAt = time.Now().Add(-s.Lag)
	}
	return f
}

// readerFault returns the fault for the readers of an address.
func (s *Server) readerFault(a netip.AddrPort) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readerFaultLocked(a)
}

// readerFaultLocked is readerFault for a caller that holds mu.
func (s *Server) readerFaultLocked(a netip.AddrPort) fault {
	if f, ok := s.readerFaults[a]; ok {
		return f
	}
	return s.defaultFault
}
