package roster

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// vm is what is known of another VM.
type vm struct {
	id       member.ID
	capacity int
	// rank orders VMs of one capacity.
	rank uint64
	// heard is when the VM was last heard, directly or by a coordinator's word.
	heard time.Time
	// last is when the VM last counted as live.
	last time.Time
	// silent is a coordinator's word that the VM is not heard.
	silent bool
	// listed is when the VM was last told all members.
	listed time.Time
	// direct is when a report of the VM last came here.
	direct time.Time
	ended  time.Time
	// asked is when the oldest report without an answer was sent.
	asked time.Time
	// failed is when the VM last left reports without an answer.
	failed time.Time
}

// live tells whether the VM is heard: by this one of late, or by a coordinator
// that this one hears.
func (r *Roster) live(now time.Time, v *vm) bool {
	if !v.ended.IsZero() {
		return false
	}
	return now.Sub(v.heard) < silentAfter || !v.silent && now.Sub(r.answered) < silentAfter
}

// hear notes that a process lives. It returns false for one that was replaced.
func (r *Roster) hear(now time.Time, id member.ID, capacity int) bool {
	v := r.vms[id.Address]
	if v != nil && id.Incarnation < v.id.Incarnation {
		return false
	}
	if v == nil || v.id.Incarnation < id.Incarnation {
		if v != nil && r.Limits != nil {
			r.Limits.ended(v.id)
		}
		if v == nil {
			r.met = now
		}
		v = &vm{id: id, rank: rank(id.Address), last: now}
		r.vms[id.Address] = v
	}
	v.heard, v.capacity, v.silent = now, capacity, false
	return true
}

// reporting returns how many VMs report here, this one included.
func (r *Roster) reporting(now time.Time) int {
	n := 1
	for _, v := range r.vms {
		if v.ended.IsZero() && now.Sub(v.direct) < silentAfter {
			n++
		}
	}
	return n
}

// silent returns how many VMs are remembered that no one hears.
func (r *Roster) silent(now time.Time) int {
	n := 0
	for _, v := range r.vms {
		if v.ended.IsZero() && !r.live(now, v) {
			n++
		}
	}
	return n
}

func (r *Roster) members(now time.Time) []*peerpb.FleetMember {
	var ms []*peerpb.FleetMember
	for _, v := range r.vms {
		b, err := v.id.Address.MarshalBinary()
		if err != nil {
			continue
		}
		ms = append(ms, &peerpb.FleetMember{
			Address:     b,
			Incarnation: v.id.Incarnation,
			Silent:      !r.live(now, v),
			Ended:       !v.ended.IsZero(),
			Capacity:    uint32(v.capacity),
		})
	}
	return ms
}

// learn takes a coordinator's word on another VM.
func (r *Roster) learn(now time.Time, m *peerpb.FleetMember) {
	var a netip.AddrPort
	if a.UnmarshalBinary(m.GetAddress()) != nil || a == r.Self.Address {
		return
	}
	id := member.ID{Address: a, Incarnation: m.GetIncarnation()}
	v := r.vms[a]
	if v != nil && v.id.Incarnation > id.Incarnation {
		return
	}
	if m.GetSilent() || m.GetEnded() {
		if v == nil {
			v = &vm{id: id, rank: rank(id.Address), heard: now.Add(-silentAfter), last: now, capacity: int(m.GetCapacity())}
			r.vms[a] = v
		}
		v.silent = v.silent || v.id == id
		if m.GetEnded() && v.ended.IsZero() && v.id == id {
			v.ended = now
		}
		return
	}
	r.hear(now, id, int(m.GetCapacity()))
}

// watch marks the VMs as silent that no longer report to this coordinator. All
// report to it once it has been one for a while.
func (r *Roster) watch(now time.Time) {
	if !r.Coordinates() {
		r.since = now
		r.idle = true
		return
	}
	if r.idle && r.Limits != nil {
		r.Limits.coordinate(now)
	}
	r.idle = false
	if now.Sub(r.since) < 2*silentAfter {
		return
	}
	for _, v := range r.vms {
		if now.Sub(v.direct) >= silentAfter && now.Sub(v.heard) >= silentAfter {
			v.silent = true
		}
	}
}

// forget drops VMs that were silent for long.
func (r *Roster) forget(now time.Time) {
	for a, v := range r.vms {
		if r.live(now, v) {
			v.last = now
			continue
		}
		long := now.Sub(v.last) >= forgetAfter
		ended := !v.ended.IsZero() && now.Sub(v.ended) >= endedAfter
		if !long && !ended {
			continue
		}
		delete(r.vms, a)
		if r.Limits != nil {
			r.Limits.ended(v.id)
		}
	}
}

// hash returns a hash over the members known, so that equal views are not
// sent.
func (r *Roster) hash(now time.Time) uint64 {
	h := (&vm{id: r.Self}).hash(true)
	for _, v := range r.vms {
		h += v.hash(r.live(now, v))
	}
	return h
}

func (v *vm) hash(live bool) uint64 {
	var b [32]byte
	a := v.id.Address.Addr().As16()
	copy(b[:], a[:])
	binary.LittleEndian.PutUint16(b[16:], v.id.Address.Port())
	binary.LittleEndian.PutUint64(b[18:], v.id.Incarnation)
	if !v.ended.IsZero() {
		b[26] = 1
	}
	if live {
		b[27] = 1
	}
	return xxhash.Sum64(b[:])
}

// Count returns how many VMs share what is counted over the fleet: this one and
// all that are remembered.
func (r *Roster) Count() int {
	n := 1
	for _, v := range r.vms {
		if v.ended.IsZero() {
			n++
		}
	}
	return n
}

// Live returns the VMs that are heard, this one included, in order.
func (r *Roster) Live(now time.Time) []netip.AddrPort {
	as := []netip.AddrPort{r.Self.Address}
	for a, v := range r.vms {
		if r.live(now, v) {
			as = append(as, a)
		}
	}
	slices.SortFunc(as, netip.AddrPort.Compare)
	return as
}

// settleTime is how long no VM must have been met for the fleet to be known.
const settleTime = reportEvery

// Settled tells whether the VMs of the fleet are known, so far as this process
// can tell.
func (r *Roster) Settled(now time.Time) bool {
	return r.Joined() && (len(r.vms) == 0 || now.Sub(r.met) >= settleTime)
}

// Joined tells whether another VM was heard, or none is to be expected.
func (r *Roster) Joined() bool {
	if len(r.vms) > 0 {
		return true
	}
	return !slices.ContainsFunc(r.Seeds, func(a netip.AddrPort) bool { return a != r.Self.Address })
}
