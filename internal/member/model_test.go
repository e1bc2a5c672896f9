package member_test

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Times of the model.
const (
	runningMax = 10 * time.Second
	listAge    = 10 * time.Second
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// vm is one process in the model.
type vm struct {
	node  *member.Node
	id    member.ID
	side  int
	clock time.Duration
	rate  float64
	// running is false once the process has ended.
	running bool
	// pausedAt and pausedTo bound a pause; frozen stops the clock meanwhile.
	pausedAt, pausedTo time.Duration
	frozen             bool
	exitAt             time.Duration
	reads              time.Duration
	started            time.Duration
	// ended is when the process took its last request.
	ended time.Duration
	// stood is when the process first had a share.
	stood time.Duration
	// lent holds the parts usable lately, which loans may still carry.
	lent []part
	// endedRunning is the part of running limits that requests of an ended
	// process may still hold.
	endedRunning float64
	share        member.Share
	// heard holds the processes that it got a message of.
	heard map[member.ID]bool
}

type part struct {
	at   time.Duration
	size float64
}

type message struct {
	at   time.Duration
	seq  int
	from member.ID
	to   netip.AddrPort
	m    *peerpb.MemberMessage
}

// version is one state of the platform's list.
type version struct {
	at  time.Duration
	vms []member.VM
}

// world holds VMs, network and platform in virtual time.
type world struct {
	r        *rand.Rand
	now      time.Duration
	vms      []*vm
	queue    []message
	seq      int
	versions []version
	// hidden are addresses that the list wrongly leaves out.
	hidden map[netip.AddrPort]bool
	// lag is the greatest lag with which VMs enter and leave the list.
	lag time.Duration
	// pending are later changes of the list.
	pending []change
	// listed holds since when the list shows a VM.
	listed map[netip.AddrPort]time.Duration
	// frozen are VMs whose reads stay at one version; down those whose reads fail.
	frozenAt map[netip.AddrPort]int
	down     map[netip.AddrPort]bool
	cut      func(from, to *vm) bool
	loss     float64
	ports    uint16
	// promise, age and read are the promise, the greatest age of the list and
	// the time between reads.
	promise, age, readEvery time.Duration
	// step is the time that one step takes.
	step time.Duration
	// opened are processes to which the others have yet to open streams.
	opened []*vm
	// exact takes all chance away: messages come at once, and reads are as old
	// as may be on side 0 and new on others.
	exact bool
	bytes int

	sum, running, lent float64
}

type change struct {
	at      time.Duration
	address netip.AddrPort
	in      bool
}

func newWorld(seed uint64, n, sides int) *world {
	w := &world{
		r: rand.New(rand.NewPCG(seed, seed)), lag: 5 * time.Second, loss: 0.05,
		step: 100 * time.Millisecond, promise: member.DefaultPromise, age: listAge, readEvery: 5 * time.Second,
		hidden: map[netip.AddrPort]bool{}, listed: map[netip.AddrPort]time.Duration{},
		frozenAt: map[netip.AddrPort]int{}, down: map[netip.AddrPort]bool{},
	}
	for i := range n {
		v := w.start(w.address(), i%sides)
		w.listed[v.id.Address] = -time.Hour
	}
	w.publish()
	return w
}

func (w *world) address() netip.AddrPort {
	w.ports++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), w.ports)
}

// start starts a process; the list shows it after a while.
func (w *world) start(a netip.AddrPort, side int) *vm {
	v := &vm{
		id: member.ID{Address: a, Incarnation: uint64(w.now/time.Millisecond)*100 + uint64(len(w.vms)) + 1}, side: side, running: true,
		heard: map[member.ID]bool{}, started: w.now,
		rate:  0.99 + 0.02*w.r.Float64(),
		clock: time.Duration(w.r.Int64N(int64(time.Hour))),
	}
	v.node = &member.Node{
		Self: v.id, Promise: w.promise, ListAge: w.age, LoanMax: member.DefaultLoanMax,
		RunningMax: runningMax, Outage: 10 * time.Minute, Drift: member.DefaultDrift,
		RunningUntil: func(t time.Time) time.Time { return t.Add(runningMax) },
	}
	if i, ok := w.frozenAt[a]; ok && !w.shows(w.versions[i]) {
		delete(w.frozenAt, a)
	}
	w.vms = append(w.vms, v)
	w.opened = append(w.opened, v)
	w.pending = append(w.pending, change{at: w.now + w.delay(w.lag), address: a, in: true})
	return v
}

func (w *world) delay(most time.Duration) time.Duration {
	if w.exact {
		return 0
	}
	return time.Duration(w.r.Int64N(int64(most) + 1))
}

// crash ends a process without a word.
func (w *world) crash(v *vm) {
	v.running = false
	if v.ended == 0 {
		w.end(v)
	}
	w.pending = append(w.pending, change{at: w.now + w.delay(4*w.lag), address: v.id.Address})
}

// end notes what requests of a process may hold after it took its last one.
func (w *world) end(v *vm) {
	v.ended = w.now
	if w.paused(v) {
		v.ended = v.pausedAt
	}
	if v.share.RunningUsable {
		v.endedRunning = 1 / float64(v.share.RunningCount)
	}
	v.share = member.Share{}
}

func (v *vm) local() time.Time { return epoch.Add(v.clock) }

func (w *world) paused(v *vm) bool { return v.pausedTo > w.now }

// send puts messages on the way, some of them twice, late or never.
func (w *world) send(from *vm, ss []member.Send) {
	for _, s := range ss {
		w.bytes += proto.Size(s.Message)
		if w.r.Float64() < w.loss {
			continue
		}
		copies := 1
		if w.r.Float64() < w.loss {
			copies = 2
		}
		for range copies {
			d := w.delay(50 * time.Millisecond)
			if w.r.Float64() < w.loss {
				d = w.delay(3 * time.Second)
			}
			w.seq++
			w.queue = append(w.queue, message{at: w.now + d, seq: w.seq, from: from.id, to: s.To.Address, m: s.Message})
		}
	}
}

func (w *world) at(a netip.AddrPort) *vm {
	for _, v := range w.vms {
		if v.running && v.id.Address == a {
			return v
		}
	}
	return nil
}

// deliver hands over what is due. A paused VM gets its messages on waking.
func (w *world) deliver() {
	var due, rest []message
	for _, m := range w.queue {
		t := w.at(m.to)
		switch {
		case m.at > w.now, t != nil && w.paused(t):
			rest = append(rest, m)
		case t != nil:
			due = append(due, m)
		}
	}
	w.queue = rest
	slices.SortFunc(due, func(a, b message) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
	for _, m := range due {
		t := w.at(m.to)
		i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.id == m.from })
		if w.cut != nil && w.cut(w.vms[i], t) {
			continue
		}
		t.heard[m.from] = true
		w.send(t, t.node.Receive(t.local(), m.from, m.m))
	}
}

// advance runs one step, and returns what was found wrong.
func (w *world) advance() error {
	w.now += w.step
	w.change()
	w.meet()
	for _, v := range w.vms {
		w.wake(v)
	}
	w.deliver()
	for _, v := range w.vms {
		if v.running && !w.paused(v) {
			w.turn(v)
		}
	}
	return w.check()
}

func (w *world) wake(v *vm) {
	if w.paused(v) && v.frozen {
		return
	}
	v.clock += time.Duration(float64(w.step) * v.rate)
	if v.pausedTo > 0 && !w.paused(v) && v.running {
		v.pausedTo = 0
		v.node.Pause(v.local())
	}
}

func (w *world) turn(v *vm) {
	if v.exitAt > 0 && w.now >= v.exitAt {
		w.crash(v)
		return
	}
	if w.now >= v.reads {
		w.read(v)
		v.reads = w.now + w.readEvery*3/4 + w.delay(w.readEvery/2)
	}
	w.send(v, v.node.Tick(v.local()))
}
