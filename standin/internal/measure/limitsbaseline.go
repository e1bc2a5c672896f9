package measure

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/limit/virtual"
	"lentilbend.example/internal/member"
)

// staticSplit gives each address one part in 16 of a limit, for good. A VM that
// starts begins with an empty bucket.
type staticSplit struct {
	spec    limit.Spec
	buckets map[member.ID]*virtual.Checker
}

func newStaticSplit(p limit.Spec) *staticSplit {
	return &staticSplit{spec: p, buckets: map[member.ID]*virtual.Checker{}}
}

func (t *staticSplit) take(now time.Duration, v *virtual.VM) bool {
	b := t.buckets[v.ID]
	if b == nil {
		b = &virtual.Checker{Rate: t.spec.Rate / limitsVMs, Burst: t.spec.Burst / limitsVMs}
		t.buckets[v.ID] = b
	}
	return b.TryTake(now)
}

// owners keeps the whole bucket of a limit at its owner, the VM with the
// highest score among those that the receiving VM believes to answer. An owner
// begins with a full bucket, and keeps no lease.
type owners struct {
	spec    limit.Spec
	buckets map[member.ID]*virtual.Checker
	views   map[member.ID]ownerView
}

// ownerView is whom a VM takes for the owner, and until when it keeps to that.
type ownerView struct {
	owner member.ID
	until time.Duration
}

// ownerEvery is how long a VM keeps to an owner before it looks again.
const ownerEvery = 50 * time.Millisecond

func newOwners(p limit.Spec) *owners {
	return &owners{
		spec:    p,
		buckets: map[member.ID]*virtual.Checker{},
		views:   map[member.ID]ownerView{},
	}
}

func (o *owners) take(now time.Duration, w *virtual.World, v *virtual.VM) bool {
	c := o.views[v.ID]
	if now >= c.until {
		c = ownerView{owner: o.owner(v), until: now + ownerEvery}
		o.views[v.ID] = c
	}
	id := c.owner
	if !w.Reaches(v, id) {
		return false
	}
	b := o.buckets[id]
	if b == nil {
		b = &virtual.Checker{Rate: o.spec.Rate, Burst: o.spec.Burst}
		o.buckets[id] = b
	}
	return b.TryTake(now)
}

func (o *owners) owner(v *virtual.VM) member.ID {
	var best member.ID
	var top uint64
	for _, id := range v.AnsweringMembers() {
		if s := o.score(id.Address); s >= top {
			best, top = id, s
		}
	}
	return best
}

func (o *owners) score(a netip.AddrPort) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(o.spec.Rate))
	b = append(b, a.String()...)
	return xxhash.Sum64(b)
}
