package history

import (
	"fmt"
	"net/http"
	"time"
)

// onlyOwnWorkspace looks for keys at backend servers, and for executions of
// calls without a key in force.
func onlyOwnWorkspace(x *index) []Violation {
	var vs []Violation
	withdrawn := x.withdrawn()
	for _, e := range x.Executions {
		if e.KeySeen {
			vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("%s saw the key of call %s", e.Server, e.ID)})
		}
		c, ok := x.calls[e.ID]
		if !ok || c.Open {
			continue
		}
		if c.Workspace == "" {
			vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("call %s ran without a key", e.ID)})
		}
		if e.Workspace != "" && e.Workspace != c.Workspace {
			vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("call %s of %s ran for %s", e.ID, c.Workspace, e.Workspace)})
		}
		for _, s := range withdrawn[c.Key] {
			if s.holds(c.Start) && s.holds(e.Start) {
				vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("call %s ran with the withdrawn key of %s", e.ID, c.Workspace)})
			}
		}
	}
	return vs
}

// wholeOwnAnswer compares each good answer with its call.
func wholeOwnAnswer(x *index) []Violation {
	var vs []Violation
	for i := range x.Calls {
		c := &x.Calls[i]
		a, ok := c.Outcome.(Answered)
		if !ok || a.Status >= http.StatusBadRequest {
			continue
		}
		switch {
		case !a.Whole:
			vs = append(vs, Violation{At: c.End, Text: fmt.Sprintf("call %s got a part of an answer as a whole one", c.ID)})
		case a.ID != c.ID:
			vs = append(vs, Violation{At: c.End, Text: fmt.Sprintf("call %s got the answer to %s", c.ID, a.ID)})
		case a.BodyDigest != c.BodyDigest:
			vs = append(vs, Violation{At: c.End, Text: fmt.Sprintf("call %s reached %s with another body", c.ID, a.Server)})
		}
	}
	return vs
}

// notRunIsTrue looks for executions of calls that were refused as not run.
func notRunIsTrue(x *index) []Violation {
	var vs []Violation
	for i := range x.Calls {
		c := &x.Calls[i]
		r, ok := c.Outcome.(Refused)
		if !ok || !r.NotRun {
			continue
		}
		for _, e := range x.runs[c.ID] {
			vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("call %s was refused as not run and ran on %s", c.ID, e.Server)})
		}
	}
	return vs
}

// atMostOnce counts the executions of calls that are not idempotent.
func atMostOnce(x *index) []Violation {
	var vs []Violation
	for i := range x.Calls {
		c := &x.Calls[i]
		if es := x.runs[c.ID]; !c.Idempotent && len(es) > 1 {
			vs = append(vs, Violation{At: es[1].Start, Text: fmt.Sprintf("call %s ran %d times, on %s and %s", c.ID, len(es), es[0].Server, es[1].Server)})
		}
	}
	return vs
}

// plannedStop looks for calls that broke off, or whose fate is unknown, at an
// entry VM during its planned stop.
func plannedStop(x *index) []Violation {
	var vs []Violation
	for _, e := range x.Events {
		s, ok := e.(Stopped)
		if !ok {
			continue
		}
		for i := range x.Calls {
			c := &x.Calls[i]
			if c.Entry == s.Entry && c.End.After(s.Start) && c.Start.Before(s.End) && brokeOff(c.Outcome) {
				vs = append(vs, Violation{At: c.End, Text: fmt.Sprintf("call %s broke off at %s: %T%+v", c.ID, c.Entry, c.Outcome, c.Outcome)})
			}
		}
	}
	return vs
}

func brokeOff(o Outcome) bool {
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

// admission is the time in which a call took its token.
type admission struct {
	start, end time.Time
}

// withinRate looks for an interval in which more calls were let in than rate
// and burst allow, whatever the exact times of the tokens were.
func withinRate(x *index) []Violation {
	var vs []Violation
	for _, l := range x.Limits {
		as := x.admissions(l)
		if a, n, ok := overrun(as, l.Rate, l.Burst); ok {
			vs = append(vs, Violation{At: a.start, Text: fmt.Sprintf("%s got %d calls of %s in %s, rate %g, burst %g", l.Workspace, n, l.Service, a.end.Sub(a.start), l.Rate, l.Burst)})
		}
	}
	return vs
}

// admissions returns the calls of a workspace to a service that ran, ordered
// by their end.
func (x *index) admissions(l Limit) []admission {
	var as []admission
	for i := range x.Calls {
		c := &x.Calls[i]
		es := x.runs[c.ID]
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
