// Package limiter runs the fleet-wide limits of this VM: it feeds limit.Fleet
// with the table, the membership, ticks and messages of other VMs.
package limiter

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/table"
)

// jump is how far the wall clock may move against the monotonic clock before
// that counts as a pause. A pause in which the monotonic clock went on needs no
// notice, since everything has an end by that clock.
const jump = 500 * time.Millisecond

// Transport carries frames to other VMs.
type Transport interface {
	Send(to netip.AddrPort, f *peerpb.Frame) bool
}

// Membership tells the own share and the VMs of the fleet.
type Membership interface {
	Share(now time.Time) member.Share
	Members() []member.Member
}

// Limiter is this VM's part of all limits. Set the exported fields before use.
type Limiter struct {
	Self       member.ID
	Transport  Transport
	Membership Membership
	Bus        *event.Bus
	Logger     log.Logger
	// Table returns the table in force, or nil.
	Table func() *table.Table

	fleet  *limit.Fleet
	clock  atomic.Pointer[time.Time]
	mu     sync.Mutex
	sent   atomic.Uint64
	lost   atomic.Uint64
	pauses atomic.Uint64
}

// New returns a limiter that is ready for use.
func New(l *Limiter) *Limiter {
	l.fleet = &limit.Fleet{
		Self:          l.Self,
		Drift:         limit.DefaultDrift,
		LongTermDrift: limit.DefaultLongTermDrift,
		Send:          l.send,
	}
	now := time.Now()
	l.clock.Store(&now)
	l.fleet.Set(now, nil)
	return l
}

func (l *Limiter) send(s limit.Outgoing) {
	l.sent.Add(1)
	if !l.Transport.Send(s.To.Address, &peerpb.Frame{Limit: []*peerpb.LimitMessage{s.Message}}) {
		l.lost.Add(1)
	}
}

// Run follows the table and the ticks until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	if err := event.Subscribe(ctx, l.Bus, func(event.TableAccepted) { l.refresh() }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, l.Bus, func(event.Tick) { l.tick(time.Now()) }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, l.Bus, func(event.Stopping) { l.leave(time.Now()) }); err != nil {
		return err
	}
	l.refresh()
	<-ctx.Done()
	return nil
}

// refresh puts the limits of the table in force.
func (l *Limiter) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.Table(); t != nil {
		l.fleet.Set(time.Now(), Specs(t))
	}
}

func (l *Limiter) leave(now time.Time) {
	_ = level.Info(l.Logger).Log("msg", "Loans go back.")
	l.fleet.Leave(now)
}

func (l *Limiter) tick(now time.Time) {
	l.watch(now)
	l.clock.Store(&now)
	l.fleet.SetMembers(now, l.Membership.Share(now), l.Membership.Members())
	l.fleet.Tick(now)
}

// watch notices that the VM's clock stood still for a while, before anything is
// granted.
func (l *Limiter) watch(now time.Time) {
	c := *l.clock.Load()
	d := now.Sub(c)
	w := now.Round(0).Sub(c.Round(0))
	if (w - d).Abs() < jump {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if *l.clock.Load() != c {
		return
	}
	l.pauses.Add(1)
	_ = level.Warn(l.Logger).Log("msg", "VM was suspended, loans and tokens are dropped.", "gap", w-d)
	l.fleet.Pause(now)
	l.clock.Store(&now)
}

// Handle takes the messages of limits in a frame.
func (l *Limiter) Handle(now time.Time, from member.ID, f *peerpb.Frame) {
	for _, m := range f.GetLimit() {
		l.watch(now)
		l.fleet.Receive(now, from, m)
	}
}

// Take asks for one token or unit; see limit.Fleet.
func (l *Limiter) Take(now time.Time, k limit.Key, deadline time.Time, done func(limit.Answer)) {
	l.watch(now)
	l.fleet.Take(now, k, deadline, done)
}

// Return gives back a unit that Take granted.
func (l *Limiter) Return(now time.Time, k limit.Key, g limit.Granted) {
	l.fleet.Return(now, k, g)
}

// RunningUntil is the latest time at which work may run under this VM's share.
func (l *Limiter) RunningUntil(now time.Time) time.Time {
	return l.fleet.RunningUntil(now)
}

// Dump returns the state of all limits.
func (l *Limiter) Dump() any {
	return l.fleet.Dump()
}
