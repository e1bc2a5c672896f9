// Package roster tracks the entry VMs of a fleet without an external member
// list, and enforces the workspaces' rate limits over all of them.
//
// Every VM reports to a few coordinators: the VMs of the highest rank among
// those it knows as live. Any VM answers reports as a coordinator, so that the
// loss of one needs no election: VMs report to the next in rank instead. A
// coordinator adds up what all VMs granted of a workspace's limit, and answers
// with the ratio of further requests that may pass.
//
// The views of coordinators may differ for a while. The total granted is then
// bounded by the ratios that each VM last received, and by an equal share for a
// VM that receives no coordinator's answers.
package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/retry"
)

const (
	// coordinatorCount is how many VMs each VM reports to; two may fail at once.
	coordinatorCount = 3
	// reportInterval is the time between reports. A limit is overrun by at most
	// the requests that arrive in about two intervals.
	reportInterval = 250 * time.Millisecond
	// minReportInterval is the least time between two reports when a surge makes
	// one due early.
	minReportInterval = 90 * time.Millisecond
	// silentTimeout is how long after its last message a VM counts as silent:
	// two report intervals and half of one for network delay.
	silentTimeout = 2*reportInterval + reportInterval/2
	// coordinatorRetryDelay is how long a coordinator that did not answer is
	// skipped.
	coordinatorRetryDelay = 2 * time.Second
	// memberListInterval is the least time between two member lists to one VM.
	memberListInterval = time.Second
	// silentRetention is how long a silent VM is kept. Network partitions rarely
	// last longer, and a VM behind one keeps using its share.
	silentRetention = 30 * time.Second
	// tombstoneRetention is how long a stopped process is kept, so that late
	// messages do not add it again.
	tombstoneRetention = 5 * time.Second
)

// Envelope is a report or an answer with the VM to send it to.
type Envelope struct {
	To     netip.AddrPort
	Report *peerpb.FleetReport
	Answer *peerpb.FleetAnswer
}

// Roster is one VM's view of the fleet. Set the exported fields before use. It
// is not safe for concurrent use, and the time passed to its methods must not go
// back.
type Roster struct {
	Self member.ID
	// Capacity ranks VMs as coordinators; larger ones come first.
	Capacity int
	// Seeds are the addresses through which a new VM joins the fleet.
	Seeds []netip.AddrPort
	// Limits enforces the workspaces' limits; it may be nil.
	Limits *Limits
	// Retries is the retry budget; it may be nil.
	Retries *retry.Budget

	started      time.Time
	coordinators []netip.AddrPort
	// reportNumber and lastReport are the number and time of the last report
	// that this VM sent.
	reportNumber uint64
	lastReport   time.Time
	// reportTimes are the times of the last reports, by their numbers modulo the
	// length.
	reportTimes [16]time.Time
	leaving     bool
	rejoin      rejoinContact
	// coordinatorSince is when this VM became a coordinator, or the last tick if
	// it is not one.
	coordinatorSince time.Time
	// lastDiscovery is when a live VM was last added to vms.
	lastDiscovery time.Time
	// follower says that this VM was not a coordinator at the last tick.
	follower bool
	// lastAnswer is when a coordinator last answered.
	lastAnswer time.Time
	vms        map[netip.AddrPort]*vm
	// summary was computed at summarizedAt, which is zero when it is outdated.
	summary      summary
	summarizedAt time.Time
}

// Start sets the time at which the process started.
func (r *Roster) Start(now time.Time) {
	r.started, r.coordinatorSince = now, now
	r.vms = map[netip.AddrPort]*vm{}
	if r.Limits != nil {
		r.Limits.start(now)
	}
	if r.Retries != nil {
		r.Retries.Start(now)
	}
}

// Tick updates the view of the fleet and returns the reports that are due.
func (r *Roster) Tick(now time.Time) []Envelope {
	r.removeExpired(now)
	r.chooseCoordinators(now)
	r.updateCoordinatorState(now)
	r.updateRetries(now)
	r.planRejoin(now)
	if d := now.Sub(r.lastReport); d < minReportInterval || d < reportInterval && !r.hasSurge() {
		return nil
	}
	r.lastReport = now
	r.reportNumber++
	r.reportTimes[r.reportNumber%uint64(len(r.reportTimes))] = now
	if r.Limits != nil {
		r.Limits.beginReport(r.reportNumber)
	}
	var es []Envelope
	for _, a := range r.coordinators {
		if a == r.Self.Address {
			r.applyReport(now, r.Self, r.buildReport(now, 0))
			r.applyOwnAnswer(now)
			continue
		}
		es = append(es, r.reportTo(now, a))
	}
	if r.Retries != nil {
		r.exchangeRetries(now, es)
	}
	for _, a := range r.rejoinTargets(now) {
		es = append(es, Envelope{To: a, Report: r.buildReport(now, 0)})
	}
	return es
}

// hasSurge reports whether a surge in requests or a denied retry makes a report due
// early.
func (r *Roster) hasSurge() bool {
	return r.Limits != nil && r.Limits.hasSurge() || r.Retries != nil && r.Retries.IsShort()
}

// buildReport returns a report of what workspaces used since the report of the number
// base; 0 means since the start.
func (r *Roster) buildReport(now time.Time, base uint64) *peerpb.FleetReport {
	q := &peerpb.FleetReport{
		Number:       r.reportNumber,
		Known:        r.summarize(now).memberHash,
		Leaving:      r.leaving,
		Capacity:     uint32(r.Capacity),
		UptimeMillis: uint64(now.Sub(r.started).Milliseconds()),
		Base:         base,
	}
	if r.Limits != nil {
		q.Uses = r.Limits.usageSince(base)
	}
	return q
}

// reportTime returns when this VM sent the report of a number; zero if that is too long
// ago.
func (r *Roster) reportTime(number uint64) time.Time {
	if number > r.reportNumber || r.reportNumber-number >= uint64(len(r.reportTimes)) {
		return time.Time{}
	}
	return r.reportTimes[number%uint64(len(r.reportTimes))]
}

// reportTo returns the envelope of a report to a coordinator. It marks the
// coordinator as failed if it has left reports unanswered for silentTimeout.
func (r *Roster) reportTo(now time.Time, a netip.AddrPort) Envelope {
	v := r.vms[a]
	if v == nil {
		return Envelope{To: a, Report: r.buildReport(now, 0)}
	}
	if v.unansweredSince.IsZero() {
		v.unansweredSince = now
	} else if now.Sub(v.unansweredSince) >= silentTimeout {
		v.unansweredSince, v.failed = time.Time{}, now
	}
	return Envelope{To: a, Report: r.buildReport(now, v.answered)}
}

// Leave returns the reports that announce this process's graceful shutdown to its
// coordinators.
func (r *Roster) Leave(now time.Time) []Envelope {
	r.leaving = true
	r.lastReport = time.Time{}
	return r.Tick(now)
}

// ReceiveReport applies a report of another VM and returns the answer. It
// returns nil for a report of this VM itself or of a replaced process.
func (r *Roster) ReceiveReport(now time.Time, from member.ID, q *peerpb.FleetReport) []Envelope {
	if from.Address == r.Self.Address || !r.markHeard(now, from, int(q.GetCapacity())) {
		return nil
	}
	v := r.vms[from.Address]
	v.lastReport = now
	if q.GetLeaving() {
		v.ended = now
		r.summarizedAt = time.Time{}
	}
	applied := r.applyReport(now, from, q)
	a := r.buildAnswer(now, from, q)
	a.Incomplete = !applied
	if r.Retries != nil {
		a.Retries = r.Retries.ReceiveReport(now, from, q)
	}
	return []Envelope{{To: from.Address, Answer: a}}
}

// applyReport applies what workspaces used by a report. It returns false if the report
// lists only changes and this VM has no earlier counts.
func (r *Roster) applyReport(now time.Time, from member.ID, q *peerpb.FleetReport) bool {
	if r.Limits == nil {
		return true
	}
	return r.Limits.receiveReport(now, from, time.Duration(q.GetUptimeMillis())*time.Millisecond, q)
}

// buildAnswer returns the answer to a report, with the member list if that of
// the reporting VM differs, at most once per memberListInterval.
func (r *Roster) buildAnswer(now time.Time, to member.ID, q *peerpb.FleetReport) *peerpb.FleetAnswer {
	s := r.summarize(now)
	a := &peerpb.FleetAnswer{
		Number:      q.GetNumber(),
		Reporting:   uint32(s.reporting),
		SinceMillis: uint64(now.Sub(r.coordinatorSince).Milliseconds()),
	}
	if v := r.vms[to.Address]; v != nil {
		if q.GetKnown() == s.memberHash {
			v.inSync = now
		} else if now.Sub(v.membersSent) >= memberListInterval {
			a.Members = r.membersFor(now, v)
			v.membersSent = now
		}
	}
	if r.Limits != nil {
		a.Grants = r.Limits.grants(now, s.reporting, s.silent)
	}
	return a
}

// ReceiveAnswer applies a coordinator's answer.
func (r *Roster) ReceiveAnswer(now time.Time, from member.ID, a *peerpb.FleetAnswer) {
	v := r.vms[from.Address]
	capacity := 0
	if v != nil {
		capacity = v.capacity
	}
	if from.Address == r.Self.Address || !r.markHeard(now, from, capacity) {
		return
	}
	v = r.vms[from.Address]
	v.unansweredSince, v.failed = time.Time{}, time.Time{}
	v.answered = max(v.answered, a.GetNumber())
	if a.GetIncomplete() {
		v.answered = 0
		r.lastReport = time.Time{}
	}
	r.lastAnswer = now
	known := len(r.vms)
	for _, m := range a.GetMembers() {
		r.applyMember(now, m)
	}
	if len(r.vms) > known {
		// New VMs may change the coordinators, so report at the next tick.
		r.lastReport = time.Time{}
	}
	if r.Limits != nil {
		r.Limits.receiveAnswer(now, r.reportTime(a.GetNumber()), from.Address, a)
	}
	if r.Retries != nil {
		r.Retries.ReceiveAnswer(now, r.reportTime(a.GetNumber()), from, a)
	}
}

// Coordinators returns the VMs to report to as of the last tick, highest rank
// first. Callers must not modify it.
func (r *Roster) Coordinators() []netip.AddrPort {
	return r.coordinators
}

// chooseCoordinators updates the coordinators: the VMs of the highest rank that
// are live or whose answer is still awaited, except those that failed recently.
func (r *Roster) chooseCoordinators(now time.Time) {
	var cs []*vm
	if !r.leaving {
		cs = append(cs, &vm{id: r.Self, capacity: r.Capacity, addressHash: addressHash(r.Self.Address)})
	}
	for _, v := range r.vms {
		failed := !v.failed.IsZero() && now.Sub(v.failed) < coordinatorRetryDelay
		if v.ended.IsZero() && !failed && (r.live(now, v) || !v.unansweredSince.IsZero()) {
			cs = append(cs, v)
		}
	}
	r.coordinators = nil
	for _, v := range topRanked(cs) {
		r.coordinators = append(r.coordinators, v.id.Address)
	}
}

// topRanked returns the coordinatorCount VMs of the highest rank: those of the
// largest capacity, and of the greatest address hash among equals.
func topRanked(vs []*vm) []*vm {
	top := make([]*vm, 0, coordinatorCount+1)
	for _, v := range vs {
		i, _ := slices.BinarySearchFunc(top, v, compareRank)
		if i == coordinatorCount {
			continue
		}
		top = slices.Insert(top, i, v)
		top = top[:min(coordinatorCount, len(top))]
	}
	return top
}

// compareRank is negative if a has a higher rank than b.
func compareRank(a, b *vm) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.addressHash, a.addressHash), a.id.Address.Compare(b.id.Address))
}

// addressHash returns a hash of an address, which spreads the coordinators over
// VMs of equal capacity.
func addressHash(a netip.AddrPort) uint64 {
	b, err := a.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// IsCoordinator reports whether this VM is one of the coordinators in its own
// view.
func (r *Roster) IsCoordinator() bool {
	return slices.Contains(r.coordinators, r.Self.Address)
}

// Neighbours returns the VMs to keep streams to: the coordinators, and the VMs
// that report to this one.
func (r *Roster) Neighbours(now time.Time) []netip.AddrPort {
	as := slices.DeleteFunc(slices.Clone(r.coordinators), func(a netip.AddrPort) bool { return a == r.Self.Address })
	for a, v := range r.vms {
		if v.ended.IsZero() && now.Sub(v.lastReport) < silentTimeout && !slices.Contains(r.coordinators, a) {
			as = append(as, a)
		}
	}
	slices.SortFunc(as, netip.AddrPort.Compare)
	return as
}

// applyOwnAnswer applies this VM's own answer as a coordinator.
func (r *Roster) applyOwnAnswer(now time.Time) {
	if r.Limits == nil {
		return
	}
	s := r.summarize(now)
	a := &peerpb.FleetAnswer{
		SinceMillis: uint64(now.Sub(r.coordinatorSince).Milliseconds()),
		Reporting:   uint32(s.reporting),
		Grants:      r.Limits.grants(now, s.reporting, s.silent),
	}
	r.Limits.receiveAnswer(now, now, r.Self.Address, a)
}
