// Package limiter runs the fleet-wide limits on this VM: it passes the table,
// the membership, ticks and messages of other VMs to limit.Fleet and sends its
// messages.
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

// minClockJump is the least difference between the times elapsed by the wall
// clock and by the monotonic clock that counts as a suspension of the VM. A
// pause in which the monotonic clock went on needs no detection, since
// everything expires by that clock.
const minClockJump = 500 * time.Millisecond

// Transport carries frames to other VMs.
type Transport interface {
	Send(to netip.AddrPort, f *peerpb.Frame) bool
}

// Membership gives this VM's share and the VMs of the fleet.
type Membership interface {
	Share(now time.Time) member.Share
	Members() []member.Member
}

// Limiter applies the fleet-wide limits to the requests of this VM. Set the
// exported fields, then call New.
type Limiter struct {
	Self       member.ID
	Transport  Transport
	Membership Membership
	Bus        *event.Bus
	Logger     log.Logger
	// Table returns the accepted table, or nil.
	Table func() *table.Table

	fleet *limit.Fleet
	// lastTick is the time of the last tick, or of a suspension found since then.
	// checkClock measures from it.
	lastTick atomic.Pointer[time.Time]
	mu       sync.Mutex
	messages atomic.Uint64
	unsent   atomic.Uint64
	pauses   atomic.Uint64
}

// New prepares l, whose exported fields are set, for use and returns it.
func New(l *Limiter) *Limiter {
	l.fleet = &limit.Fleet{
		Self:          l.Self,
		MaxClockDrift: limit.DefaultMaxClockDrift,
		LongTermDrift: limit.DefaultLongTermDrift,
		Send:          l.send,
	}
	now := time.Now()
	l.lastTick.Store(&now)
	l.fleet.Set(now, nil)
	return l
}

func (l *Limiter) send(s limit.Envelope) {
	l.messages.Add(1)
	if !l.Transport.Send(s.To.Address, &peerpb.Frame{Limit: []*peerpb.LimitMessage{s.Message}}) {
		l.unsent.Add(1)
	}
}

// Run handles accepted tables, ticks and the graceful shutdown until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	if err := event.Subscribe(ctx, l.Bus, func(event.TableAccepted) { l.applyTable() }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, l.Bus, func(event.Tick) { l.tick(time.Now()) }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, l.Bus, func(event.Stopping) { l.leave(time.Now()) }); err != nil {
		return err
	}
	l.applyTable()
	<-ctx.Done()
	return nil
}

// applyTable replaces the limits by those of the accepted table.
func (l *Limiter) applyTable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.Table(); t != nil {
		l.fleet.Set(time.Now(), Specs(t))
	}
}

// leave returns all delegations for a graceful shutdown.
func (l *Limiter) leave(now time.Time) {
	_ = level.Info(l.Logger).Log("msg", "Returning all delegations for the graceful shutdown.")
	l.fleet.Leave(now)
}

func (l *Limiter) tick(now time.Time) {
	l.checkClock(now)
	l.lastTick.Store(&now)
	l.fleet.SetMembers(now, l.Membership.Share(now), l.Membership.Members())
	l.fleet.Tick(now)
}

// checkClock drops delegations and tokens if the monotonic clock stood still
// while the VM was suspended. It is called before each step that may grant
// anything.
func (l *Limiter) checkClock(now time.Time) {
	last := *l.lastTick.Load()
	elapsed := now.Sub(last)
	wallElapsed := now.Round(0).Sub(last.Round(0))
	if (wallElapsed - elapsed).Abs() < minClockJump {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if *l.lastTick.Load() != last {
		return
	}
	l.pauses.Add(1)
	_ = level.Warn(l.Logger).Log("msg", "VM was suspended; dropping delegations and tokens.", "gap", wallElapsed-elapsed)
	l.fleet.Pause(now)
	l.lastTick.Store(&now)
}

// Handle passes the limit messages of a frame to the limits.
func (l *Limiter) Handle(now, _ time.Time, from member.ID, f *peerpb.Frame) {
	for _, m := range f.GetLimit() {
		l.checkClock(now)
		l.fleet.Receive(now, from, m)
	}
}

// Take requests one token or permit for a request that ends by the deadline;
// see limit.Fleet.Take.
func (l *Limiter) Take(now time.Time, k limit.Key, deadline time.Time, answer func(limit.Answer)) {
	l.checkClock(now)
	l.fleet.Take(now, k, deadline, answer)
}

// Return returns a permit that Take granted.
func (l *Limiter) Return(now time.Time, k limit.Key, g limit.Granted) {
	l.fleet.Return(now, k, g)
}

// LatestDeadline returns the latest time at which a request may still run under
// this VM's share of the limits on running requests.
func (l *Limiter) LatestDeadline(now time.Time) time.Time {
	return l.fleet.RunningUntil(now)
}

// Dump returns the state of all limits.
func (l *Limiter) Dump() any {
	return l.fleet.Dump()
}
