package history

import (
	"fmt"
	"net/http"
	"time"
)

// checkKeys finds keys that reached backend servers, and executions of calls
// without a valid key of their workspace. A withdrawn key counts as valid for
// calls that started before it had to stop working.
func checkKeys(x *index) []Violation {
	var vs []Violation
	withdrawn := x.withdrawnKeys()
	for _, e := range x.Executions {
		if e.KeySeen {
			vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("%s received the key of call %s", e.Server, e.ID)})
		}
		c, ok := x.callByID[e.ID]
		if !ok || c.Open {
			continue
		}
		if c.Workspace == "" {
			vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("call %s ran without a key", e.ID)})
		}
		if e.Workspace != "" && e.Workspace != c.Workspace {
			vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("call %s of workspace %s ran for workspace %s", e.ID, c.Workspace, e.Workspace)})
		}
		for _, i := range withdrawn[c.Key] {
			if i.contains(c.Start) && i.contains(e.Start) {
				vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("call %s ran with the withdrawn key of workspace %s", e.ID, c.Workspace)})
			}
		}
	}
	return vs
}

// checkAnswers finds answers with a status below 400 that are incomplete or do
// not match their call.
func checkAnswers(x *index) []Violation {
	var vs []Violation
	for i := range x.Calls {
		c := &x.Calls[i]
		a, ok := c.Outcome.(Answered)
		if !ok || a.Status >= http.StatusBadRequest {
			continue
		}
		switch {
		case !a.Whole:
			vs = append(vs, Violation{At: c.End, Text: fmt.Sprintf("call %s got an incomplete answer that ended without an error", c.ID)})
		case a.ID != c.ID:
			vs = append(vs, Violation{At: c.End, Text: fmt.Sprintf("call %s got the answer to %s", c.ID, a.ID)})
		case a.BodyDigest != c.BodyDigest:
			vs = append(vs, Violation{At: c.End, Text: fmt.Sprintf("call %s reached %s with a different request body", c.ID, a.Server)})
		}
	}
	return vs
}

// checkNotRun finds executions of calls that were refused as not run.
func checkNotRun(x *index) []Violation {
	var vs []Violation
	for i := range x.Calls {
		c := &x.Calls[i]
		r, ok := c.Outcome.(Refused)
		if !ok || !r.NotRun {
			continue
		}
		for _, e := range x.executionsByID[c.ID] {
			vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("call %s was refused as not run but ran on %s", c.ID, e.Server)})
		}
	}
	return vs
}

// checkAtMostOnce finds non-idempotent calls that ran more than once.
func checkAtMostOnce(x *index) []Violation {
	var vs []Violation
	for i := range x.Calls {
		c := &x.Calls[i]
		if es := x.executionsByID[c.ID]; !c.Idempotent && len(es) > 1 {
			vs = append(vs, Violation{At: es[1].Start, Text: fmt.Sprintf("call %s ran %d times, on %s and %s", c.ID, len(es), es[0].Server, es[1].Server)})
		}
	}
	return vs
}

// checkGracefulShutdowns finds calls that were aborted, as isAborted defines it,
// at an entry VM during its graceful shutdown.
func checkGracefulShutdowns(x *index) []Violation {
	var vs []Violation
	for _, e := range x.Events {
		s, ok := e.(GracefulShutdown)
		if !ok {
			continue
		}
		for i := range x.Calls {
			c := &x.Calls[i]
			if c.Entry == s.Entry && c.End.After(s.Start) && c.Start.Before(s.End) && isAborted(c.Outcome) {
				vs = append(vs, Violation{At: c.End, Text: fmt.Sprintf("call %s was aborted during the graceful shutdown of %s: %T%+v", c.ID, c.Entry, c.Outcome, c.Outcome)})
			}
		}
	}
	return vs
}

// isAborted reports whether a call may have been run although its caller got no
// complete answer. Calls that timed out do not count.
func isAborted(o Outcome) bool {
	switch o := o.(type) {
	case Cut:
		return true
	case Failed:
		return !o.NotSent
	case Refused:
		return !o.NotRun
	}
	return false
}

// admission is the interval in which a call took its token of a rate limit:
// from its start until the start of its first execution.
type admission struct {
	start, end time.Time
}

// checkRates finds, for each limit, an interval in which more calls were
// admitted than rate and burst allow, whatever the exact times were at which the
// calls took their tokens.
func checkRates(x *index) []Violation {
	var vs []Violation
	for _, l := range x.Limits {
		as := x.admissions(l)
		if a, n, ok := findOverrun(as, l.Rate, l.Burst); ok {
			vs = append(vs, Violation{At: a.start, Text: fmt.Sprintf("workspace %s got %d calls to %s admitted in %s, with rate %g and burst %g", l.Workspace, n, l.Service, a.end.Sub(a.start), l.Rate, l.Burst)})
		}
	}
	return vs
}

// admissions returns the admissions of the calls that ran and count towards a
// limit.
func (x *index) admissions(l Limit) []admission {
	var as []admission
	for i := range x.Calls {
		c := &x.Calls[i]
		es := x.executionsByID[c.ID]
		if c.Workspace != l.Workspace || c.Service != l.Service || c.Open || len(es) == 0 {
			continue
		}
		a := admission{start: c.Start, end: es[0].Start}
		for _, e := range es {
			if e.Start.Before(a.end) {
				a.end = e.Start
			}
		}
		as = append(as, a)
	}
	return as
}
