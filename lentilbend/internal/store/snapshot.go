package store

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/platformpb"
	"lentilbend.example/internal/table"
)

// snapshot is the immutable set of values at one revision of an era.
type snapshot struct {
	era, revision uint64
	// values are keyed by name. Deleted values stay as tombstones, so that peers
	// with an older revision receive the deletion.
	values map[string]*platformpb.Value
	// digest is the hash of the values that are not deleted.
	digest uint64
	// carried are the values of earlier eras that are in effect instead, by name.
	carried map[string]carriedValue
}

func (s snapshot) version() Version {
	return Version{Era: s.era, Revision: s.revision, Digest: s.digest}
}

// announcedVersion returns the version that VMs announce; see AnnouncedDigest.
func (s snapshot) announcedVersion() Version {
	v := s.version()
	if len(s.carried) > 0 {
		v.Digest = AnnouncedDigest(v.Digest, s.exportCarried(time.Time{}))
	}
	return v
}

// withChanges returns the snapshot at a later revision of the same era, without carried
// values. A changed value replaces the one of the same name unless its own revision is
// older.
func (s snapshot) withChanges(revision uint64, changed []*platformpb.Value) snapshot {
	n := snapshot{era: s.era, revision: revision, values: map[string]*platformpb.Value{}}
	maps.Copy(n.values, s.values)
	for _, v := range changed {
		if old := n.values[v.GetName()]; old.GetRevision() <= v.GetRevision() {
			n.values[v.GetName()] = v
		}
	}
	n.digest = computeDigest(n.ownValues())
	return n
}

// maxLastText bounds the text that is kept of a deleted value. The entry of a server has
// a few hundred bytes.
const maxLastText = 4 << 10

// lastText returns the text of a value in effect, or its last one if it was deleted. It
// is empty if the text is unknown or longer than maxLastText.
func (s snapshot) lastText(name string) string {
	t := s.values[name].GetText()
	if c, ok := s.carried[name]; ok {
		t = c.value.GetText()
	}
	if len(t) > maxLastText {
		return ""
	}
	return t
}

// rememberDeleted adds the last texts of deleted values, as old has them. A value that old
// has and a read of all values lacks was deleted at an unknown revision. s.values must not
// be shared.
func (s snapshot) rememberDeleted(old snapshot) {
	remember := func(name string) {
		v := s.values[name]
		if _, ok := s.carried[name]; ok || !isMissing(v) || v.GetText() != "" {
			return
		}
		if t := old.lastText(name); t != "" {
			s.values[name] = &platformpb.Value{Name: name, Revision: v.GetRevision(), Deleted: true, Text: t}
		}
	}
	for k := range old.values {
		remember(k)
	}
	for k := range old.carried {
		remember(k)
	}
}

// changedSince returns the values changed after a revision, deleted ones
// included, ordered by name.
func (s snapshot) changedSince(revision uint64) []*platformpb.Value {
	var vs []*platformpb.Value
	for _, n := range slices.Sorted(maps.Keys(s.values)) {
		if v := s.values[n]; v.GetRevision() > revision {
			vs = append(vs, v)
		}
	}
	return vs
}

// ownValues returns the values of the snapshot's era that are not deleted, ordered by
// name.
func (s snapshot) ownValues() []table.Value {
	var vs []table.Value
	for _, v := range s.changedSince(0) {
		if !v.GetDeleted() {
			vs = append(vs, table.Value{Name: v.GetName(), Era: s.era, Revision: v.GetRevision(), Text: v.GetText()})
		}
	}
	return vs
}

// tableValues returns the values in effect, ordered by name.
func (s snapshot) tableValues() []table.Value {
	if len(s.carried) == 0 {
		return s.ownValues()
	}
	vs := slices.DeleteFunc(s.ownValues(), func(v table.Value) bool {
		_, ok := s.carried[v.Name]
		return ok
	})
	for _, c := range s.carried {
		if !c.value.GetDeleted() {
			vs = append(vs, table.Value{Name: c.value.GetName(), Era: c.era, Revision: c.value.GetRevision(), Text: c.value.GetText()})
		}
	}
	slices.SortFunc(vs, func(a, b table.Value) int { return cmp.Compare(a.Name, b.Name) })
	return vs
}

// computeDigest returns a hash of the names and texts of vs.
func computeDigest(vs []table.Value) uint64 {
	h := xxhash.New()
	for _, v := range vs {
		writeString(h, v.Name)
		writeString(h, v.Text)
	}
	return h.Sum64()
}

// writeString adds the length of s and s itself to the hash, so that different
// lists of strings never have the same hash input.
func writeString(h *xxhash.Digest, s string) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(len(s)))
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(s)
}
