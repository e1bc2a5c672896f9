package store

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/platformpb"
	"lentilbend.example/internal/table"
)

// snapshot is the immutable set of values at one revision.
type snapshot struct {
	revision uint64
	// values are keyed by name. Deleted values stay as tombstones, so that peers
	// with an older revision receive the deletion.
	values map[string]*platformpb.Value
	// digest is the hash of the values that are not deleted.
	digest uint64
}

func (s snapshot) version() Version {
	return Version{Revision: s.revision, Digest: s.digest}
}

// withChanges returns the snapshot at a later revision. A changed value replaces
// the one of the same name unless its own revision is older.
func (s snapshot) withChanges(revision uint64, changed []*platformpb.Value) snapshot {
	n := snapshot{revision: revision, values: map[string]*platformpb.Value{}}
	maps.Copy(n.values, s.values)
	for _, v := range changed {
		if old := n.values[v.GetName()]; old.GetRevision() <= v.GetRevision() {
			n.values[v.GetName()] = v
		}
	}
	n.digest = computeDigest(n.tableValues())
	return n
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

// tableValues returns the values that are not deleted, ordered by name.
func (s snapshot) tableValues() []table.Value {
	var vs []table.Value
	for _, v := range s.changedSince(0) {
		if !v.GetDeleted() {
			vs = append(vs, table.Value{Name: v.GetName(), Revision: v.GetRevision(), Text: v.GetText()})
		}
	}
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
