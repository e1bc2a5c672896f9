// Package store holds the accepted configuration table. It receives values from
// the platform and from peers, and never returns to an older version. After the platform
// was restored from a copy, it carries over what the copy lacks.
package store

import (
	"sync"
	"sync/atomic"
	"time"

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

	// Precedence compares two texts of a value after the platform was restored; see
	// table.Precedence. nil means that texts tell nothing.
	Precedence func(name, earlier, restored string) table.Precedence
	// CarryTime is for how long values that were in effect before the platform was
	// restored stay in effect, unless they are written again.
	CarryTime time.Duration
	// Now returns the time; time.Now when nil.
	Now func() time.Time

	table atomic.Pointer[table.Table]

	mu sync.Mutex
	// accepted is the newest valid snapshot.
	accepted snapshot
	// announced is the version of accepted that VMs announce.
	announced Version
	// newest is the newest snapshot known, valid or not.
	newest      snapshot
	lastRefusal Refusal
	refusals    uint64
	// lacksCarriedUntil is until when this VM asks peers for the values that they carry
	// over. It is zero unless the VM started from a platform that had been restored.
	lacksCarriedUntil time.Time
	// expiryChanged signals a change of accepted to Run.
	expiryChanged chan struct{}
	// pendingEvents are published after mu is unlocked.
	pendingEvents []event.Event
}

// Refusal is the last revision that was found invalid, with the reasons.
type Refusal struct {
	Era      uint64
	Revision uint64
	Findings []string
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

// Newest returns the newest version known, valid or not.
func (s *Store) Newest() Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.version()
}

// Accepted returns the version of the accepted table, as it is announced.
func (s *Store) Accepted() Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced
}

// ValuesSince returns the accepted version, those of its values, deleted ones
// included, that changed after the given version, and the carried values. It returns
// all values if the given version is of another era.
func (s *Store) ValuesSince(v Version) (Version, []*platformpb.Value, []Carried) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := v.Revision
	if v.Era != s.accepted.era {
		since = 0
	}
	return s.accepted.version(), s.accepted.changedSince(since), s.accepted.exportCarried(s.now())
}

// ApplyPlatform applies the platform's answer to a read of the values changed
// after revision since; 0 means a read of all values. It ignores an answer that
// is older than the newest known version, and changes after a version other
// than the newest known one. An answer of a new era must be a read of all values.
func (s *Store) ApplyPlatform(since uint64, a *platformpb.ValuesAnswer) {
	defer s.publishEvents()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := Version{Era: a.GetEra(), Revision: a.GetRevision()}
	if v.Compare(s.newest.version()) < 0 {
		return
	}
	if since != 0 && (since != s.newest.revision || v.Era != s.newest.era) {
		return
	}
	base := s.newest
	if since == 0 {
		base = snapshot{era: v.Era}
	}
	n := base.withChanges(v.Revision, a.GetValues())
	if n.version() == s.newest.version() {
		return
	}
	if s.accepted.values == nil && v.Era > 0 {
		s.lacksCarriedUntil = s.now().Add(s.CarryTime)
	}
	s.setNewest(s.carryInto(n, nil), sourcePlatform)
	s.acceptIfValid(s.newest, sourcePlatform)
}

// ApplyChanges applies changes from a platform that counts one revision over all
// values. They must be complete from a revision that is known here up to their
// own, and may include changes that are known already. It ignores those of another era
// than that of the newest known version.
func (s *Store) ApplyChanges(a *platformpb.ValuesAnswer) {
	defer s.publishEvents()
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.GetEra() != s.newest.era || a.GetRevision() <= s.newest.revision {
		return
	}
	s.setNewest(s.carryInto(s.newest.withChanges(a.GetRevision(), a.GetValues()), nil), sourcePlatform)
	s.acceptIfValid(s.newest, sourcePlatform)
}

// ApplyPeer applies a peer's accepted version v, given its values changed after
// revision since of the same era and the values that it carries over; 0 means all
// values. Of a version that is not newer than the one accepted here, it applies only
// the carried values. It returns false when since is another revision than the
// one accepted here or the result does not match v, so that the peer must be asked
// for all values.
func (s *Store) ApplyPeer(since uint64, v Version, values []*platformpb.Value, carried []Carried) bool {
	defer s.publishEvents()
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.policy().importCarried(s.now(), carried)
	if v.Compare(s.accepted.version()) <= 0 {
		s.mergeCarried(v, peers)
		return true
	}
	base := s.accepted
	if since == 0 {
		base = snapshot{era: v.Era}
	}
	if since != base.revision || v.Era != base.era {
		return false
	}
	n := base.withChanges(v.Revision, values)
	if n.version() != v {
		return false
	}
	n = s.carryInto(n, peers)
	if v.Compare(s.newest.version()) >= 0 {
		s.setNewest(n, sourcePeer)
	}
	s.acceptIfValid(n, sourcePeer)
	s.mergeCarried(v, peers)
	return true
}

// carryInto returns the snapshot n with the values of earlier eras that stay in effect.
// peers are those that a peer carries over. mu must be held.
func (s *Store) carryInto(n snapshot, peers map[string]carriedValue) snapshot {
	switch {
	case n.era == s.accepted.era:
		n.carried = s.policy().keepCarried(s.accepted.carried, n)
	case n.era == s.newest.era && peers == nil:
		// The accepted version is of an earlier era, since this one was invalid so far.
		n.carried = s.policy().keepCarried(s.newest.carried, n)
	case n.era > s.accepted.era:
		n.carried = s.policy().carryOver(s.now(), s.accepted, n, peers)
	}
	if s.Precedence != nil {
		n.rememberDeleted(s.accepted)
	}
	return n
}

// mergeCarried applies the values that a peer carries over at version v. mu must be held.
func (s *Store) mergeCarried(v Version, peers map[string]carriedValue) {
	if v.Era == 0 || v.Era != s.accepted.era {
		return
	}
	limited := s.lacksCarried()
	s.lacksCarriedUntil = time.Time{}
	if v.Era == s.newest.era {
		s.newest, _ = s.policy().merge(s.now(), s.newest, v.Revision, peers, limited)
	}
	if n, changed := s.policy().merge(s.now(), s.accepted, v.Revision, peers, limited); changed {
		s.acceptIfValid(n, sourcePeer)
	}
}

// setNewest sets the newest known snapshot, and logs a change of era. mu must be held.
func (s *Store) setNewest(n snapshot, source string) {
	if s.newest.values != nil && n.era != s.newest.era {
		_ = level.Warn(s.Logger).Log("msg", "Platform was restored from a copy.", "era", n.era, "revision", n.revision,
			"earlierEra", s.newest.era, "earlierRevision", s.newest.revision, "carried", len(n.carried), "source", source)
	}
	s.newest = n
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
		s.recordRefusal(n, fs)
		return
	}
	if n.version().Compare(s.accepted.version()) < 0 {
		return
	}
	t.Era = n.era
	s.accepted, s.announced = n, n.announcedVersion()
	s.table.Store(t)
	kv := []any{"msg", "Table accepted.", "revision", n.revision, "source", source}
	if n.era > 0 {
		kv = append(kv, "era", n.era, "carried", len(n.carried))
	}
	_ = level.Info(s.Logger).Log(kv...)
	s.pendingEvents = append(s.pendingEvents, event.TableAccepted{Revision: n.revision})
	s.signalExpiry()
}

// recordRefusal records and logs why a revision is invalid. mu must be held.
func (s *Store) recordRefusal(n snapshot, fs []finding.Finding) {
	revision := n.revision
	s.refusals++
	s.lastRefusal = Refusal{Era: n.era, Revision: revision}
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
