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

// simEvent is a call at a virtual time. Events at the same time run in the order
// of their sequence numbers.
type simEvent struct {
	at  time.Duration
	seq uint64
	run func()
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

// sim is a discrete-event simulator: it runs events in the order of their virtual
// time.
type sim struct {
	now    time.Duration
	seq    uint64
	events simEvents
}

func (s *sim) time() time.Time {
	return epoch.Add(s.now)
}

// after schedules a call of f after the duration d.
func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + d, seq: s.seq, run: f})
}

// run runs the events up to the virtual time end.
func (s *sim) run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

// simServer is a simulated backend server. It processes one request in each slot
// at a time and queues further ones in order of arrival.
type simServer struct {
	sim         *sim
	address     netip.AddrPort
	centre      int
	slots       int
	speed       float64 // 1 is the normal speed
	running     []*simRequest
	queue       []*simRequest
	inTransit   int  // requests sent to the server that have not arrived yet
	failing     bool // answers each request with an error after 500 µs
	down        bool // refuses connections
	cold        bool
	reportMode  reportMode
	pastReports []pastReport // with reportsStale, the oldest first
	completed   int
}

// simRequest is a request at a server.
type simRequest struct {
	remaining time.Duration // service time left at speed 1, as of updatedAt
	updatedAt time.Duration
	// version is increased to invalidate the scheduled end of the request.
	version int
	onEnd   func(ok bool, r load.Report)
}

// reportMode is whether and how a server's load reports mislead.
type reportMode int

const (
	reportsAccurate reportMode = iota
	// reportsIdle always reports no load.
	reportsIdle
	// reportsStale reports the load of staleReportAge ago.
	reportsStale
	// reportsDraining wrongly reports a drain in about one of 50 reports.
	reportsDraining
)

const staleReportAge = 500 * time.Millisecond

type pastReport struct {
	at     time.Duration
	report load.Report
}

// receive handles a request that arrives at the server.
func (v *simServer) receive(j *simRequest) {
	switch {
	case v.down:
		j.onEnd(false, load.Report{})
	case v.failing:
		v.sim.after(500*time.Microsecond, func() { j.onEnd(false, v.report()) })
	case len(v.running) < v.slots:
		v.start(j)
	default:
		v.queue = append(v.queue, j)
	}
}

// start begins to process a request in a free slot.
func (v *simServer) start(j *simRequest) {
	v.running = append(v.running, j)
	v.schedule(j)
}

// schedule schedules the end of a running request at the current speed.
func (v *simServer) schedule(j *simRequest) {
	j.updatedAt = v.sim.now
	j.version++
	n := j.version
	v.sim.after(time.Duration(float64(j.remaining)/v.speed), func() {
		if j.version == n {
			v.finish(j)
		}
	})
}

// finish answers a request and starts the next one in the queue.
func (v *simServer) finish(j *simRequest) {
	r := v.report()
	v.remove(j)
	v.completed++
	if len(v.queue) > 0 {
		n := v.queue[0]
		v.queue = v.queue[1:]
		v.start(n)
	}
	j.onEnd(true, r)
}

func (v *simServer) remove(j *simRequest) {
	for i, o := range v.running {
		if o == j {
			v.running = append(v.running[:i], v.running[i+1:]...)
			return
		}
	}
}

// setSpeed changes the speed, also for the requests that are running.
func (v *simServer) setSpeed(f float64) {
	for _, j := range v.running {
		j.remaining -= time.Duration(float64(v.sim.now-j.updatedAt) * v.speed)
	}
	v.speed = f
	for _, j := range v.running {
		v.schedule(j)
	}
}

// crash takes the server down and fails its running and queued requests.
func (v *simServer) crash() {
	v.down = true
	js := append(v.running, v.queue...)
	v.running, v.queue = nil, nil
	for _, j := range js {
		j.version++
		j.onEnd(false, load.Report{})
	}
}

// report returns the server's load report. The request that is being answered
// counts as running.
func (v *simServer) report() load.Report {
	r := load.Report{Running: len(v.running), Queued: len(v.queue), Slots: v.slots, Cold: v.cold}
	switch v.reportMode {
	case reportsAccurate:
	case reportsIdle:
		return load.Report{Slots: v.slots}
	case reportsStale:
		return v.staleReport(r)
	case reportsDraining:
		r.Draining = v.completed%50 == 0
	}
	return r
}

// staleReport records the report r and returns the newest one that is at least
// staleReportAge old, or the oldest if none is.
func (v *simServer) staleReport(r load.Report) load.Report {
	v.pastReports = append(v.pastReports, pastReport{at: v.sim.now, report: r})
	for len(v.pastReports) > 1 && v.pastReports[1].at <= v.sim.now-staleReportAge {
		v.pastReports = v.pastReports[1:]
	}
	return v.pastReports[0].report
}

// newRand returns a random number generator with an independent sequence for each
// seed and purpose.
func newRand(seed, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}

// serverAddress returns the address of server or VM i.
func serverAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 8080)
}
