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

// vm is what this VM knows about another VM.
type vm struct {
	id       member.ID
	capacity int
	// addressHash orders VMs of equal capacity.
	addressHash uint64
	// lastSeen is when a message of the VM last arrived, or a coordinator last
	// listed it as live.
	lastSeen time.Time
	// lastHeard is when a message of the VM itself last arrived.
	lastHeard time.Time
	// lastLive is when the VM last counted as live.
	lastLive time.Time
	// silent says that a coordinator, this VM included, misses the VM's reports.
	silent bool
	// membersSent is when a member list was last sent to the VM, and inSync when it
	// last knew the same members as this VM.
	membersSent time.Time
	inSync      time.Time
	// changed is when the state that stateHash covers was last seen to change.
	changed   time.Time
	stateHash uint64
	// lastReport is when the VM last reported to this one.
	lastReport time.Time
	// ended is when the VM's graceful shutdown became known; zero while it runs.
	ended time.Time
	// unansweredSince is when the oldest report without an answer was sent to
	// the VM; zero for none.
	unansweredSince time.Time
	// failed is when the VM was last found to leave reports unanswered.
	failed time.Time
	// answered is the number of the newest report that the VM answered; 0 if it
	// needs a complete one.
	answered uint64
}

// live reports whether the VM was seen within silentTimeout, or no coordinator
// lists it as silent while coordinators answer this VM.
func (r *Roster) live(now time.Time, v *vm) bool {
	if !v.ended.IsZero() {
		return false
	}
	return now.Sub(v.lastSeen) < silentTimeout || !v.silent && now.Sub(r.lastAnswer) < silentTimeout
}

// isReplacedBy reports whether a message of process id comes from a later process than
// v. The incarnation is a wall clock's time, which may have been set back between two
// processes; so one that is known to be alive replaces any that is silent or has ended.
func (v *vm) isReplacedBy(now time.Time, id member.ID) bool {
	if id.Incarnation > v.id.Incarnation {
		return true
	}
	if id.Incarnation == v.id.Incarnation {
		return false
	}
	return now.Sub(v.lastSeen) >= silentTimeout
}

// markHeard records a message of a process. It returns false for a process that a
// later one has replaced.
func (r *Roster) markHeard(now time.Time, id member.ID, capacity int) bool {
	if v := r.vms[id.Address]; v != nil && v.isReplacedBy(now, id) {
		r.forget(v)
	}
	if !r.markAlive(now, id, capacity) {
		return false
	}
	r.vms[id.Address].lastHeard = now
	return true
}

// forget removes a VM.
func (r *Roster) forget(v *vm) {
	r.summarizedAt = time.Time{}
	delete(r.vms, v.id.Address)
	if r.Limits != nil {
		r.Limits.forgetProcess(v.id)
	}
}

// markAlive records that a process is alive, unless a greater incarnation is known.
func (r *Roster) markAlive(now time.Time, id member.ID, capacity int) bool {
	v := r.vms[id.Address]
	if v != nil && id.Incarnation < v.id.Incarnation {
		return false
	}
	if v == nil || v.id.Incarnation < id.Incarnation {
		if v != nil && r.Limits != nil {
			r.Limits.forgetProcess(v.id)
		}
		if v == nil {
			r.lastDiscovery = now
		}
		v = &vm{id: id, addressHash: addressHash(id.Address), lastLive: now}
		r.vms[id.Address] = v
		r.summarizedAt = time.Time{}
	}
	v.lastSeen, v.capacity, v.silent = now, capacity, false
	return true
}

// listOverlap is how far a list of changes goes back beyond the time at which the VM
// knew the same members.
const listOverlap = memberListInterval

// membersFor returns the member list to send to a VM that knows other members than
// this one: those that changed since it last knew the same, or all if such a list did
// not help.
func (r *Roster) membersFor(now time.Time, to *vm) []*peerpb.FleetMember {
	if to.inSync.IsZero() || to.membersSent.After(to.inSync) {
		return r.membersChangedSince(now, time.Time{})
	}
	return r.membersChangedSince(now, to.inSync.Add(-listOverlap))
}

// membersChangedSince returns the known VMs, except this one, whose state changed at
// a time or later.
func (r *Roster) membersChangedSince(now, since time.Time) []*peerpb.FleetMember {
	var ms []*peerpb.FleetMember
	for _, v := range r.vms {
		b, err := v.id.Address.MarshalBinary()
		if err != nil || v.changed.Before(since) {
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

// applyMember applies an entry of a coordinator's member list.
func (r *Roster) applyMember(now time.Time, m *peerpb.FleetMember) {
	var a netip.AddrPort
	if a.UnmarshalBinary(m.GetAddress()) != nil || a == r.Self.Address {
		return
	}
	id := member.ID{Address: a, Incarnation: m.GetIncarnation()}
	v := r.vms[a]
	gone := m.GetSilent() || m.GetEnded()
	if v != nil && v.id != id {
		if gone || now.Sub(v.lastHeard) < silentTimeout || !v.isReplacedBy(now, id) {
			return
		}
		r.forget(v)
		v = nil
	}
	if gone {
		if v == nil {
			v = &vm{id: id, addressHash: addressHash(id.Address), lastSeen: now.Add(-silentTimeout), lastLive: now, capacity: int(m.GetCapacity())}
			r.vms[a] = v
		}
		v.silent = v.silent || v.id == id
		if m.GetEnded() && v.ended.IsZero() && v.id == id {
			v.ended = now
		}
		r.summarizedAt = time.Time{}
		return
	}
	r.markAlive(now, id, int(m.GetCapacity()))
}

// updateCoordinatorState notes whether this VM is a coordinator. As a
// coordinator it marks VMs as silent that no longer report to it; it waits two
// silentTimeouts first, after which all live VMs report to it.
func (r *Roster) updateCoordinatorState(now time.Time) {
	if !r.IsCoordinator() {
		r.coordinatorSince = now
		r.follower = true
		return
	}
	if r.follower && r.Limits != nil {
		r.Limits.becomeCoordinator(now)
	}
	r.follower = false
	if now.Sub(r.coordinatorSince) < 2*silentTimeout {
		return
	}
	for _, v := range r.vms {
		if now.Sub(v.lastReport) >= silentTimeout && now.Sub(v.lastSeen) >= silentTimeout {
			v.silent = true
		}
	}
}

// removeExpired removes VMs that have been silent for silentRetention or stopped
// for tombstoneRetention.
func (r *Roster) removeExpired(now time.Time) {
	for _, v := range r.vms {
		if r.live(now, v) {
			v.lastLive = now
			continue
		}
		expired := now.Sub(v.lastLive) >= silentRetention
		ended := !v.ended.IsZero() && now.Sub(v.ended) >= tombstoneRetention
		if !expired && !ended {
			continue
		}
		r.forget(v)
	}
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

// FleetSize returns how many VMs share the fleet-wide limits: this one and all
// known ones that have not stopped, silent ones included.
func (r *Roster) FleetSize() int {
	n := 1
	for _, v := range r.vms {
		if v.ended.IsZero() {
			n++
		}
	}
	return n
}

// Live returns the live VMs, this one included, ordered by address.
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

// settleTime is how long no new VM must have appeared for the fleet to count as
// settled.
const settleTime = reportInterval

// Settled reports whether this process has joined the fleet and no new VM has
// appeared for settleTime.
func (r *Roster) Settled(now time.Time) bool {
	return r.Joined() && (len(r.vms) == 0 || now.Sub(r.lastDiscovery) >= settleTime)
}

// Joined reports whether another VM is known, or this VM has no seed but itself.
func (r *Roster) Joined() bool {
	if len(r.vms) > 0 {
		return true
	}
	return !slices.ContainsFunc(r.Seeds, func(a netip.AddrPort) bool { return a != r.Self.Address })
}
