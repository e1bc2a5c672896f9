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
	leaving      bool
	visit        visit
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
	r.plan(now)
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
	for _, a := range r.strangers(now) {
		ss = append(ss, Send{To: a, Report: q})
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
		r.Limits.report(now, from, time.Duration(q.GetUptimeMillis())*time.Millisecond, q.GetUses())
	}
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

// Coordinators returns the VMs to report to, best first, as of the last tick.
// Callers must not change it.
func (r *Roster) Coordinators() []netip.AddrPort {
	return r.coordinators
}

// elect finds the coordinators.
func (r *Roster) elect(now time.Time) {
	var cs []*vm
	if !r.leaving {
		cs = append(cs, &vm{id: r.Self, capacity: r.Capacity, rank: rank(r.Self.Address)})
	}
	for _, v := range r.vms {
		failed := !v.failed.IsZero() && now.Sub(v.failed) < retryAfter
		if v.ended.IsZero() && !failed && (r.live(now, v) || !v.asked.IsZero()) {
			cs = append(cs, v)
		}
	}
	r.coordinators = nil
	for _, v := range best(cs) {
		r.coordinators = append(r.coordinators, v.id.Address)
	}
}

// best returns the VMs of the highest rank, as many as there are coordinators.
func best(vs []*vm) []*vm {
	slices.SortFunc(vs, func(a, b *vm) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.rank, a.rank), a.id.Address.Compare(b.id.Address))
	})
	return vs[:min(coordinators, len(vs))]
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

// takeOwn takes this VM's own answer as a coordinator.
func (r *Roster) takeOwn(now time.Time) {
	if r.Limits == nil {
		return
	}
	n := r.reporting(now)
	a := &peerpb.FleetAnswer{SinceMillis: uint64(now.Sub(r.since).Milliseconds()), Reporting: uint32(n), Grants: r.Limits.grants(now, n, r.silent(now))}
	r.Limits.answered(now, r.Self.Address, a)
}
