// Package fleet runs the membership of this VM: it feeds member.Node with
// ticks, pauses, list reads and messages, and sends what it returns.
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

// jump is how far the wall clock may move against the monotonic clock before
// that counts as a pause.
const jump = 500 * time.Millisecond

// refresh is how long the state for the request path is kept while nothing
// that it tells of is known to have changed.
const refresh = 200 * time.Millisecond

// seedEvery is the time between looks at the seeds and at whom to stay
// connected to.
const seedEvery = time.Second

// Transport carries frames to other VMs.
type Transport interface {
	SetPeers(now time.Time, to []netip.AddrPort)
	Send(to netip.AddrPort, f *peerpb.Frame) bool
}

// Fleet is this VM's membership. Set the exported fields before Run.
type Fleet struct {
	Node      *member.Node
	Transport Transport
	Bus       *event.Bus
	Logger    log.Logger
	// Seeds returns addresses to ask besides those of own list reads; nil
	// gives none.
	Seeds func() []netip.AddrPort
	// Wall returns the wall clock's time at now; nil takes it from now. Tests
	// replace it.
	Wall func(now time.Time) time.Time

	mu     sync.Mutex
	state  atomic.Pointer[state]
	seeded time.Time
	to     []netip.AddrPort
	pauses atomic.Uint64
	losses atomic.Uint64
}

// state is what the request path reads without a lock.
type state struct {
	share   member.Share
	members []member.Member
	allowed map[netip.Addr]bool
	// made is when members and allowed were worked out, at when the rest was.
	made, at time.Time
	// wall is the wall clock's time at at.
	wall time.Time
}

// Run subscribes to ticks, pauses and the planned stop until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	f.do(f.Node.Tick)
	if err := event.Subscribe(ctx, f.Bus, func(event.Tick) { f.tick(time.Now()) }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, f.Bus, func(event.Pause) { f.pause() }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, f.Bus, func(event.Stopping) { f.do(f.Node.Leave) }); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (f *Fleet) tick(now time.Time) {
	f.do(f.Node.Tick)
	if now.Sub(f.seeded) < seedEvery {
		return
	}
	f.seeded = now
	if as := f.seeds(); len(as) > 0 {
		f.do(func(now time.Time) []member.Send { return f.Node.Seed(now, as) })
	}
}

func (f *Fleet) pause() {
	f.do(func(now time.Time) []member.Send {
		f.doubt(now)
		return f.Node.Tick(now)
	})
}

// doubt puts all promises in doubt; mu is held.
func (f *Fleet) doubt(now time.Time) {
	f.pauses.Add(1)
	_ = level.Warn(f.Logger).Log("msg", "Process was paused, promises are asked for again.")
	f.Node.Pause(now)
}

// jumped tells whether the wall clock moved against the monotonic clock since
// the last change, as it does while a VM is suspended.
func (f *Fleet) jumped(now time.Time) bool {
	s := f.state.Load()
	if s == nil {
		return false
	}
	d := f.wall(now).Sub(s.wall) - now.Sub(s.at)
	return d.Abs() >= jump
}

func (f *Fleet) wall(now time.Time) time.Time {
	if f.Wall != nil {
		return f.Wall(now)
	}
	return now.Round(0)
}

// Handle takes the membership messages of a frame.
func (f *Fleet) Handle(now time.Time, from member.ID, m *peerpb.Frame) {
	if h := m.GetHello(); h != nil {
		f.do(func(now time.Time) []member.Send { return f.Node.Meet(now, from, h.GetDataCentre()) })
	}
	for _, x := range m.GetMember() {
		f.do(func(now time.Time) []member.Send { return f.Node.Receive(now, from, x) })
	}
}

// List takes an own read of the platform's list, sent at sent.
func (f *Fleet) List(sent time.Time, revision uint64, vms []member.VM) {
	f.do(func(now time.Time) []member.Send { return f.Node.List(now, sent, revision, vms) })
}

// do runs one step of the node and sends what it returns. The time is taken
// under the lock, so that the node sees none go back.
func (f *Fleet) do(step func(time.Time) []member.Send) {
	f.mu.Lock()
	now := time.Now()
	if f.jumped(now) {
		f.doubt(now)
	}
	ss := step(now)
	to := f.Node.Addresses()
	changed := !slices.Equal(to, f.to)
	if changed {
		f.to = to
		f.Transport.SetPeers(now, to)
	}
	f.publish(now, changed)
	f.mu.Unlock()
	for _, s := range ss {
		f.Transport.Send(s.To.Address, &peerpb.Frame{Member: []*peerpb.MemberMessage{s.Message}})
	}
}

// publish stores the node's state for the request path; mu is held. What is
// costly is worked out anew only when it changed or got old.
func (f *Fleet) publish(now time.Time, changed bool) {
	o := f.state.Load()
	s := &state{share: f.Node.Latest(), at: now, wall: f.wall(now)}
	if o != nil && !changed && o.share.Epoch == s.share.Epoch && now.Sub(o.made) < refresh {
		s.members, s.allowed, s.made = o.members, o.allowed, o.made
	} else {
		f.fill(s, now)
	}
	f.state.Store(s)
	if o != nil {
		f.report(o.share, s.share)
	}
}

func (f *Fleet) fill(s *state, now time.Time) {
	s.members, s.allowed, s.made = f.Node.Members(), map[netip.Addr]bool{}, now
	for _, a := range f.to {
		s.allowed[a.Addr().Unmap()] = true
	}
	for _, a := range f.seeds() {
		s.allowed[a.Addr().Unmap()] = true
	}
}

func (f *Fleet) seeds() []netip.AddrPort {
	if f.Seeds == nil {
		return nil
	}
	return f.Seeds()
}

func (f *Fleet) report(o, s member.Share) {
	if o.Usable && !s.Usable {
		f.losses.Add(1)
	}
	if o.Usable == s.Usable && o.RunningUsable == s.RunningUsable && o.Epoch == s.Epoch {
		return
	}
	_ = level.Info(f.Logger).Log("msg", "Share changed.", "count", s.Count, "running", s.RunningCount,
		"usable", s.Usable, "runningUsable", s.RunningUsable)
}

// Share returns the own share. It may be called for every request.
func (f *Fleet) Share(now time.Time) member.Share {
	s := f.state.Load()
	if s == nil {
		return member.Share{Count: 1, RunningCount: 1}
	}
	h := s.share
	if f.jumped(now) || !now.Before(h.Until) {
		h.Usable, h.RunningUsable = false, false
	}
	return h
}

// Members returns this VM and those that it counts, in the order of addresses.
// Callers must not change it.
func (f *Fleet) Members() []member.Member {
	if s := f.state.Load(); s != nil {
		return s.members
	}
	return nil
}

// Answering returns the addresses of the other VMs that answer, in order.
func (f *Fleet) Answering() []netip.AddrPort {
	var as []netip.AddrPort
	for _, m := range f.Members() {
		if m.Answering && m.ID != f.Node.Self {
			as = append(as, m.ID.Address)
		}
	}
	return as
}

// Allowed tells whether a VM at this IP is in the list, a seed or counted.
func (f *Fleet) Allowed(ip netip.Addr) bool {
	s := f.state.Load()
	return s != nil && s.allowed[ip]
}

// Dump returns the state of the membership.
func (f *Fleet) Dump() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Node.Dump()
}
