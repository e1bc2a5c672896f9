package chooser

import (
	"net/http"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/fair"
	"lentilbend.example/internal/load"
)

// Gate returns the admission gate of a service, or nil if the service is not
// known yet.
func (s *Services) Gate(name string) *fair.Gate {
	v := s.find(name)
	if v == nil {
		return nil
	}
	return v.gate
}

// Tick checks whether the platform is unreachable, drops retained servers whose
// time is over, and refuses requests that have waited too long at a gate.
func (s *Services) Tick(now time.Time) {
	s.mu.Lock()
	s.checkPlatform(now)
	expired := s.entryVMsChanged(now)
	s.each(func(_ string, v *service) { expired = expired || v.retentionExpired(now) })
	s.mu.Unlock()
	if expired {
		s.Refresh(now)
	}
	s.each(func(_ string, v *service) {
		if v.gate.Waiting() > 0 {
			v.gate.Tick(now)
		}
		if v.admission.Waiting() > 0 {
			v.admission.Tick(now)
		}
	})
}

// observe passes the outcome of a call to the admission gate, if requests pass it. It
// would otherwise lower a limit that nothing uses.
func (v *service) observe(now time.Time, elapsed time.Duration, o choice.Outcome) {
	if v.bypassesGate() {
		return
	}
	switch o := o.(type) {
	case choice.Answered:
		v.gate.Observe(now, answerSample(elapsed, o))
	case choice.Shed:
		v.gate.Observe(now, fair.Sample{Shed: true})
	case choice.TimedOut:
		v.gate.Observe(now, fair.Sample{Latency: elapsed})
	case choice.Failed, choice.BadAnswer, choice.Cancelled, choice.NotSent:
	}
}

// answerSample returns the sample of an answer for the gate. The latency of an
// answer with a 5xx status is left out, since a quick error does not show how
// long work takes.
func answerSample(elapsed time.Duration, o choice.Answered) fair.Sample {
	var s fair.Sample
	if o.Status < http.StatusInternalServerError {
		s.Latency = elapsed
		if o.FirstByte > 0 {
			s.Latency = o.FirstByte
		}
	}
	if o.Load != nil {
		s = addReport(s, *o.Load)
	}
	return s
}

// addReport adds the load report r of a server to a sample.
func addReport(s fair.Sample, r load.Report) fair.Sample {
	s.Reported = r.Slots > 0
	s.Queued, s.Slots = r.Queued, r.Slots
	return s
}
