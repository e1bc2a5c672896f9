package store

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/platformpb"
	"lentilbend.example/internal/table"
)

// snapshot is the set of values at one revision. It is not changed once made.
type snapshot struct {
	revision uint64
	values   map[string]*platformpb.Value
	// sum is the hash over the values that are not deleted.
	sum uint64
}

func (s snapshot) version() Version {
	return Version{Revision: s.revision, Digest: s.sum}
}

// with returns the snapshot at a later revision.
func (s snapshot) with(revision uint64, changed []*platformpb.Value) snapshot {
	n := snapshot{revision: revision, values: map[string]*platformpb.Value{}}
	maps.Copy(n.values, s.values)
	for _, v := range changed {
		if o := n.values[v.GetName()]; o.GetRevision() <= v.GetRevision() {
			n.values[v.GetName()] = v
		}
	}
	n.sum = digest(n.texts())
	return n
}

// since returns the values, deleted ones too, changed after a revision.
func (s snapshot) since(revision uint64) []*platformpb.Value {
	var vs []*platformpb.Value
	for _, n := range slices.Sorted(maps.Keys(s.values)) {
		if v := s.values[n]; v.GetRevision() > revision {
			vs = append(vs, v)
		}
	}
	return vs
}

// texts returns the values that are not deleted, by name.
func (s snapshot) texts() []table.Value {
	var vs []table.Value
	for _, v := range s.since(0) {
		if !v.GetDeleted() {
			vs = append(vs, table.Value{Name: v.GetName(), Revision: v.GetRevision(), Text: v.GetText()})
		}
	}
	return vs
}

// digest returns a hash over names and texts.
func digest(vs []table.Value) uint64 {
	h := xxhash.New()
	for _, v := range vs {
		write(h, v.Name)
		write(h, v.Text)
	}
	return h.Sum64()
}

// write adds a string and its length, so that no two lists hash the same text.
func write(h *xxhash.Digest, s string) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(len(s)))
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(s)
}
