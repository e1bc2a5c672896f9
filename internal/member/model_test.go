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

const (
	maxRequestTime = 10 * time.Second
	maxListAge     = 10 * time.Second
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// vm is one process in the simulation.
type vm struct {
	node      *member.Node
	id        member.ID
	side      int
	clock     time.Duration
	clockRate float64
	// running is false once the process has ended.
	running bool
	// pausedAt and pausedUntil bound a pause. If clockStopped is set, the
	// process's clock stands still meanwhile.
	pausedAt, pausedUntil time.Duration
	clockStopped          bool
	exitAt                time.Duration
	nextRead              time.Duration
	started               time.Duration
	// endedAt is when the process accepted its last request.
	endedAt time.Duration
	// firstUsable is when the process first might use its share.
	firstUsable time.Duration
	// recentShares holds the shares that were usable recently and may still be
	// in use as delegations.
	recentShares []shareSample
	// endedRunning is the share of limits on running requests that requests of
	// an ended process may still use.
	endedRunning float64
	share        member.Share
	// receivedFrom holds the processes that it received a message from.
	receivedFrom map[member.ID]bool
}

// shareSample is a share of rate limits at a time, as a fraction.
type shareSample struct {
	at       time.Duration
	fraction float64
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

// world simulates VMs, network and platform in virtual time.
type world struct {
	r        *rand.Rand
	now      time.Duration
	vms      []*vm
	queue    []message
	seq      int
	versions []version
	// hidden holds addresses that the list wrongly omits.
	hidden map[netip.AddrPort]bool
	// listDelay is the longest delay with which a VM enters the list. It leaves
	// the list after at most four times as long.
	listDelay time.Duration
	// pending holds scheduled changes of the list.
	pending []listChange
	// listed holds the time since which the list contains a VM.
	listed map[netip.AddrPort]time.Duration
	// staleVersion holds VMs whose reads keep returning one version, by its
	// index; readFails those whose reads fail.
	staleVersion map[netip.AddrPort]int
	readFails    map[netip.AddrPort]bool
	// blocked reports whether messages between two VMs are blocked; nil blocks
	// none.
	blocked func(from, to *vm) bool
	// loss is the probability that a message is lost; it is also that of a
	// duplicate, and that of a delay of up to 3 s.
	loss  float64
	ports uint16
	// readInterval is the mean time between reads of the list by one VM.
	leaseDuration, maxListAge, readInterval time.Duration
	// step is the time that one step takes.
	step time.Duration
	// unconnected holds processes to which the others have yet to open streams.
	unconnected []*vm
	// deterministic removes randomness: messages arrive at once, and the answers
	// to reads have the maximum age on side 0 and are current on other sides.
	deterministic bool
	bytesSent     int

	// sumRate, sumRunning and sumDelegated are the sums over all VMs of the
	// usable shares of rate limits, those of limits on running requests, and
	// the largest shares of rate limits that delegations may still use.
	sumRate, sumRunning, sumDelegated float64
}

// listChange adds a VM to the platform's list or removes it.
type listChange struct {
	at      time.Duration
	address netip.AddrPort
	added   bool
}

func newWorld(seed uint64, n, sides int) *world {
	w := &world{
		r: rand.New(rand.NewPCG(seed, seed)), listDelay: 5 * time.Second, loss: 0.05,
		step: 100 * time.Millisecond, leaseDuration: member.DefaultLeaseDuration, maxListAge: maxListAge, readInterval: 5 * time.Second,
		hidden: map[netip.AddrPort]bool{}, listed: map[netip.AddrPort]time.Duration{},
		staleVersion: map[netip.AddrPort]int{}, readFails: map[netip.AddrPort]bool{},
	}
	for i := range n {
		v := w.start(w.newAddress(), i%sides)
		w.listed[v.id.Address] = -time.Hour
	}
	w.publish()
	return w
}

// newAddress returns an unused address.
func (w *world) newAddress() netip.AddrPort {
	w.ports++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), w.ports)
}

// start starts a process. The list contains it after a delay.
func (w *world) start(a netip.AddrPort, side int) *vm {
	v := &vm{
		id: member.ID{Address: a, Incarnation: uint64(w.now/time.Millisecond)*100 + uint64(len(w.vms)) + 1}, side: side, running: true,
		receivedFrom: map[member.ID]bool{}, started: w.now,
		clockRate: 0.99 + 0.02*w.r.Float64(),
		clock:     time.Duration(w.r.Int64N(int64(time.Hour))),
	}
	v.node = &member.Node{
		Self: v.id, LeaseDuration: w.leaseDuration, MaxListAge: w.maxListAge, MaxDelegationTime: member.DefaultMaxDelegationTime,
		MaxRequestTime: maxRequestTime, MaxListOutage: 10 * time.Minute, MaxClockDrift: member.DefaultMaxClockDrift,
		LatestDeadline: func(t time.Time) time.Time { return t.Add(maxRequestTime) },
	}
	if i, ok := w.staleVersion[a]; ok && !w.containsShareHolder(w.versions[i]) {
		delete(w.staleVersion, a)
	}
	w.vms = append(w.vms, v)
	w.unconnected = append(w.unconnected, v)
	w.pending = append(w.pending, listChange{at: w.now + w.randomDelay(w.listDelay), address: a, added: true})
	return v
}

// randomDelay returns a random time up to limit, or 0 in a deterministic world.
func (w *world) randomDelay(limit time.Duration) time.Duration {
	if w.deterministic {
		return 0
	}
	return time.Duration(w.r.Int64N(int64(limit) + 1))
}

// crash ends a process without a release message.
func (w *world) crash(v *vm) {
	v.running = false
	if v.endedAt == 0 {
		w.recordEnd(v)
	}
	w.pending = append(w.pending, listChange{at: w.now + w.randomDelay(4*w.listDelay), address: v.id.Address})
}

// recordEnd records the share of limits on running requests that a process may
// still use after it accepted its last request.
func (w *world) recordEnd(v *vm) {
	v.endedAt = w.now
	if w.paused(v) {
		v.endedAt = v.pausedAt
	}
	if v.share.RunningUsable {
		v.endedRunning = 1 / float64(v.share.RunningCount)
	}
	v.share = member.Share{}
}

// localTime returns the time by v's clock.
func (v *vm) localTime() time.Time { return epoch.Add(v.clock) }

func (w *world) paused(v *vm) bool { return v.pausedUntil > w.now }

// send sends messages, of which some are duplicated, delayed or lost.
func (w *world) send(from *vm, ss []member.Envelope) {
	for _, s := range ss {
		w.bytesSent += proto.Size(s.Message)
		if w.r.Float64() < w.loss {
			continue
		}
		copies := 1
		if w.r.Float64() < w.loss {
			copies = 2
		}
		for range copies {
			d := w.randomDelay(50 * time.Millisecond)
			if w.r.Float64() < w.loss {
				d = w.randomDelay(3 * time.Second)
			}
			w.seq++
			w.queue = append(w.queue, message{at: w.now + d, seq: w.seq, from: from.id, to: s.To.Address, m: s.Message})
		}
	}
}

// runningAt returns the process that runs at an address, or nil.
func (w *world) runningAt(a netip.AddrPort) *vm {
	for _, v := range w.vms {
		if v.running && v.id.Address == a {
			return v
		}
	}
	return nil
}

// deliver delivers messages that are due. A paused VM receives its messages when
// it resumes.
func (w *world) deliver() {
	var due, rest []message
	for _, m := range w.queue {
		t := w.runningAt(m.to)
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
		t := w.runningAt(m.to)
		i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.id == m.from })
		if w.blocked != nil && w.blocked(w.vms[i], t) {
			continue
		}
		t.receivedFrom[m.from] = true
		w.send(t, t.node.Receive(t.localTime(), m.from, m.m))
	}
}

// advance runs one step, and returns an error if an invariant is violated.
func (w *world) advance() error {
	w.now += w.step
	w.updateList()
	w.openStreams()
	for _, v := range w.vms {
		w.advanceClock(v)
	}
	w.deliver()
	for _, v := range w.vms {
		if v.running && !w.paused(v) {
			w.runProcess(v)
		}
	}
	return w.checkShares()
}

// advanceClock advances a VM's clock, and ends its pause when due.
func (w *world) advanceClock(v *vm) {
	if w.paused(v) && v.clockStopped {
		return
	}
	v.clock += time.Duration(float64(w.step) * v.clockRate)
	if v.pausedUntil > 0 && !w.paused(v) && v.running {
		v.pausedUntil = 0
		v.node.HandlePause(v.localTime())
	}
}

// runProcess runs a VM for one step.
func (w *world) runProcess(v *vm) {
	if v.exitAt > 0 && w.now >= v.exitAt {
		w.crash(v)
		return
	}
	if w.now >= v.nextRead {
		w.readList(v)
		v.nextRead = w.now + w.readInterval*3/4 + w.randomDelay(w.readInterval/2)
	}
	w.send(v, v.node.Tick(v.localTime()))
}
