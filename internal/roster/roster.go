// Package roster knows the entry VMs of a fleet that nobody lists, and shares
// out the workspaces' limits among them.
//
// Every VM reports to a few coordinators: those of the highest rank among the
// VMs that were heard. Any VM answers as a coordinator, so that the loss of one
// needs no election; a report to the next in rank is enough. A coordinator
// counts what all VMs granted of a workspace's limit, and answers which part of
// the further requests may pass.
//
// Views of several coordinators may differ for a while. The sum of what is
// granted is then bounded by the parts that each VM last heard, and by an equal
// share for a VM that hears no coordinator.
package roster

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Times and sizes of the roster.
const (
	// coordinators is how many VMs each VM reports to; two may be lost at once.
	coordinators = 3
	// reportEvery is the time between reports: a limit is overrun by at most
	// what comes in about two of them.
	reportEvery = 250 * time.Millisecond
	// earliestReport is the least time between two reports.
	earliestReport = 90 * time.Millisecond
	// silentAfter is how long a VM is not heard before it counts as silent:
	// two reports and a part of one for their way.
	silentAfter = 2*reportEvery + reportEvery/2
	// retryAfter is how long a coordinator that did not answer is passed over.
	retryAfter = 2 * time.Second
	// seedEvery is the time between reports to a seed, which join parts of a
	// fleet that lost each other.
	seedEvery = time.Second
	// listEvery is the least time between two tellings of all members to a VM.
	listEvery = time.Second
	// forgetAfter is how long a silent VM is remembered: as long as the
	// longest cut that is common, since a VM that was cut off keeps its share.
	forgetAfter = 30 * time.Second
	// endedAfter is how long the end of a process is remembered, so that late
	// news does not bring it back.
	endedAfter = 5 * time.Second
)

// Send is a message to another VM.
type Send struct {
	To     netip.AddrPort
	Report *peerpb.FleetReport
	Answer *peerpb.FleetAnswer
}

// Roster is one VM's view. Set the exported fields before use. Calls must not
// overlap, and the time must not go back.
type Roster struct {
	Self     member.ID
	Capacity int
	Seeds    []netip.AddrPort
	// Limits shares out the workspaces' limits; it may be nil.
	Limits *Limits

	began        time.Time
	coordinators []netip.AddrPort
	number       uint64
	reported     time.Time
	seeded       time.Time
	seed         int
	leaving      bool
	// since is when this VM became a coordinator.
	since time.Time
	// met is when a VM was last heard for the first time.
	met time.Time
	// idle says that this VM was no coordinator at the last tick.
	idle bool
	// answered is when a coordinator last answered.
	answered time.Time
	vms      map[netip.AddrPort]*vm
}

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

// Start sets the time at which the process began.
func (r *Roster) Start(now time.Time) {
	r.began, r.since = now, now
	r.vms = map[netip.AddrPort]*vm{}
	if r.Limits != nil {
		r.Limits.start(now)
	}
}

// Tick sends the reports that are due.
func (r *Roster) Tick(now time.Time) []Send {
	r.forget(now)
	r.elect(now)
	r.watch(now)
	if d := now.Sub(r.reported); d < earliestReport || d < reportEvery && !r.surging() {
		return nil
	}
	r.reported = now
	r.number++
	q := r.report(now)
	var ss []Send
	for _, a := range r.coordinators {
		if a == r.Self.Address {
			r.takeReport(now, r.Self, q)
			r.takeOwn(now)
			continue
		}
		ss = append(ss, r.ask(now, a, q))
	}
	for _, a := range r.seedsDue(now) {
		ss = append(ss, r.ask(now, a, q))
	}
	return ss
}

// surging tells whether the coordinators should hear of a rise at once.
func (r *Roster) surging() bool {
	return r.Limits != nil && r.Limits.surging()
}

func (r *Roster) report(now time.Time) *peerpb.FleetReport {
	q := &peerpb.FleetReport{Number: r.number, Known: r.hash(now), Leaving: r.leaving, Capacity: uint32(r.Capacity),
		UptimeMillis: uint64(now.Sub(r.began).Milliseconds())}
	if r.Limits != nil {
		q.Uses = r.Limits.uses()
	}
	return q
}

func (r *Roster) ask(now time.Time, a netip.AddrPort, q *peerpb.FleetReport) Send {
	if v := r.vms[a]; v != nil {
		if v.asked.IsZero() {
			v.asked = now
		} else if now.Sub(v.asked) >= silentAfter {
			v.asked, v.failed = time.Time{}, now
		}
	}
	return Send{To: a, Report: q}
}

// seedsDue returns the seeds to report to: all while nobody was heard, else
// the one whose turn it is. Those that are reported to anyway are left out.
func (r *Roster) seedsDue(now time.Time) []netip.AddrPort {
	var as []netip.AddrPort
	switch {
	case len(r.vms) == 0:
		as = slices.Clone(r.Seeds)
	case len(r.Seeds) > 0 && now.Sub(r.seeded) >= seedEvery:
		r.seeded = now
		r.seed++
		as = []netip.AddrPort{r.Seeds[r.seed%len(r.Seeds)]}
	}
	return slices.DeleteFunc(as, func(a netip.AddrPort) bool {
		return a == r.Self.Address || slices.Contains(r.coordinators, a)
	})
}

// Leave announces the end of this process to all that it reports to.
func (r *Roster) Leave(now time.Time) []Send {
	r.leaving = true
	r.reported = time.Time{}
	return r.Tick(now)
}

// Receive takes a message of another VM and returns the answer to a report.
func (r *Roster) Receive(now time.Time, from member.ID, q *peerpb.FleetReport) []Send {
	if from.Address == r.Self.Address || !r.hear(now, from, int(q.GetCapacity())) {
		return nil
	}
	v := r.vms[from.Address]
	v.direct = now
	if q.GetLeaving() {
		v.ended = now
	}
	r.takeReport(now, from, q)
	return []Send{{To: from.Address, Answer: r.answer(now, from, q)}}
}

func (r *Roster) takeReport(now time.Time, from member.ID, q *peerpb.FleetReport) {
	if r.Limits != nil {
		young := time.Duration(q.GetUptimeMillis())*time.Millisecond < youngFor
		r.Limits.report(now, from, young, q.GetUses())
	}
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

func (r *Roster) answer(now time.Time, to member.ID, q *peerpb.FleetReport) *peerpb.FleetAnswer {
	a := &peerpb.FleetAnswer{
		Number:      q.GetNumber(),
		Reporting:   uint32(r.reporting(now)),
		SinceMillis: uint64(now.Sub(r.since).Milliseconds()),
	}
	if v := r.vms[to.Address]; v != nil && q.GetKnown() != r.hash(now) && now.Sub(v.listed) >= listEvery {
		v.listed = now
		a.Members = r.members(now)
	}
	if r.Limits != nil {
		a.Grants = r.Limits.grants(now, r.reporting(now), r.silent(now))
	}
	return a
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

// Answer takes a coordinator's answer.
func (r *Roster) Answer(now time.Time, from member.ID, a *peerpb.FleetAnswer) {
	v := r.vms[from.Address]
	capacity := 0
	if v != nil {
		capacity = v.capacity
	}
	if from.Address == r.Self.Address || !r.hear(now, from, capacity) {
		return
	}
	v = r.vms[from.Address]
	v.asked, v.failed = time.Time{}, time.Time{}
	r.answered = now
	known := len(r.vms)
	for _, m := range a.GetMembers() {
		r.learn(now, m)
	}
	if len(r.vms) > known {
		// The coordinators may be others now, so that the next report is due.
		r.reported = time.Time{}
	}
	if r.Limits != nil {
		r.Limits.answered(now, from.Address, a)
	}
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

// Coordinators returns the VMs to report to, best first, as of the last tick.
// Callers must not change it.
func (r *Roster) Coordinators() []netip.AddrPort {
	return r.coordinators
}

// elect finds the coordinators.
func (r *Roster) elect(now time.Time) {
	type candidate struct {
		address  netip.AddrPort
		capacity int
		rank     uint64
	}
	var cs []candidate
	if !r.leaving {
		cs = append(cs, candidate{r.Self.Address, r.Capacity, rank(r.Self.Address)})
	}
	for a, v := range r.vms {
		failed := !v.failed.IsZero() && now.Sub(v.failed) < retryAfter
		if v.ended.IsZero() && !failed && (r.live(now, v) || !v.asked.IsZero()) {
			cs = append(cs, candidate{a, v.capacity, v.rank})
		}
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.rank, a.rank), a.address.Compare(b.address))
	})
	r.coordinators = nil
	for _, c := range cs[:min(coordinators, len(cs))] {
		r.coordinators = append(r.coordinators, c.address)
	}
}

func rank(a netip.AddrPort) uint64 {
	b, err := a.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// Coordinates tells whether this VM is one of the coordinators by its own view.
func (r *Roster) Coordinates() bool {
	return slices.Contains(r.coordinators, r.Self.Address)
}

// Neighbours returns the VMs to keep streams with: the coordinators, and for a
// coordinator those that report to it.
func (r *Roster) Neighbours(now time.Time) []netip.AddrPort {
	as := slices.DeleteFunc(slices.Clone(r.coordinators), func(a netip.AddrPort) bool { return a == r.Self.Address })
	for a, v := range r.vms {
		if v.ended.IsZero() && now.Sub(v.direct) < silentAfter && !slices.Contains(as, a) {
			as = append(as, a)
		}
	}
	slices.SortFunc(as, netip.AddrPort.Compare)
	return as
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

// takeOwn takes this VM's own answer as a coordinator.
func (r *Roster) takeOwn(now time.Time) {
	if r.Limits == nil {
		return
	}
	n := r.reporting(now)
	a := &peerpb.FleetAnswer{SinceMillis: uint64(now.Sub(r.since).Milliseconds()), Reporting: uint32(n), Grants: r.Limits.grants(now, n, r.silent(now))}
	r.Limits.answered(now, r.Self.Address, a)
}
