// Package fleet runs the membership of this VM: it passes ticks, pauses, list
// reads and messages to member.Node and sends the messages that it returns.
package fleet

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// minClockJump is the least difference between the times elapsed by the wall
// clock and by the monotonic clock that counts as a pause of the process.
const minClockJump = 500 * time.Millisecond

// snapshotTTL is how long the members and allowed addresses of a snapshot are
// reused while no change of them is known.
const snapshotTTL = 200 * time.Millisecond

// seedInterval is the interval at which the seeds are passed to the node.
const seedInterval = time.Second

// Transport carries frames to other VMs.
type Transport interface {
	// SetPeers sets the addresses of the VMs to stay connected to.
	SetPeers(now time.Time, to []netip.AddrPort)
	// Send sends a frame; it returns false if the frame could not be sent.
	Send(to netip.AddrPort, f *peerpb.Frame) bool
}

// Fleet is this VM's membership. Set the exported fields before Run.
type Fleet struct {
	Node      *member.Node
	Transport Transport
	Bus       *event.Bus
	Logger    log.Logger
	// Seeds returns addresses of VMs to contact besides those of the list; nil
	// for none.
	Seeds func() []netip.AddrPort
	// WallClock returns the time of the wall clock at now; nil uses that of
	// now. Tests replace it.
	WallClock func(now time.Time) time.Time

	mu          sync.Mutex
	snapshot    atomic.Pointer[snapshot]
	lastSeed    time.Time
	peers       []netip.AddrPort
	pauses      atomic.Uint64
	shareLosses atomic.Uint64
}

// snapshot is the state that the request path reads without a lock.
type snapshot struct {
	share   member.Share
	members []member.Member
	allowed map[netip.Addr]bool
	// membersAt is when members and allowed were computed, updatedAt when the
	// rest was.
	membersAt, updatedAt time.Time
	// wallTime is the time of the wall clock at updatedAt.
	wallTime time.Time
}

// Run handles ticks, pauses and the graceful shutdown until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	f.step(f.Node.Tick)
	if err := event.Subscribe(ctx, f.Bus, func(event.Tick) { f.tick(time.Now()) }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, f.Bus, func(event.Pause) { f.onPause() }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, f.Bus, func(event.Stopping) { f.step(f.Node.Leave) }); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (f *Fleet) tick(now time.Time) {
	f.step(f.Node.Tick)
	if now.Sub(f.lastSeed) < seedInterval {
		return
	}
	f.lastSeed = now
	if as := f.seedAddresses(); len(as) > 0 {
		f.step(func(now time.Time) []member.Envelope { return f.Node.Seed(now, as) })
	}
}

// onPause handles a pause of the process that the timer detected.
func (f *Fleet) onPause() {
	f.step(func(now time.Time) []member.Envelope {
		f.handlePause(now)
		return f.Node.Tick(now)
	})
}

// handlePause makes the node rely on no lease until it is renewed, since leases
// may have expired during the pause; mu is held.
func (f *Fleet) handlePause(now time.Time) {
	f.pauses.Add(1)
	_ = level.Warn(f.Logger).Log("msg", "Process was paused; renewing all leases.")
	f.Node.HandlePause(now)
}

// clockJumped reports whether the wall clock moved against the monotonic clock
// since the last snapshot, as it does while the VM is suspended.
func (f *Fleet) clockJumped(now time.Time) bool {
	s := f.snapshot.Load()
	if s == nil {
		return false
	}
	d := f.wallTime(now).Sub(s.wallTime) - now.Sub(s.updatedAt)
	return d.Abs() >= minClockJump
}

// wallTime returns the time of the wall clock at now.
func (f *Fleet) wallTime(now time.Time) time.Time {
	if f.WallClock != nil {
		return f.WallClock(now)
	}
	return now.Round(0)
}

// Handle passes the Hello and the membership messages of a frame to the node.
func (f *Fleet) Handle(now, _ time.Time, from member.ID, m *peerpb.Frame) {
	if h := m.GetHello(); h != nil {
		f.step(func(now time.Time) []member.Envelope { return f.Node.HandleConnect(now, from, h.GetDataCentre()) })
	}
	for _, x := range m.GetMember() {
		f.step(func(now time.Time) []member.Envelope { return f.Node.Receive(now, from, x) })
	}
}

// ApplyList applies the answer to this VM's own read of the platform's list,
// whose request was sent at sentAt.
func (f *Fleet) ApplyList(sentAt time.Time, revision uint64, vms []member.VM) {
	f.step(func(now time.Time) []member.Envelope { return f.Node.ApplyList(now, sentAt, revision, vms) })
}

// step applies one event to the node and sends the messages that it returns.
// The time is read under the lock, so that it never goes backwards for the
// node.
func (f *Fleet) step(apply func(time.Time) []member.Envelope) {
	f.mu.Lock()
	now := time.Now()
	if f.clockJumped(now) {
		f.handlePause(now)
	}
	envelopes := apply(now)
	peers := f.Node.Addresses()
	changed := !slices.Equal(peers, f.peers)
	if changed {
		f.peers = peers
		f.Transport.SetPeers(now, peers)
	}
	f.publish(now, changed)
	f.mu.Unlock()
	for _, s := range envelopes {
		f.Transport.Send(s.To.Address, &peerpb.Frame{Member: []*peerpb.MemberMessage{s.Message}})
	}
}

// publish stores a snapshot of the node's state for the request path; mu is
// held. The members, which are costly to compute, are reused for up to
// snapshotTTL unless they changed.
func (f *Fleet) publish(now time.Time, changed bool) {
	o := f.snapshot.Load()
	s := &snapshot{share: f.Node.LastShare(), updatedAt: now, wallTime: f.wallTime(now)}
	if o != nil && !changed && o.share.Epoch == s.share.Epoch && now.Sub(o.membersAt) < snapshotTTL {
		s.members, s.allowed, s.membersAt = o.members, o.allowed, o.membersAt
	} else {
		f.fillMembers(s, now)
	}
	f.snapshot.Store(s)
	if o != nil {
		f.reportChange(o.share, s.share)
	}
}

// fillMembers computes the members and the allowed addresses of a snapshot.
func (f *Fleet) fillMembers(s *snapshot, now time.Time) {
	s.members, s.allowed, s.membersAt = f.Node.Members(), map[netip.Addr]bool{}, now
	for _, a := range f.peers {
		s.allowed[a.Addr().Unmap()] = true
	}
	for _, a := range f.seedAddresses() {
		s.allowed[a.Addr().Unmap()] = true
	}
}

func (f *Fleet) seedAddresses() []netip.AddrPort {
	if f.Seeds == nil {
		return nil
	}
	return f.Seeds()
}

// reportChange logs a change of the share from o to s, and counts it if the share
// is no longer usable.
func (f *Fleet) reportChange(o, s member.Share) {
	if o.Usable && !s.Usable {
		f.shareLosses.Add(1)
	}
	if o.Usable == s.Usable && o.RunningUsable == s.RunningUsable && o.Epoch == s.Epoch {
		return
	}
	_ = level.Info(f.Logger).Log("msg", "Share changed.", "count", s.Count, "running", s.RunningCount,
		"usable", s.Usable, "runningUsable", s.RunningUsable)
}

// Share returns this VM's share of the fleet-wide limits. It takes no lock, so
// that it may be called for every request.
func (f *Fleet) Share(now time.Time) member.Share {
	s := f.snapshot.Load()
	if s == nil {
		return member.Share{Count: 1, RunningCount: 1}
	}
	h := s.share
	if f.clockJumped(now) || !now.Before(h.Until) {
		h.Usable, h.RunningUsable = false, false
	}
	return h
}

// Members returns this VM and those that it counts, in the order of addresses.
// Callers must not change the slice.
func (f *Fleet) Members() []member.Member {
	if s := f.snapshot.Load(); s != nil {
		return s.members
	}
	return nil
}

// AnsweringPeers returns the addresses of the other VMs that answer, in order.
func (f *Fleet) AnsweringPeers() []netip.AddrPort {
	var as []netip.AddrPort
	for _, m := range f.Members() {
		if m.Answering && m.ID != f.Node.Self {
			as = append(as, m.ID.Address)
		}
	}
	return as
}

// Allowed reports whether a VM at this IP may connect: it is in the list, a
// seed or counted.
func (f *Fleet) Allowed(ip netip.Addr) bool {
	s := f.snapshot.Load()
	return s != nil && s.allowed[ip]
}

// Dump returns the state of the membership.
func (f *Fleet) Dump() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Node.Dump()
}
