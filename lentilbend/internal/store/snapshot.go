package store

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/platformpb"
	"lentilbend.example/internal/table"
)

// PeerAnswer is what a peer gives of its accepted values.
type PeerAnswer struct {
	Accepted uint64
	// Digest is the digest of all the peer's accepted values.
	Digest uint64
	Values []*platformpb.Value
}

// snapshot is the set of values at one revision. It is not changed once made.
type snapshot struct {
	revision uint64
	values   map[string]*platformpb.Value
}

// with returns the snapshot at a later revision.
func (s snapshot) with(revision uint64, changed []*platformpb.Value) snapshot {
	n := snapshot{revision: revision, values: map[string]*platformpb.Value{}}
	maps.Copy(n.values, s.values)
	for _, v := range changed {
		n.values[v.GetName()] = v
	}
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

// texts returns the values that are not deleted.
func (s snapshot) texts() []table.Value {
	var vs []table.Value
	for _, v := range s.since(0) {
		if !v.GetDeleted() {
			vs = append(vs, table.Value{Name: v.GetName(), Revision: v.GetRevision(), Text: v.GetText()})
		}
	}
	return vs
}

// digest returns a hash over all values.
func (s snapshot) digest() uint64 {
	h := xxhash.New()
	for _, v := range s.texts() {
		writeString(h, v.Name)
		writeString(h, v.Text)
	}
	return h.Sum64()
}

func writeString(h *xxhash.Digest, s string) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(len(s)))
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(s)
}
