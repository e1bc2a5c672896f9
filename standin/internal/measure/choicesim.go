package measure

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"lentilbend.example/internal/load"
)

// epoch is the virtual time at which a simulation starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simEvent is something that happens at a virtual time.
type simEvent struct {
	at  time.Duration
	seq uint64
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

// sim runs events in the order of their virtual time.
type sim struct {
	now    time.Duration
	seq    uint64
	events simEvents
}

func (s *sim) time() time.Time {
	return epoch.Add(s.now)
}

// after calls f when d has passed.
func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + d, seq: s.seq, do: f})
}

// run goes on until no event is left, or until end.
func (s *sim) run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// simServer is a backend server with slots, a first-come queue and a speed.
type simServer struct {
	sim     *sim
	address netip.AddrPort
	centre  int
	slots   int
	speed   float64
	running []*simJob
	queue   []*simJob
	coming  int // sent to it and not yet there
	failing bool
	down    bool
	cold    bool
	lie     simLie
	past    []simPast
	done    int
}

// simJob is one request at a server; left is the work still to do at speed 1.
type simJob struct {
	left    time.Duration
	since   time.Duration
	version int
	end     func(ok bool, r load.Report)
}

// simLie is how a server's reports mislead.
type simLie int

const (
	lieNone simLie = iota
	// lieIdle reports no load whatever there is.
	lieIdle
	// lieStale reports the load of staleBy ago.
	lieStale
	// lieDraining says at times that the server drains.
	lieDraining
)

// staleBy is the age of a stale report.
const staleBy = 500 * time.Millisecond

type simPast struct {
	at     time.Duration
	report load.Report
}

// arrive takes a request.
func (v *simServer) arrive(j *simJob) {
	switch {
	case v.down:
		j.end(false, load.Report{})
	case v.failing:
		v.sim.after(500*time.Microsecond, func() { j.end(false, v.report()) })
	case len(v.running) < v.slots:
		v.begin(j)
	default:
		v.queue = append(v.queue, j)
	}
}

func (v *simServer) begin(j *simJob) {
	v.running = append(v.running, j)
	v.schedule(j)
}

// schedule sets the end of a running job by the present speed.
func (v *simServer) schedule(j *simJob) {
	j.since = v.sim.now
	j.version++
	n := j.version
	v.sim.after(time.Duration(float64(j.left)/v.speed), func() {
		if j.version == n {
			v.finish(j)
		}
	})
}

func (v *simServer) finish(j *simJob) {
	r := v.report()
	v.remove(j)
	v.done++
	if len(v.queue) > 0 {
		n := v.queue[0]
		v.queue = v.queue[1:]
		v.begin(n)
	}
	j.end(true, r)
}

func (v *simServer) remove(j *simJob) {
	for i, o := range v.running {
		if o == j {
			v.running = append(v.running[:i], v.running[i+1:]...)
			return
		}
	}
}

// setSpeed changes the speed of the running work.
func (v *simServer) setSpeed(f float64) {
	for _, j := range v.running {
		j.left -= time.Duration(float64(v.sim.now-j.since) * v.speed)
	}
	v.speed = f
	for _, j := range v.running {
		v.schedule(j)
	}
}

// crash breaks off all work.
func (v *simServer) crash() {
	v.down = true
	js := append(v.running, v.queue...)
	v.running, v.queue = nil, nil
	for _, j := range js {
		j.version++
		j.end(false, load.Report{})
	}
}

// report is what the server says of itself, the request that it answers
// counted in.
func (v *simServer) report() load.Report {
	r := load.Report{Running: len(v.running), Queued: len(v.queue), Slots: v.slots, Cold: v.cold}
	switch v.lie {
	case lieNone:
	case lieIdle:
		return load.Report{Slots: v.slots}
	case lieStale:
		return v.stale(r)
	case lieDraining:
		r.Draining = v.done%50 == 0
	}
	return r
}

func (v *simServer) stale(r load.Report) load.Report {
	v.past = append(v.past, simPast{at: v.sim.now, report: r})
	for len(v.past) > 1 && v.past[1].at <= v.sim.now-staleBy {
		v.past = v.past[1:]
	}
	return v.past[0].report
}

// newRand returns a source of chance for a seed and a purpose.
func newRand(seed, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}

// serverAddress returns the address of server i.
func serverAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 8080)
}
