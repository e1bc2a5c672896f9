// Package store keeps the table in force. It takes values from the platform
// and from peers, and never goes back to an older revision.
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

// Store holds the accepted table. Set the exported fields before use.
type Store struct {
	Bus    *event.Bus
	Logger log.Logger
	// Parse reads the values of a revision; table.Parse when nil. It must be a
	// pure function of its arguments.
	Parse func(revision uint64, values []table.Value) (*table.Table, []finding.Finding)

	table atomic.Pointer[table.Table]

	mu       sync.Mutex
	accepted snapshot
	newest   snapshot
	refused  Refused
	refusals uint64
	// events are published once mu is free.
	events []event.Event
}

// Refused is the newest revision that was found invalid.
type Refused struct {
	Revision uint64
	Findings []string
}

// Version names a set of values: the platform's revision and a hash over the
// values. Two sets of one revision differ only where the platform was set back
// and counted on from an older revision.
type Version struct {
	Revision uint64
	Digest   uint64
}

// Table returns the table in force, or nil before the first.
func (s *Store) Table() *table.Table {
	return s.table.Load()
}

// Newest returns the newest revision known, valid or not.
func (s *Store) Newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.revision
}

// Accepted returns the version in force.
func (s *Store) Accepted() Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted.version()
}

// Since returns the accepted version and those of its values that changed
// after the given revision.
func (s *Store) Since(revision uint64) (Version, []*platformpb.Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted.version(), s.accepted.since(revision)
}

// ApplyPlatform takes the platform's answer to a read of the values after
// revision since; 0 means a read of all values. It ignores an answer that is
// older than what is known, and one that does not follow it.
func (s *Store) ApplyPlatform(since uint64, a *platformpb.ValuesAnswer) {
	defer s.publish()
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
	n := base.with(a.GetRevision(), a.GetValues())
	if n.version() == s.newest.version() {
		return
	}
	s.newest = n
	s.offer(n)
}

// ApplyChanges takes changes from a platform that counts one revision over all
// values: they are complete from a revision that is known here up to their own.
// What is known already may come again.
func (s *Store) ApplyChanges(a *platformpb.ValuesAnswer) {
	defer s.publish()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.GetRevision() <= s.newest.revision {
		return
	}
	n := s.newest.with(a.GetRevision(), a.GetValues())
	s.newest = n
	s.offer(n)
}

// ApplyPeer takes a peer's accepted version with its values after revision
// since. It returns false when they do not fit the values held here, so that
// the peer must be asked for all of them.
func (s *Store) ApplyPeer(since uint64, v Version, values []*platformpb.Value) bool {
	defer s.publish()
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
	n := base.with(v.Revision, values)
	if n.version() != v {
		return false
	}
	s.offer(n)
	if n.revision > s.newest.revision {
		s.newest = n
	}
	return true
}

// offer validates a snapshot and puts it in force unless it is older.
func (s *Store) offer(n snapshot) {
	parse := s.Parse
	if parse == nil {
		parse = table.Parse
	}
	t, fs := parse(n.revision, n.texts())
	if len(fs) > 0 {
		s.refuse(n.revision, fs)
		return
	}
	if n.revision < s.accepted.revision {
		return
	}
	s.accepted = n
	s.table.Store(t)
	_ = level.Info(s.Logger).Log("msg", "Table accepted.", "revision", n.revision)
	s.events = append(s.events, event.TableAccepted{Revision: n.revision})
}

func (s *Store) refuse(revision uint64, fs []finding.Finding) {
	s.refusals++
	s.refused = Refused{Revision: revision}
	for _, f := range fs {
		s.refused.Findings = append(s.refused.Findings, f.String())
		_ = level.Warn(s.Logger).Log("msg", "Table refused.", "revision", revision, "finding", f.String())
	}
	s.events = append(s.events, event.TableRefused{Revision: revision, Findings: len(fs)})
}

// publish hands out the events of the last change. A subscriber may call the
// store, so mu must be free.
func (s *Store) publish() {
	s.mu.Lock()
	es := s.events
	s.events = nil
	s.mu.Unlock()
	for _, e := range es {
		_ = s.Bus.Publish(e)
	}
}
