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

	table atomic.Pointer[table.Table]

	mu       sync.Mutex
	accepted snapshot
	newest   snapshot
	refused  refusal
	// events are published once mu is free.
	events []event.Event
}

// refusal is the newest revision that was found invalid.
type refusal struct {
	revision uint64
	findings []finding.Finding
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

// Accepted returns the revision in force and the digest of its values.
func (s *Store) Accepted() (uint64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted.revision, s.accepted.digest()
}

// Since returns the accepted revision, the digest of its values, and those of
// them that changed after the given revision.
func (s *Store) Since(revision uint64) (uint64, uint64, []*platformpb.Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted.revision, s.accepted.digest(), s.accepted.since(revision)
}

// ApplyPlatform takes the platform's answer to a read of the values after
// revision since. An answer that is no newer than what is known is ignored.
func (s *Store) ApplyPlatform(since uint64, a *platformpb.ValuesAnswer) {
	defer s.publish()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.GetRevision() <= s.newest.revision {
		return
	}
	if since > s.newest.revision {
		return
	}
	base := s.newest
	if since == 0 {
		base = snapshot{}
	}
	s.newest = base.with(a.GetRevision(), a.GetValues())
	s.offer(s.newest)
}

// ApplyPeer takes a peer's accepted values after revision since. It returns
// false when they do not fit the values held here, so that the peer must be
// asked for all of them.
func (s *Store) ApplyPeer(since uint64, a *PeerAnswer) bool {
	defer s.publish()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Accepted <= s.accepted.revision {
		return true
	}
	base := snapshot{}
	if since > 0 {
		base = s.accepted
	}
	if since != base.revision {
		return false
	}
	n := base.with(a.Accepted, a.Values)
	if n.digest() != a.Digest {
		return false
	}
	s.offer(n)
	if n.revision > s.newest.revision {
		s.newest = n
	}
	return true
}

// offer validates a snapshot and puts it in force when it is newer.
func (s *Store) offer(n snapshot) {
	t, fs := table.Parse(n.revision, n.texts())
	if len(fs) > 0 {
		s.refuse(n.revision, fs)
		return
	}
	if n.revision <= s.accepted.revision {
		return
	}
	s.accepted = n
	s.table.Store(t)
	_ = level.Info(s.Logger).Log("msg", "Table accepted.", "revision", n.revision)
	s.events = append(s.events, event.TableAccepted{Revision: n.revision})
}

func (s *Store) refuse(revision uint64, fs []finding.Finding) {
	s.refused = refusal{revision: revision, findings: fs}
	for _, f := range fs {
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
