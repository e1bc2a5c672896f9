// Package virtual simulates the fleet-wide limits of several entry VMs in virtual
// time, with messages that are lost, late or duplicated, clocks that drift, VMs
// that crash or pause, and network partitions. Membership is either the real one
// or a simple fake.
package virtual

import (
	"container/heap"
	"math/rand"
	"net/netip"
	"time"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
)

const (
	tickInterval = 50 * time.Millisecond
	// membershipInterval is how often the fake membership is updated.
	membershipInterval = 500 * time.Millisecond
)

// epoch is the base of the VMs' clocks, which start up to an hour after it.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// World is a simulated fleet of entry VMs. Set the exported fields before Start.
// Ratios and clock errors are fractions of 1.
type World struct {
	Random *rand.Rand
	// A message takes MinDelay plus a random time below MaxJitter.
	MinDelay  time.Duration
	MaxJitter time.Duration
	// LossRatio and DuplicateRatio are the ratios of messages lost and
	// delivered twice; membership messages are never duplicated. LateRatio is
	// the ratio of messages that take up to MaxLateness longer.
	LossRatio      float64
	DuplicateRatio float64
	LateRatio      float64
	MaxLateness    time.Duration
	// MaxClockDrift is the value of Fleet.MaxClockDrift on all VMs.
	MaxClockDrift float64
	// MaxClockError bounds the rate error that the VMs' clocks really have; 0
	// stands for MaxClockDrift.
	MaxClockError float64
	// LongTermDrift is the value of Fleet.LongTermDrift on all VMs.
	LongTermDrift float64
	// MisjudgedRatio is how often the fake membership is wrong about whether a
	// member answers.
	MisjudgedRatio float64
	// LeaseDuration is the length of a lease in the fake membership, and
	// MaxForgetDelay bounds the random delay after its end with which the
	// other VMs forget its holder.
	LeaseDuration  time.Duration
	MaxForgetDelay time.Duration
	Specs          []limit.Spec
	// MaxRunTime is the longest time that a permit is held.
	MaxRunTime time.Duration
	// Platform is the list that the real membership reads; nil selects the
	// fake membership.
	Platform *Platform
	// Messages and Bytes count the limit messages sent, MemberMessages and
	// MemberBytes the membership messages.
	Messages       int
	Bytes          int
	MemberMessages int
	MemberBytes    int

	// VMs holds all processes started so far, including crashed ones.
	VMs []*VM

	now             time.Duration
	events          eventQueue
	lastIncarnation uint64
	// partitioned reports whether messages from a to b are lost; it may be nil.
	partitioned func(a, b *VM) bool
	lastSeq     int
}

// VM is one process on an entry VM.
type VM struct {
	ID         member.ID
	DataCentre string
	Fleet      *limit.Fleet
	// Alive is false after a crash. Frozen is true while the VM is paused.
	Alive  bool
	Frozen bool
	// Isolated cuts the VM off in the fake membership: its lease is not renewed,
	// and the others see that it doesn't answer. Messages are lost only if
	// Partition is called too.
	Isolated bool
	Leaving  bool
	// Sent and Bytes count the limit messages that the VM sent.
	Sent  int
	Bytes int

	world *World
	// The VM's clock showed clockStart at the virtual time clockStartedAt and
	// runs at clockRate times virtual time.
	clockRate      float64
	clockStart     time.Time
	clockStartedAt time.Duration
	// deferred holds the calls of Do while the VM is frozen.
	deferred []func()
	// counted holds the VMs that this one counts in the fake membership.
	counted map[member.ID]bool
	lease

	// node is the real membership; nil if the fake one is used.
	node *member.Node
	// connected holds the processes from which a membership message came.
	connected map[member.ID]bool
}

// Now returns virtual time since the start.
func (w *World) Now() time.Duration {
	return w.now
}

// At schedules f to run at t, or at once if t has passed.
func (w *World) At(t time.Duration, f func()) {
	w.lastSeq++
	heap.Push(&w.events, event{at: max(t, w.now), seq: w.lastSeq, run: f})
}

// Run runs all events up to a time and sets virtual time to it.
func (w *World) Run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// Start starts a process at an address and returns it. An established process is
// known to the others from the start; any other joins the running fleet.
func (w *World) Start(a netip.AddrPort, dataCentre string, established bool) *VM {
	w.lastIncarnation++
	v := &VM{
		ID:             member.ID{Address: a, Incarnation: w.lastIncarnation},
		Alive:          true,
		DataCentre:     dataCentre,
		world:          w,
		clockRate:      1 + w.maxClockError()*(2*w.Random.Float64()-1),
		clockStart:     epoch.Add(time.Duration(w.Random.Int63n(int64(time.Hour)))),
		clockStartedAt: w.now,
		counted:        map[member.ID]bool{},
	}
	v.Fleet = &limit.Fleet{
		Self:          v.ID,
		MaxClockDrift: w.MaxClockDrift,
		LongTermDrift: w.LongTermDrift,
		MaxRunTime:    w.MaxRunTime,
		Send:          func(s limit.Envelope) { w.send(v, s) },
	}
	w.VMs = append(w.VMs, v)
	if w.Platform != nil {
		w.startMembership(v, established)
	} else {
		w.startFakeMembership(v, established)
	}
	v.Fleet.Set(v.Now(), w.Specs)
	firstTick := time.Duration(w.Random.Int63n(int64(tickInterval)))
	w.At(w.now+firstTick, func() { w.tick(v) })
	if w.Platform == nil {
		w.At(w.now+firstTick, func() { w.updateFakeMembership(v) })
	}
	return v
}

func (w *World) maxClockError() float64 {
	if w.MaxClockError > 0 {
		return w.MaxClockError
	}
	return w.MaxClockDrift
}

// Reaches reports whether a message from v to the process id would be handled now,
// unless lost at random.
func (w *World) Reaches(v *VM, id member.ID) bool {
	o := w.processAt(id.Address)
	return o != nil && o.ID == id && !o.Frozen && (o == v || w.partitioned == nil || !w.partitioned(v, o))
}

// Now returns the time of the VM's own clock.
func (v *VM) Now() time.Time {
	return v.clockStart.Add(time.Duration(float64(v.world.now-v.clockStartedAt) * v.clockRate))
}

// Do runs f now, or once a frozen VM resumes. f is dropped if the VM has crashed.
func (v *VM) Do(f func()) {
	switch {
	case !v.Alive:
	case v.Frozen:
		v.deferred = append(v.deferred, f)
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
			w.tickMembership(v)
		}
		v.Fleet.Tick(v.Now())
	}
	w.At(w.now+tickInterval, func() { w.tick(v) })
}

// Crash ends a process at once.
func (w *World) Crash(v *VM) {
	v.Alive = false
	v.deferred = nil
	if w.Platform != nil {
		w.removeFromList(v)
	}
}

// Freeze pauses a VM, and its clock too if stopClock is set, as when the host
// suspends the VM.
func (w *World) Freeze(v *VM, length time.Duration, stopClock bool) {
	if v.Frozen || !v.Alive {
		return
	}
	v.Frozen = true
	w.At(w.now+length, func() { w.resume(v, length, stopClock) })
}

// resume ends the pause of a VM and runs its deferred calls in random order. The VM
// handles the pause before these calls if its clock stopped, and after them
// otherwise.
func (w *World) resume(v *VM, length time.Duration, stopClock bool) {
	if !v.Alive {
		return
	}
	v.Frozen = false
	if stopClock {
		v.clockStartedAt += length
		v.handlePause()
		v.Fleet.Pause(v.Now())
	}
	w.Random.Shuffle(len(v.deferred), func(i, j int) { v.deferred[i], v.deferred[j] = v.deferred[j], v.deferred[i] })
	deferred := v.deferred
	v.deferred = nil
	for _, f := range deferred {
		v.Do(f)
	}
	if !stopClock {
		v.handlePause()
		v.Fleet.Pause(v.Now())
	}
}

// Partition drops messages from a to b for which f returns true. A nil f ends the
// partition.
func (w *World) Partition(f func(a, b *VM) bool) {
	w.partitioned = f
}

// SetSpecs replaces the limits, at each VM after a random delay up to maxDelay.
func (w *World) SetSpecs(specs []limit.Spec, maxDelay time.Duration) {
	w.Specs = specs
	for _, v := range w.VMs {
		d := time.Duration(w.Random.Int63n(int64(maxDelay) + 1))
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

// eventQueue is a heap of events in the order of time, then of scheduling.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q *eventQueue) Pop() any {
	o := *q
	e := o[len(o)-1]
	*q = o[:len(o)-1]
	return e
}
