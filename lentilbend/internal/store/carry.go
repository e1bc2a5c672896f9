package store

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/platformpb"
	"lentilbend.example/internal/table"
)

// Unlimited is the time left of a value that is carried over until the platform has
// one that is not older.
const Unlimited = time.Duration(math.MaxInt64)

// Carried is a value of an earlier era that is still in effect although the restored
// platform has another one or none. A deleted value stands for one that was missing.
type Carried struct {
	Value *platformpb.Value
	// Era is that of the value's revision.
	Era uint64
	// Left is for how much longer the value stays in effect.
	Left time.Duration
}

// carriedValue is a value of an earlier era that is in effect instead of the one of the
// snapshot.
type carriedValue struct {
	value *platformpb.Value
	era   uint64
	// until is when the value ceases to be in effect; zero if only a newer value ends it.
	until time.Time
	// replaced is the revision of the snapshot's value that this one replaces, 0 if there
	// is none. Another revision there means that the value was written since.
	replaced uint64
}

// isLimited reports whether the value is in effect for a limited time.
func (c carriedValue) isLimited() bool { return !c.until.IsZero() }

// carryPolicy decides which values of an earlier era stay in effect.
type carryPolicy struct {
	// time is for how long, where the texts do not tell.
	time       time.Duration
	precedence func(name, earlier, restored string) table.Precedence
}

func (p carryPolicy) compareTexts(name, earlier, restored string) table.Precedence {
	if p.precedence == nil {
		return table.PrecedenceUnknown
	}
	return p.precedence(name, earlier, restored)
}

// isMissing reports whether a value is absent or deleted.
func isMissing(v *platformpb.Value) bool { return v == nil || v.GetDeleted() }

// isSame reports whether two values are the same to those that use them.
func isSame(a, b *platformpb.Value) bool {
	return isMissing(a) && isMissing(b) || isMissing(a) == isMissing(b) && a.GetText() == b.GetText()
}

// textInEffect returns the text of a value, empty for one that is missing.
func textInEffect(v *platformpb.Value) string {
	if isMissing(v) {
		return ""
	}
	return v.GetText()
}

// decide returns c as it stays in effect instead of the restored value, which is nil if
// the copy lacks it. It returns false if the restored value takes effect.
func (p carryPolicy) decide(now time.Time, c carriedValue, restored *platformpb.Value) (carriedValue, bool) {
	if isSame(c.value, restored) {
		return c, false
	}
	c.replaced = restored.GetRevision()
	earlier := textInEffect(c.value)
	if c.value.GetDeleted() {
		// If the last text before the deletion is newer than the restored one, it is in
		// effect again: a server that left is marked as leaving.
		earlier = c.value.GetText()
	}
	switch p.compareTexts(c.value.GetName(), earlier, textInEffect(restored)) {
	case table.PrecedenceRestored:
		return c, false
	case table.PrecedenceEarlier:
		c.value = &platformpb.Value{Name: c.value.GetName(), Revision: c.value.GetRevision(), Text: earlier}
		c.until = time.Time{}
		return c, true
	}
	if restored.GetDeleted() && restored.GetRevision() > 0 {
		// Deletions are known from changes only, which were made after the copy.
		return c, false
	}
	if !c.isLimited() {
		c.until = now.Add(p.time)
	}
	return c, true
}

// newer returns the one of a VM's own value and a peer's that was written later. The
// times of a peer's value apply to both, so that all VMs return to the platform's values
// together.
func (p carryPolicy) newer(own, peers carriedValue) carriedValue {
	n := cmp.Or(cmp.Compare(own.era, peers.era), cmp.Compare(own.value.GetRevision(), peers.value.GetRevision()))
	if !isMissing(own.value) && !isMissing(peers.value) {
		switch p.compareTexts(own.value.GetName(), own.value.GetText(), peers.value.GetText()) {
		case table.PrecedenceRestored:
			n = -1
		case table.PrecedenceEarlier:
			n = 1
		}
	}
	if n < 0 {
		return peers
	}
	own.until = peers.until
	return own
}

// carryOver returns the values that stay in effect when the snapshot n of a new era
// follows old. peers are those that a peer carries over, by name.
func (p carryPolicy) carryOver(now time.Time, old, n snapshot, peers map[string]carriedValue) map[string]carriedValue {
	names := map[string]bool{}
	for _, m := range []map[string]*platformpb.Value{old.values, n.values} {
		for k := range m {
			names[k] = true
		}
	}
	for _, m := range []map[string]carriedValue{old.carried, peers} {
		for k := range m {
			names[k] = true
		}
	}
	carried := map[string]carriedValue{}
	for k := range names {
		c, known := old.inEffect(k)
		if peer, ok := peers[k]; ok && known {
			c = p.newer(c, peer)
		} else if ok {
			c, known = peer, true
		}
		if !known {
			continue
		}
		if c, ok := p.decide(now, c, n.values[k]); ok {
			carried[k] = c
		}
	}
	return carried
}

// inEffect returns a value as it is in effect, or false for the snapshot of a VM that
// has no values yet. A value that is missing is known to be since the snapshot's revision
// at the latest.
func (s snapshot) inEffect(name string) (carriedValue, bool) {
	if s.values == nil {
		return carriedValue{}, false
	}
	if c, ok := s.carried[name]; ok {
		c.until = time.Time{}
		return c, true
	}
	v := s.values[name]
	if v == nil {
		v = &platformpb.Value{Name: name, Revision: s.revision, Deleted: true}
	} else if v.GetRevision() == 0 {
		v = &platformpb.Value{Name: name, Revision: s.revision, Deleted: true, Text: v.GetText()}
	}
	return carriedValue{value: v, era: s.era}, true
}

// keepCarried returns those of the carried values that stay in effect after changes of
// the same era led to the snapshot n.
func (p carryPolicy) keepCarried(carried map[string]carriedValue, n snapshot) map[string]carriedValue {
	kept := map[string]carriedValue{}
	for k, c := range carried {
		v := n.values[k]
		if v.GetRevision() == c.replaced {
			kept[k] = c
			continue
		}
		// The value was written since, so that only a text that is known to be newer
		// stays in effect.
		if p.compareTexts(k, textInEffect(c.value), textInEffect(v)) == table.PrecedenceEarlier {
			c.until, c.replaced = time.Time{}, v.GetRevision()
			kept[k] = c
		}
	}
	return kept
}

// merge returns the snapshot with the values that a peer of the same era carries over at
// a revision. Those with a time limit count only if limited is set: this VM may have
// returned to the platform's value before.
func (p carryPolicy) merge(now time.Time, s snapshot, revision uint64, peers map[string]carriedValue, limited bool) (snapshot, bool) {
	merged := maps.Clone(s.carried)
	if merged == nil {
		merged = map[string]carriedValue{}
	}
	changed := false
	for k, peer := range peers {
		v := s.values[k]
		if v.GetRevision() > revision || peer.isLimited() && !limited {
			continue
		}
		if own, ok := merged[k]; ok {
			if p.newer(own, peer).value != peer.value || isSame(own.value, peer.value) {
				continue
			}
		}
		if c, ok := p.decide(now, peer, v); ok {
			merged[k], changed = c, true
		}
	}
	s.carried = merged
	return s, changed
}

// withoutExpired returns the snapshot without the carried values whose time is over.
func (s snapshot) withoutExpired(now time.Time) (snapshot, bool) {
	n := len(s.carried)
	kept := map[string]carriedValue{}
	for k, c := range s.carried {
		if !c.isLimited() || now.Before(c.until) {
			kept[k] = c
		}
	}
	s.carried = kept
	return s, len(kept) < n
}

// nextExpiry returns when the next carried value ceases to be in effect.
func (s snapshot) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, c := range s.carried {
		if c.isLimited() && (next.IsZero() || c.until.Before(next)) {
			next = c.until
		}
	}
	return next, !next.IsZero()
}

// exportCarried returns the carried values for peers, ordered by name.
func (s snapshot) exportCarried(now time.Time) []Carried {
	var cs []Carried
	for _, k := range slices.Sorted(maps.Keys(s.carried)) {
		c := s.carried[k]
		left := Unlimited
		if c.isLimited() {
			left = max(0, c.until.Sub(now))
		}
		cs = append(cs, Carried{Value: c.value, Era: c.era, Left: left})
	}
	return cs
}

// importCarried returns the values that a peer carries over, by name. No time left is
// longer than the policy's time.
func (p carryPolicy) importCarried(now time.Time, cs []Carried) map[string]carriedValue {
	m := map[string]carriedValue{}
	for _, c := range cs {
		v := carriedValue{value: c.Value, era: c.Era}
		if c.Left != Unlimited {
			v.until = now.Add(min(c.Left, p.time))
		}
		m[c.Value.GetName()] = v
	}
	return m
}

// AnnouncedDigest returns the digest that VMs announce of values with the given digest
// and carried values. It covers the carried values without a time limit, so that VMs
// notice that a peer has newer ones. It equals the digest if there are none.
func AnnouncedDigest(digest uint64, cs []Carried) uint64 {
	h := xxhash.New()
	unlimited := false
	for _, c := range cs {
		if c.Left == Unlimited {
			unlimited = true
			writeString(h, c.Value.GetName())
			writeString(h, c.Value.GetText())
		}
	}
	if !unlimited {
		return digest
	}
	return digest ^ h.Sum64()
}
