package measure

import (
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

// flight is a request on its way; end is called once.
type flight struct {
	job   *simJob
	ended bool
	end   func(o choice.Outcome)
}

// send gives a request to the server that its VM chooses.
func (b *choiceBench) send(a arrival) {
	if b.oracle != nil {
		b.deliver(a, b.oracle.choose(a.vm%choiceCentres), func(choice.Outcome) {})
		return
	}
	c, ok := b.sets[a.vm].Choose(b.sim.time(), a.kind, nil)
	if !ok {
		b.results.add(a, 0, false)
		return
	}
	b.deliver(a, b.byName[c.Server()], func(o choice.Outcome) { c.End(b.sim.time(), o) })
}

// deliver carries a request to v and its answer back, and gives it up at its
// deadline.
func (b *choiceBench) deliver(a arrival, v *simServer, end func(o choice.Outcome)) {
	d := delay(a.vm%choiceCentres, v.centre)
	sent := b.sim.now
	v.coming++
	f := &flight{job: &simJob{left: a.work}}
	f.end = func(o choice.Outcome) {
		if f.ended {
			return
		}
		f.ended = true
		n, ok := o.(choice.Answered)
		b.results.add(a, b.sim.now-a.at, ok && n.Status == 200)
		end(o)
	}
	f.job.end = func(ok bool, r load.Report) {
		b.sim.after(d, func() { f.end(outcome(ok, r, b.sim.now-sent)) })
	}
	b.sim.after(d, func() {
		v.coming--
		v.arrive(f.job)
	})
	b.sim.after(choiceDeadline, func() {
		if !f.ended {
			f.end(choice.TimedOut{})
			b.sim.after(d, func() { v.cancel(f.job) })
		}
	})
}

func outcome(ok bool, r load.Report, d time.Duration) choice.Outcome {
	if !ok {
		return choice.Answered{Status: 500, Load: &r, FirstByte: d}
	}
	return choice.Answered{Status: 200, Load: &r, FirstByte: d}
}

// cancel ends the work on a request whose caller gave up.
func (v *simServer) cancel(j *simJob) {
	j.version++
	for i, o := range v.queue {
		if o == j {
			v.queue = append(v.queue[:i], v.queue[i+1:]...)
			return
		}
	}
	n := len(v.running)
	v.remove(j)
	if len(v.running) < n && len(v.queue) > 0 {
		o := v.queue[0]
		v.queue = v.queue[1:]
		v.begin(o)
	}
}
