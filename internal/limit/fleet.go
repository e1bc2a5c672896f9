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

// Defaults of the exported fields of Fleet.
const (
	DefaultDrift  = 0.01
	DefaultSkew   = 0.0005
	DefaultRunMax = time.Minute
	DefaultBudget = 1500
)

// Send is one message to another entry VM.
type Send struct {
	To      member.ID
	Message *peerpb.LimitMessage
}

// Fleet holds this VM's part of every limit. Set the exported fields before
// use. Its methods may be called by many goroutines.
type Fleet struct {
	Self member.ID
	// Drift bounds how much two VMs' clocks differ over a loan, as a part of 1.
	Drift float64
	// Skew bounds how much faster than real time this VM's clock runs over
	// long times, as a part of 1; tokens come slower by it.
	Skew float64
	// RunMax is the longest that a request runs after its unit was taken.
	RunMax time.Duration
	// Budget is how many bytes a second renewals may send.
	Budget float64
	// Send hands a message to the transport. It must not block nor call the
	// fleet.
	Send func(Send)

	// buckets is replaced as a whole.
	buckets atomic.Pointer[index]

	mu      sync.Mutex
	start   time.Time
	share   member.Share
	members []member.Member
	peers   map[member.ID]*peer
	leaving bool
	paused  bool
	// notBefore is the earliest own time that loans may count from.
	notBefore uint64
	size      float64
	// candidates are the other VMs that may be homes, as of placed.
	candidates []member.ID
	placed     time.Time
}

// index finds buckets.
type index struct {
	byKey map[Key]*bucket
	byID  map[uint32]*bucket
	// order holds the buckets in a fixed order.
	order []*bucket
	// removed holds when limits left the table.
	removed map[Key]time.Time
}

// init sets defaults; f.mu must be held.
func (f *Fleet) init(now time.Time) {
	if !f.start.IsZero() {
		return
	}
	f.start = now
	f.peers = map[member.ID]*peer{}
	f.buckets.Store(&index{})
	if f.RunMax == 0 {
		f.RunMax = DefaultRunMax
	}
	if f.Budget == 0 {
		f.Budget = DefaultBudget
	}
}

// Set puts the limits of a table in force. Limits that are new start empty;
// a limit that changes keeps its tokens as far as its new burst allows.
func (f *Fleet) Set(now time.Time, specs []Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init(now)
	old := f.buckets.Load()
	n := &index{byKey: map[Key]*bucket{}, byID: map[uint32]*bucket{}, removed: maps.Clone(old.removed)}
	if n.removed == nil {
		n.removed = map[Key]time.Time{}
	}
	for _, s := range specs {
		b := old.byKey[s.Key]
		if b == nil {
			b = f.newBucket(now, s.Key)
		}
		b.edit(now, s, f.RunMax)
		n.add(s.Key, b)
		delete(n.removed, s.Key)
	}
	rs := f.remove(now, old, n)
	n.sort()
	f.buckets.Store(n)
	f.place(now)
	answer(rs)
}

// remove keeps limits that left the table, without tokens, until nothing can
// be out against them, so that a limit that comes back finds its requests.
func (f *Fleet) remove(now time.Time, old, n *index) []reply {
	var rs []reply
	for k, b := range old.byKey {
		if n.byKey[k] != nil {
			continue
		}
		t, ok := n.removed[k]
		if !ok {
			t = now
			rs = append(rs, b.clear(now)...)
		}
		if now.Sub(t) > f.more(LoanMax+f.RunMax) {
			delete(n.removed, k)
			continue
		}
		n.removed[k] = t
		n.add(k, b)
	}
	return rs
}

func (n *index) add(k Key, b *bucket) {
	n.byKey[k] = b
	n.byID[b.id] = b
}

func (f *Fleet) newBucket(now time.Time, k Key) *bucket {
	b := &bucket{id: k.id(), kind: k.Kind, at: now, skew: f.Skew, change: never}
	f.own(b)
	return b
}

// edit puts a spec in force.
func (b *bucket) edit(now time.Time, s Spec, longest time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.spec = s
	if s.Longest > 0 {
		longest = s.Longest
	}
	b.longest = max(b.longest, longest)
	b.recount()
}

// clear takes all tokens from a limit that left the table.
func (b *bucket) clear(now time.Time) []reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.spec = Spec{Key: b.spec.Key}
	b.recount()
	if !b.kind.counted() {
		b.taker.lots = nil
	}
	return b.taker.dismiss()
}

// Members tells the own share and the VMs of the fleet. It is called after each
// change, and after a pause before anything is granted again.
func (f *Fleet) Members(now time.Time, s member.Share, ms []member.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init(now)
	changed := f.share != s || f.paused
	f.share, f.paused = s, false
	if changed {
		f.shares(now)
	}
	if slices.Equal(f.members, ms) {
		return
	}
	f.members = slices.Clone(ms)
	f.meet(now)
	f.place(now)
}

// shares gives every bucket its own share.
func (f *Fleet) shares(now time.Time) {
	for _, b := range f.buckets.Load().byKey {
		b.mu.Lock()
		b.refill(now)
		f.own(b)
		b.recount()
		b.mu.Unlock()
	}
}

// own sets the own share of a bucket.
func (f *Fleet) own(b *bucket) {
	ok, n := f.share.Usable, f.share.Count
	if b.kind.counted() {
		ok, n = f.share.RunningUsable, f.share.RunningCount
	}
	b.share, b.shareUntil = 0, f.share.Until
	if ok && n > 0 && !f.paused && !f.leaving {
		b.share = 1 / float64(n)
	}
}

// meet keeps one peer for each other member. Peers that left are remembered for
// as long as their loans and messages may matter.
func (f *Fleet) meet(now time.Time) {
	for _, m := range f.members {
		if m.ID == f.Self {
			continue
		}
		f.peer(now, m.ID)
	}
	for id, p := range f.peers {
		if now.Sub(p.seen) > 2*LoanMax && !f.isMember(id) {
			delete(f.peers, id)
		}
	}
}

// peer returns the peer with the given ID, which it makes known if need be.
func (f *Fleet) peer(now time.Time, id member.ID) *peer {
	p := f.peers[id]
	if p == nil {
		p = newPeer(id)
		p.met = now
		f.peers[id] = p
	}
	p.seen = now
	return p
}

func (f *Fleet) isMember(id member.ID) bool {
	return slices.ContainsFunc(f.members, func(m member.Member) bool { return m.ID == id })
}

// more is a time that has passed on any clock once d has passed on this one.
func (f *Fleet) more(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+2*f.Drift)) + time.Millisecond
}

// less is a time that has not passed on this clock until d has on any.
func (f *Fleet) less(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + 2*f.Drift))
}

// stamp is the own time in messages.
func (f *Fleet) stamp(now time.Time) uint64 {
	return uint64(max(1, now.Sub(f.start).Microseconds()))
}

// sort fills in the order.
func (n *index) sort() {
	n.order = slices.SortedFunc(maps.Values(n.byID), func(a, b *bucket) int { return cmp.Compare(a.id, b.id) })
}

func answer(rs []reply) {
	for _, r := range rs {
		r.done(r.answer)
	}
}
