// Package store holds the accepted configuration table. It receives values from
// the platform and from peers, and never returns to an older revision.
package store

import (
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/finding"
	"lentilbend.example/internal/platformpb"
	"lentilbend.example/internal/table"
)

// Sources of a snapshot, as logged.
const (
	sourcePlatform = "platform"
	sourcePeer     = "peer"
)

// Store holds the accepted table and the values it was parsed from. Set the
// exported fields before use.
type Store struct {
	Bus    *event.Bus
	Logger log.Logger
	// Parse parses the values of a revision; table.Parse when nil. It must be a
	// pure function of its arguments.
	Parse func(revision uint64, values []table.Value) (*table.Table, []finding.Finding)

	table atomic.Pointer[table.Table]

	mu sync.Mutex
	// accepted is the newest valid snapshot.
	accepted snapshot
	// newest is the newest snapshot known, valid or not.
	newest      snapshot
	lastRefusal Refusal
	refusals    uint64
	// pendingEvents are published after mu is unlocked.
	pendingEvents []event.Event
}

// Refusal is the last revision that was found invalid, with the reasons.
type Refusal struct {
	Revision uint64
	Findings []string
}

// Version identifies a set of values by the platform's revision and a hash of
// the values. Two sets of the same revision differ only if the platform was
// restored to an older revision and then used the same revision numbers again.
type Version struct {
	Revision uint64
	Digest   uint64
}

// Table returns the accepted table, or nil while there is none.
func (s *Store) Table() *table.Table {
	return s.table.Load()
}

// NewestRevision returns the newest revision known, valid or not.
func (s *Store) NewestRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.revision
}

// Accepted returns the version of the accepted table.
func (s *Store) Accepted() Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted.version()
}

// ValuesSince returns the accepted version and those of its values, deleted ones
// included, that changed after the given revision.
func (s *Store) ValuesSince(revision uint64) (Version, []*platformpb.Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted.version(), s.accepted.changedSince(revision)
}

// ApplyPlatform applies the platform's answer to a read of the values changed
// after revision since; 0 means a read of all values. It ignores an answer that
// is older than the newest known revision, and changes after a revision other
// than the newest known one.
func (s *Store) ApplyPlatform(since uint64, a *platformpb.ValuesAnswer) {
	defer s.publishEvents()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.GetRevision() < s.newest.revision {
		return
	}
	if since != 0 && since != s.newest.revision {
		return
	}
	base := s.newest
	if since == 0 {
		base = snapshot{}
	}
	n := base.withChanges(a.GetRevision(), a.GetValues())
	if n.version() == s.newest.version() {
		return
	}
	s.newest = n
	s.acceptIfValid(n, sourcePlatform)
}

// ApplyChanges applies changes from a platform that counts one revision over all
// values. They must be complete from a revision that is known here up to their
// own, and may include changes that are known already.
func (s *Store) ApplyChanges(a *platformpb.ValuesAnswer) {
	defer s.publishEvents()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.GetRevision() <= s.newest.revision {
		return
	}
	n := s.newest.withChanges(a.GetRevision(), a.GetValues())
	s.newest = n
	s.acceptIfValid(n, sourcePlatform)
}

// ApplyPeer applies a peer's accepted version v, given its values changed after
// revision since; 0 means all values. It ignores a version that is not newer than
// the one accepted here. It returns false when since is another revision than the
// one accepted here or the result does not match v, so that the peer must be asked
// for all values.
func (s *Store) ApplyPeer(since uint64, v Version, values []*platformpb.Value) bool {
	defer s.publishEvents()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Revision <= s.accepted.revision {
		return true
	}
	base := s.accepted
	if since == 0 {
		base = snapshot{}
	}
	if since != base.revision {
		return false
	}
	n := base.withChanges(v.Revision, values)
	if n.version() != v {
		return false
	}
	s.acceptIfValid(n, sourcePeer)
	if n.revision > s.newest.revision {
		s.newest = n
	}
	return true
}

// acceptIfValid parses a snapshot and accepts it if it is valid and not older
// than the accepted one. source is logged. mu must be held.
func (s *Store) acceptIfValid(n snapshot, source string) {
	parse := s.Parse
	if parse == nil {
		parse = table.Parse
	}
	t, fs := parse(n.revision, n.tableValues())
	if len(fs) > 0 {
		s.recordRefusal(n.revision, fs)
		return
	}
	if n.revision < s.accepted.revision {
		return
	}
	s.accepted = n
	s.table.Store(t)
	_ = level.Info(s.Logger).Log("msg", "Table accepted.", "revision", n.revision, "source", source)
	s.pendingEvents = append(s.pendingEvents, event.TableAccepted{Revision: n.revision})
}

// recordRefusal records and logs why a revision is invalid. mu must be held.
func (s *Store) recordRefusal(revision uint64, fs []finding.Finding) {
	s.refusals++
	s.lastRefusal = Refusal{Revision: revision}
	for _, f := range fs {
		s.lastRefusal.Findings = append(s.lastRefusal.Findings, f.String())
		_ = level.Warn(s.Logger).Log("msg", "Table refused.", "revision", revision, "finding", f.String())
	}
	s.pendingEvents = append(s.pendingEvents, event.TableRefused{Revision: revision, Findings: len(fs)})
}

// publishEvents publishes the pending events. mu must not be held, since a
// subscriber may call the store.
func (s *Store) publishEvents() {
	s.mu.Lock()
	es := s.pendingEvents
	s.pendingEvents = nil
	s.mu.Unlock()
	for _, e := range es {
		_ = s.Bus.Publish(e)
	}
}
