package store

import "cmp"

// Version identifies the values of a platform. Versions are ordered by era, then by
// revision: after the platform was restored from a copy, revisions go back and the same
// numbers are assigned again, in a new era.
type Version struct {
	Era      uint64
	Revision uint64
	// Digest is a hash of the values. Two sets of values of the same era and revision
	// differ only if the platform was restored and does not count eras. That of a version
	// that VMs announce also covers the values carried over without a time limit.
	Digest uint64
}

// Compare orders versions by era and revision.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Revision, o.Revision))
}

// IsSameRevision reports whether o has the same era and revision.
func (v Version) IsSameRevision(o Version) bool {
	return v.Compare(o) == 0
}
