package backend

import (
	"time"

	"github.com/go-kit/log/level"

	"lentilbend.example/internal/choice"
)

// logAttempt logs how an attempt ended, unless it was answered and the route's
// objective, if any, was met.
func (f *forwarding) logAttempt(c choice.Call, o choice.Outcome) {
	l := f.forwarder.Logger
	if l == nil {
		return
	}
	now := f.forwarder.now()
	x := f.exchange
	total := now.Sub(x.Received)
	if _, ok := o.(choice.Answered); ok && (x.Route.Objective == 0 || total <= x.Route.Objective) {
		return
	}
	b := c.Basis()
	_ = level.Info(l).Log("msg", "Attempt ended.", "id", x.ID, "outcome", outcomeLabel(o), "service", x.Service.Name,
		"server", c.Server(), "name", c.Name(), "attempt", len(f.tried), "took", now.Sub(f.chosenAt).Round(time.Millisecond),
		"total", total.Round(time.Millisecond), "left", x.Deadline.Sub(now).Round(time.Millisecond),
		"running", b.Running, "queued", b.Queued, "pace", b.Pace, "age", b.Age.Round(time.Millisecond),
		"expected", b.Expected.Round(time.Millisecond), "cold", b.Cold)
}

// outcomeLabel returns the value of the log key "outcome".
func outcomeLabel(o choice.Outcome) string {
	switch o.(type) {
	case choice.Answered:
		return "late"
	case choice.Shed:
		return "shed"
	case choice.Failed:
		return "failed"
	case choice.BadAnswer:
		return "spoiled"
	case choice.TimedOut:
		return "timed-out"
	case choice.Cancelled:
		return "cancelled"
	case choice.NotSent:
		return "not-sent"
	}
	return "unknown"
}

// logSaturated logs a request that is refused since no server can answer it in time.
func (f *forwarding) logSaturated(o saturated) {
	l := f.forwarder.Logger
	if l == nil {
		return
	}
	x := f.exchange
	_ = level.Info(l).Log("msg", "Request was not sent: no server can answer in time.", "id", x.ID, "service", x.Service.Name,
		"attempt", len(f.tried)+1, "expected", o.expected.Round(time.Millisecond), "retryAfter", o.retryAfter.Round(time.Millisecond),
		"total", f.forwarder.now().Sub(x.Received).Round(time.Millisecond))
}
