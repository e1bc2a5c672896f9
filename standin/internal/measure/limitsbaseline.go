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

// staticSplit permanently gives each process one sixteenth of a limit. The bucket of
// a process starts full at its first request.
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

// leaselessOwners keeps the whole token bucket of a limit at its owner: the VM with
// the highest score among those that the receiving VM considers answering. A new
// owner begins with a full bucket. There are no leases, so VMs may disagree about
// the owner.
type leaselessOwners struct {
	spec    limit.Spec
	buckets map[member.ID]*virtual.Checker
	views   map[member.ID]ownerView
}

// ownerView is the owner according to one VM, and the time until which the VM does
// not check this again.
type ownerView struct {
	owner member.ID
	until time.Duration
}

// ownerRefreshInterval is how long a VM uses an owner before it determines the owner
// again.
const ownerRefreshInterval = 50 * time.Millisecond

func newLeaselessOwners(p limit.Spec) *leaselessOwners {
	return &leaselessOwners{
		spec:    p,
		buckets: map[member.ID]*virtual.Checker{},
		views:   map[member.ID]ownerView{},
	}
}

func (o *leaselessOwners) take(now time.Duration, w *virtual.World, v *virtual.VM) bool {
	c := o.views[v.ID]
	if now >= c.until {
		c = ownerView{owner: o.ownerFor(v), until: now + ownerRefreshInterval}
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

func (o *leaselessOwners) ownerFor(v *virtual.VM) member.ID {
	var best member.ID
	var highest uint64
	for _, id := range v.AnsweringMembers() {
		if s := o.score(id.Address); s >= highest {
			best, highest = id, s
		}
	}
	return best
}

// score returns the rendezvous hash of an address for the limit.
func (o *leaselessOwners) score(a netip.AddrPort) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(o.spec.Rate))
	b = append(b, a.String()...)
	return xxhash.Sum64(b)
}
