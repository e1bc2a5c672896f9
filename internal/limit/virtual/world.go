// Package virtual runs the limits of several entry VMs in virtual time, with
// messages that are lost, late or repeated, clocks that drift, and VMs that
// crash, pause or are cut off. Membership is a fake that hands out shares.
package virtual

import (
	"container/heap"
	"math/rand"
	"net/netip"
	"time"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
)

// Times of the fake.
const (
	tick = 50 * time.Millisecond
	view = 500 * time.Millisecond
)

// start is the time at which virtual time begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// World is a set of entry VMs. Set the exported fields before Start.
type World struct {
	Random *rand.Rand
	// Delay is the shortest one-way delay of a message, Spread what is added
	// at most.
	Delay  time.Duration
	Spread time.Duration
	// Loss and Repeat are the parts of messages lost and sent twice, Late the
	// part that takes up to LateMax longer.
	Loss    float64
	Repeat  float64
	Late    float64
	LateMax time.Duration
	// Drift is what Fleet.Drift is set to.
	Drift float64
	// ClockOff bounds how much the VMs' clocks are off, as a part of 1; Drift
	// if 0.
	ClockOff float64
	// Skew is what Fleet.Skew is set to.
	Skew float64
	// Wrong is the part of views in which a VM is wrong about who answers.
	Wrong float64
	// Promise is the length of a promise, Forget how long after its end a VM
	// is forgotten at most.
	Promise time.Duration
	Forget  time.Duration
	Specs   []limit.Spec
	// Longest is the longest time that a unit is held.
	Longest time.Duration
	// Platform is the list that the product's membership reads; nil stands for
	// the fake membership.
	Platform *Platform
	// Messages and MemberMessages count messages and their bytes.
	Messages       int
	Bytes          int
	MemberMessages int
	MemberBytes    int

	VMs []*VM

	now    time.Duration
	queue  queue
	serial uint64
	cut    func(a, b *VM) bool
	seq    int
}

// VM is one process on an entry VM.
type VM struct {
	ID         member.ID
	DataCentre string
	Fleet      *limit.Fleet
	// Alive is false after a crash, Frozen while the VM does not run.
	Alive  bool
	Frozen bool
	// Isolated says that the VM gets no new promises.
	Isolated bool
	Leaving  bool
	// Sent counts the messages of the VM.
	Sent  int
	Bytes int

	world  *World
	rate   float64
	base   time.Time
	since  time.Duration
	mail   []func()
	counts map[member.ID]bool
	promise

	node    *member.Node
	greeted map[member.ID]bool
}

// Now returns virtual time since the start.
func (w *World) Now() time.Duration {
	return w.now
}

// At calls f at a time.
func (w *World) At(t time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: max(t, w.now), seq: w.seq, run: f})
}

// Run runs all events up to a time.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// Start starts a process at an address and returns it. It is a newcomer if old
// is false.
func (w *World) Start(a netip.AddrPort, centre string, old bool) *VM {
	w.serial++
	v := &VM{
		ID:         member.ID{Address: a, Incarnation: w.serial},
		Alive:      true,
		DataCentre: centre,
		world:      w,
		rate:       1 + w.clockOff()*(2*w.Random.Float64()-1),
		base:       start.Add(time.Duration(w.Random.Int63n(int64(time.Hour)))),
		since:      w.now,
		counts:     map[member.ID]bool{},
	}
	v.Fleet = &limit.Fleet{
		Self:          v.ID,
		Drift:         w.Drift,
		LongTermDrift: w.Skew,
		MaxRunTime:    w.Longest,
		Send:          func(s limit.Outgoing) { w.send(v, s) },
	}
	w.VMs = append(w.VMs, v)
	if w.Platform != nil {
		w.real(v, old)
	} else {
		w.join(v, old)
	}
	v.Fleet.Set(v.Now(), w.Specs)
	first := time.Duration(w.Random.Int63n(int64(tick)))
	w.At(w.now+first, func() { w.tick(v) })
	if w.Platform == nil {
		w.At(w.now+first, func() { w.view(v) })
	}
	return v
}

func (w *World) clockOff() float64 {
	if w.ClockOff > 0 {
		return w.ClockOff
	}
	return w.Drift
}

// Reaches reports whether a message from v to the process id would arrive.
func (w *World) Reaches(v *VM, id member.ID) bool {
	o := w.find(id.Address)
	return o != nil && o.ID == id && !o.Frozen && (o == v || w.cut == nil || !w.cut(v, o))
}

// Now returns the VM's own clock.
func (v *VM) Now() time.Time {
	return v.base.Add(time.Duration(float64(v.world.now-v.since) * v.rate))
}

// Do runs f now, or when the VM wakes. It is dropped if the VM crashes.
func (v *VM) Do(f func()) {
	switch {
	case !v.Alive:
	case v.Frozen:
		v.mail = append(v.mail, f)
	default:
		f()
	}
}

func (w *World) tick(v *VM) {
	if !v.Alive {
		return
	}
	if !v.Frozen {
		if v.node != nil {
			w.step(v)
		}
		v.Fleet.Tick(v.Now())
	}
	w.At(w.now+tick, func() { w.tick(v) })
}

// Crash ends a process at once.
func (w *World) Crash(v *VM) {
	v.Alive = false
	v.mail = nil
	if w.Platform != nil {
		w.unlist(v)
	}
}

// Freeze stops a VM; its clock stops too if clock is set.
func (w *World) Freeze(v *VM, length time.Duration, clock bool) {
	if v.Frozen || !v.Alive {
		return
	}
	v.Frozen = true
	w.At(w.now+length, func() { w.wake(v, length, clock) })
}

func (w *World) wake(v *VM, length time.Duration, clock bool) {
	if !v.Alive {
		return
	}
	v.Frozen = false
	if clock {
		v.since += length
		v.pause()
		v.Fleet.Pause(v.Now())
	}
	w.Random.Shuffle(len(v.mail), func(i, j int) { v.mail[i], v.mail[j] = v.mail[j], v.mail[i] })
	m := v.mail
	v.mail = nil
	for _, f := range m {
		v.Do(f)
	}
	if !clock {
		v.pause()
		v.Fleet.Pause(v.Now())
	}
}

// Cut keeps messages from passing between VMs for which f is true.
func (w *World) Cut(f func(a, b *VM) bool) {
	w.cut = f
}

// Edit puts another table in force, at each VM after up to lag.
func (w *World) Edit(specs []limit.Spec, lag time.Duration) {
	w.Specs = specs
	for _, v := range w.VMs {
		d := time.Duration(w.Random.Int63n(int64(lag) + 1))
		w.At(w.now+d, func() {
			v.Do(func() { v.Fleet.Set(v.Now(), specs) })
		})
	}
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q *queue) Pop() any {
	o := *q
	e := o[len(o)-1]
	*q = o[:len(o)-1]
	return e
}
