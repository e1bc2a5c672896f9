package limit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Defaults for the exported fields of Fleet. Fleet itself applies only those of
// MaxRunTime and RenewalBudget; the caller sets MaxClockDrift and LongTermDrift.
const (
	DefaultMaxClockDrift = 0.01
	DefaultLongTermDrift = 0.0005
	DefaultMaxRunTime    = time.Minute
	DefaultRenewalBudget = 1500
)

// Envelope is a message with the entry VM that receives it.
type Envelope struct {
	To      member.ID
	Message *peerpb.LimitMessage
}

// Fleet is this VM's part of all fleet-wide limits. Set the exported fields
// before use. Its methods are safe for concurrent use.
type Fleet struct {
	Self member.ID
	// MaxClockDrift is the greatest rate error of a VM's clock during a
	// delegation, as a fraction. Two clocks may diverge by twice as much.
	MaxClockDrift float64
	// LongTermDrift bounds how much faster than real time this VM's clock runs in
	// the long term, as a fraction; buckets refill more slowly by it.
	LongTermDrift float64
	// MaxRunTime is the longest time that a request runs after it got its permit;
	// 0 means DefaultMaxRunTime.
	MaxRunTime time.Duration
	// RenewalBudget is how many bytes per second renewals may use; 0 means
	// DefaultRenewalBudget.
	RenewalBudget float64
	// Send passes a message to the transport. It must not block or call methods
	// of the Fleet.
	Send func(Envelope)

	// buckets is copied on write.
	buckets atomic.Pointer[index]

	mu        sync.Mutex
	startedAt time.Time
	share     member.Share
	members   []member.Member
	peers     map[member.ID]*peer
	leaving   bool
	paused    bool
	// minEcho is this VM's timestamp of the last pause. Renewals that echo an
	// earlier timestamp delegate nothing.
	minEcho uint64
	// renewalSize is a moving average of the size of a renewal in bytes.
	renewalSize float64
	// candidates are the other VMs that may own limits.
	candidates          []member.ID
	candidatesCheckedAt time.Time
}

// index holds the buckets by key and by ID.
type index struct {
	byKey map[Key]*bucket
	byID  map[uint32]*bucket
	// order holds the buckets sorted by ID.
	order []*bucket
	// removedAt is when limits that are still in the index left the table.
	removedAt map[Key]time.Time
}

// init prepares f and sets defaults on first use; f.mu must be held.
func (f *Fleet) init(now time.Time) {
	if !f.startedAt.IsZero() {
		return
	}
	f.startedAt = now
	f.peers = map[member.ID]*peer{}
	f.buckets.Store(&index{})
	if f.MaxRunTime == 0 {
		f.MaxRunTime = DefaultMaxRunTime
	}
	if f.RenewalBudget == 0 {
		f.RenewalBudget = DefaultRenewalBudget
	}
}

// Set applies the limits of a table. New limits start empty; a limit that
// changes keeps its tokens up to its new burst.
func (f *Fleet) Set(now time.Time, specs []Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init(now)
	old := f.buckets.Load()
	n := &index{byKey: map[Key]*bucket{}, byID: map[uint32]*bucket{}, removedAt: maps.Clone(old.removedAt)}
	if n.removedAt == nil {
		n.removedAt = map[Key]time.Time{}
	}
	for _, s := range specs {
		b := old.byKey[s.Key]
		if b == nil {
			b = f.newBucket(now, s.Key)
		}
		b.applySpec(now, s, f.MaxRunTime)
		n.add(s.Key, b)
		delete(n.removedAt, s.Key)
	}
	rs := f.retainRemoved(now, old, n)
	n.sortBuckets()
	f.buckets.Store(n)
	f.assignOwners(now)
	deliver(rs)
}

// retainRemoved keeps limits that left the table, without tokens, until their
// delegations, grants and running requests have ended, so that these still count
// if the limit returns to the table.
func (f *Fleet) retainRemoved(now time.Time, old, n *index) []reply {
	var rs []reply
	for k, b := range old.byKey {
		if n.byKey[k] != nil {
			continue
		}
		t, ok := n.removedAt[k]
		if !ok {
			t = now
			rs = append(rs, b.clearTokens(now)...)
		}
		if now.Sub(t) > f.extendForDrift(MaxDelegationTime+f.MaxRunTime) {
			delete(n.removedAt, k)
			continue
		}
		n.removedAt[k] = t
		n.add(k, b)
	}
	return rs
}

func (n *index) add(k Key, b *bucket) {
	n.byKey[k] = b
	n.byID[b.id] = b
}

func (f *Fleet) newBucket(now time.Time, k Key) *bucket {
	b := &bucket{id: k.id(), kind: k.Kind, refilledAt: now, longTermDrift: f.LongTermDrift, nextChange: never}
	f.setShare(b)
	return b
}

// applySpec replaces the spec of a limit.
func (b *bucket) applySpec(now time.Time, s Spec, maxHoldTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.spec = s
	if s.MaxHoldTime > 0 {
		maxHoldTime = s.MaxHoldTime
	}
	b.maxHoldTime = max(b.maxHoldTime, maxHoldTime)
	b.recompute()
}

// clearTokens drops the tokens of a limit that left the table and refuses the
// requests that wait for them.
func (b *bucket) clearTokens(now time.Time) []reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.spec = Spec{Key: b.spec.Key}
	b.recompute()
	if !b.kind.limitsConcurrency() {
		b.client.batches = nil
	}
	return b.client.refuseWaiting()
}

// SetMembers sets this VM's share and the VMs of the fleet. It must be called
// after each change, and after Pause, which stops grants until then.
func (f *Fleet) SetMembers(now time.Time, s member.Share, ms []member.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init(now)
	changed := f.share != s || f.paused
	f.share, f.paused = s, false
	if changed {
		f.updateShares(now)
	}
	if slices.Equal(f.members, ms) {
		return
	}
	f.members = slices.Clone(ms)
	f.updatePeers(now)
	f.assignOwners(now)
}

// updateShares sets this VM's share in every bucket.
func (f *Fleet) updateShares(now time.Time) {
	for _, b := range f.buckets.Load().byKey {
		b.mu.Lock()
		b.refill(now)
		f.setShare(b)
		b.recompute()
		b.mu.Unlock()
	}
}

// setShare sets this VM's share of a limit.
func (f *Fleet) setShare(b *bucket) {
	ok, n := f.share.Usable, f.share.Count
	if b.kind.limitsConcurrency() {
		ok, n = f.share.RunningUsable, f.share.RunningCount
	}
	b.share, b.shareExpiry = 0, f.share.Until
	if ok && n > 0 && !f.paused && !f.leaving {
		b.share = 1 / float64(n)
	}
}

// updatePeers keeps one peer for each other member. Peers that left are kept as
// long as their delegations and messages may still matter.
func (f *Fleet) updatePeers(now time.Time) {
	for _, m := range f.members {
		if m.ID == f.Self {
			continue
		}
		f.ensurePeer(now, m.ID)
	}
	for id, p := range f.peers {
		if now.Sub(p.lastSeen) > 2*MaxDelegationTime && !f.isMember(id) {
			delete(f.peers, id)
		}
	}
}

// ensurePeer returns the peer with the given ID and adds it if it is unknown.
func (f *Fleet) ensurePeer(now time.Time, id member.ID) *peer {
	p := f.peers[id]
	if p == nil {
		p = newPeer(id)
		p.firstSeen = now
		f.peers[id] = p
	}
	p.lastSeen = now
	return p
}

func (f *Fleet) isMember(id member.ID) bool {
	return slices.ContainsFunc(f.members, func(m member.Member) bool { return m.ID == id })
}

// extendForDrift returns the time on this clock after which at least d has
// passed on the clock of any other VM.
func (f *Fleet) extendForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+2*f.MaxClockDrift)) + time.Millisecond
}

// shortenForDrift returns the time on this clock after which at most d has
// passed on the clock of any other VM.
func (f *Fleet) shortenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + 2*f.MaxClockDrift))
}

// timestamp is this VM's time in messages: microseconds since its start.
func (f *Fleet) timestamp(now time.Time) uint64 {
	return uint64(max(1, now.Sub(f.startedAt).Microseconds()))
}

// sortBuckets sets order.
func (n *index) sortBuckets() {
	n.order = slices.SortedFunc(maps.Values(n.byID), func(a, b *bucket) int { return cmp.Compare(a.id, b.id) })
}

// deliver calls the callbacks of answered requests. No bucket may be locked.
func deliver(rs []reply) {
	for _, r := range rs {
		r.done(r.answer)
	}
}
