package measure

import (
	"slices"
	"time"

	"lentilbend.example/internal/load"
)

// unevenServer is a backend server whose pace changes. It processes one request in
// each slot, queues twice as many as it has slots and refuses others.
type unevenServer struct {
	sim       *sim
	pace      float64
	running   []*unevenWork
	queue     []*unevenWork
	inTransit int // requests sent that have not arrived
}

// unevenWork is a request at a server.
type unevenWork struct {
	left      time.Duration // work left at the usual pace, as of updatedAt
	updatedAt time.Duration
	// version is increased to invalidate the scheduled end.
	version int
	onEnd   func(load.Report)
}

// receive handles a request that arrives. It returns false if the server is full.
func (v *unevenServer) receive(j *unevenWork) bool {
	if len(v.running) < unevenSlots {
		v.start(j)
		return true
	}
	if len(v.queue) >= 2*unevenSlots {
		return false
	}
	v.queue = append(v.queue, j)
	return true
}

func (v *unevenServer) start(j *unevenWork) {
	v.running = append(v.running, j)
	v.schedule(j)
}

// schedule schedules the end of a running request at the current pace.
func (v *unevenServer) schedule(j *unevenWork) {
	j.updatedAt = v.sim.now
	j.version++
	n := j.version
	v.sim.after(time.Duration(float64(j.left)*v.pace), func() {
		if j.version == n {
			v.drop(j)
			j.onEnd(v.report())
		}
	})
}

// drop removes a request that ended or was cancelled, and starts the next one.
func (v *unevenServer) drop(j *unevenWork) {
	j.version++
	v.queue = slices.DeleteFunc(v.queue, func(o *unevenWork) bool { return o == j })
	v.running = slices.DeleteFunc(v.running, func(o *unevenWork) bool { return o == j })
	if len(v.running) < unevenSlots && len(v.queue) > 0 {
		n := v.queue[0]
		v.queue = v.queue[1:]
		v.start(n)
	}
}

// setPace changes the pace, also for the requests that are running.
func (v *unevenServer) setPace(f float64) {
	if v.pace == f {
		return
	}
	for _, j := range v.running {
		j.left -= time.Duration(float64(v.sim.now-j.updatedAt) / v.pace)
	}
	v.pace = f
	for _, j := range v.running {
		v.schedule(j)
	}
}

func (v *unevenServer) report() load.Report {
	return load.Report{Running: len(v.running), Queued: len(v.queue), Slots: unevenSlots, Pace: v.pace}
}

// expectedTime returns the time in which a server that gets no more requests answers
// one with the given work.
func (v *unevenServer) expectedTime(work time.Duration) float64 {
	n := len(v.running) + len(v.queue) + v.inTransit
	wait := max(0, n-unevenSlots+1)
	return float64(work) * v.pace * (1 + float64(wait)/unevenSlots)
}
