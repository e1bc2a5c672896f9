package share

import (
	"net/http"
	"time"

	"lentilbend.example/internal/admission"
	"lentilbend.example/internal/fair"

	"lentilbend.example/lentilbend/internal/exchange"
)

// admit passes x on when the gate admits it by priority, or refuses it. It returns false
// if the gate can't decide, since there are too few load reports.
func (f *Filter) admit(x *exchange.Exchange, g *admission.Gate, next exchange.Handler) bool {
	decisions := make(chan admission.Decision, 1)
	q := newAdmissionRequest(x)
	q.Notify = func(d admission.Decision) { decisions <- d }
	t, d := g.Enter(time.Now(), q)
	if _, ok := d.(admission.Waiting); ok {
		f.waited.Add(1)
		select {
		case d = <-decisions:
		case <-x.Request.Context().Done():
			f.callersGone.Add(1)
			g.Leave(time.Now(), t, false)
			refuse(x, fair.Refused{})
			return true
		}
	}
	switch d := d.(type) {
	case admission.Unknown:
		return false
	case admission.Refused:
		refuseAdmission(x, d)
		return true
	case admission.Admitted, admission.Waiting:
	}
	defer func() { g.Leave(time.Now(), t, x.Refused == nil && !x.Aborted) }()
	next.Serve(x)
	return true
}

// newAdmissionRequest returns the description of x for a gate.
func newAdmissionRequest(x *exchange.Exchange) admission.Request {
	q := admission.Request{Priority: x.Priority(), Deadline: x.Deadline}
	if x.Route != nil {
		q.Kind = x.Route.Kind
		if x.Route.Objective > 0 {
			q.WantedBy = x.Received.Add(x.Route.Objective)
		}
	}
	return q
}

func refuseAdmission(x *exchange.Exchange, r admission.Refused) {
	s := exchange.Refusal{
		Status:     http.StatusServiceUnavailable,
		Run:        exchange.NotRun,
		Cause:      exchange.CauseOverload,
		Reason:     "The service is overloaded.",
		RetryAfter: r.RetryAfter,
	}
	switch r.Cause {
	case admission.CauseNoRoom:
		s.Shortage = exchange.NoRoom
	case admission.CauseRoomElsewhere:
		s.Shortage = exchange.RoomElsewhere
	case admission.CauseDeadline:
		s.Shortage = exchange.NoTime
	}
	x.Refuse(s)
}
