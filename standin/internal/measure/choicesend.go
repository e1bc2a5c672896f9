package measure

import (
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

// inFlightRequest is a request whose VM waits for the answer. Calls of end after
// the first one do nothing.
type inFlightRequest struct {
	request *simRequest
	ended   bool
	end     func(o choice.Outcome)
}

// sendRequest sends a request to the server that its VM chooses.
func (b *choiceSimulation) sendRequest(a arrival) {
	if b.oracle != nil {
		b.deliver(a, b.oracle.choose(a.vm%choiceDataCentres), func(choice.Outcome) {})
		return
	}
	c, ok := b.sets[a.vm].Choose(b.sim.time(), a.kind, nil)
	if !ok {
		b.results.add(a, 0, false)
		return
	}
	b.deliver(a, b.byName[c.Server()], func(o choice.Outcome) { c.End(b.sim.time(), o) })
}

// deliver simulates the transfer of a request to v and of its answer back. It
// cancels the request after choiceDeadline.
func (b *choiceSimulation) deliver(a arrival, v *simServer, end func(o choice.Outcome)) {
	d := networkDelay(a.vm%choiceDataCentres, v.centre)
	sent := b.sim.now
	v.inTransit++
	f := &inFlightRequest{request: &simRequest{remaining: a.work}}
	f.end = func(o choice.Outcome) {
		if f.ended {
			return
		}
		f.ended = true
		n, ok := o.(choice.Answered)
		b.results.add(a, b.sim.now-a.at, ok && n.Status == 200)
		end(o)
	}
	f.request.onEnd = func(ok bool, r load.Report) {
		b.sim.after(d, func() { f.end(answerOutcome(ok, r, b.sim.now-sent)) })
	}
	b.sim.after(d, func() {
		v.inTransit--
		v.receive(f.request)
	})
	b.sim.after(choiceDeadline, func() {
		if !f.ended {
			f.end(choice.TimedOut{})
			b.sim.after(d, func() { v.cancel(f.request) })
		}
	})
}

func answerOutcome(ok bool, r load.Report, d time.Duration) choice.Outcome {
	if !ok {
		return choice.Answered{Status: 500, Load: &r, FirstByte: d}
	}
	return choice.Answered{Status: 200, Load: &r, FirstByte: d}
}

// cancel stops processing a request that timed out at its VM.
func (v *simServer) cancel(j *simRequest) {
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
		v.start(o)
	}
}
