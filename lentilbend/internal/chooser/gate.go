package chooser

import (
	"net/http"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/fair"
	"lentilbend.example/internal/load"
)

// Gate returns the gate of a service, or nil when it is not known yet.
func (s *Services) Gate(name string) *fair.Gate {
	v := s.find(name)
	if v == nil {
		return nil
	}
	return v.gate
}

// Tick ends waits that are over, in all services.
func (s *Services) Tick(now time.Time) {
	s.mu.Lock()
	s.sample(now)
	due := false
	s.each(func(_ string, v *service) { due = due || v.due(now) })
	s.mu.Unlock()
	if due {
		s.Refresh(now)
	}
	s.each(func(_ string, v *service) {
		if v.gate.Waiting() > 0 {
			v.gate.Tick(now)
		}
	})
}

// observe tells the gate how a call ended.
func (v *service) observe(now time.Time, elapsed time.Duration, o choice.Outcome) {
	switch o := o.(type) {
	case choice.Answered:
		v.gate.Observe(now, answered(elapsed, o))
	case choice.Shed:
		v.gate.Observe(now, fair.Sample{Shed: true})
	case choice.TimedOut:
		v.gate.Observe(now, fair.Sample{Latency: elapsed})
	case choice.Failed, choice.BadAnswer, choice.Cancelled, choice.NotSent:
	}
}

// answered returns what an answer tells of overload. A quick error says nothing
// of how long work takes.
func answered(elapsed time.Duration, o choice.Answered) fair.Sample {
	var s fair.Sample
	if o.Status < http.StatusInternalServerError {
		s.Latency = elapsed
		if o.FirstByte > 0 {
			s.Latency = o.FirstByte
		}
	}
	if o.Load != nil {
		s = report(s, *o.Load)
	}
	return s
}

func report(s fair.Sample, r load.Report) fair.Sample {
	s.Reported = r.Slots > 0
	s.Queued, s.Slots = r.Queued, r.Slots
	return s
}
