package soak

import (
	"net/http"
	"slices"
	"time"

	"lentilbend.example/platform/platformtest"
)

// The users' rule on rates: in any window, at most
// (rate*window + burst) * (1 + RateOverage) + RateTolerance requests of a
// workspace may run. The burst of "north" equals its rate; fleetSettings has the
// other two values.
const (
	rateWindow       = 5 * time.Second
	maxRunsPerWindow = (northRate*5+northRate)*1.25 + 20
)

// checkResults compares what callers saw with what the servers ran.
func (s *Soak) checkResults() {
	serversByID := map[string][]string{}
	bySignature := map[string]*platformtest.Server{}
	var north []time.Time
	for _, v := range s.servers {
		bySignature[v.Signature()] = v
		for _, r := range v.Runs() {
			serversByID[r.ID] = append(serversByID[r.ID], v.Name)
			if r.Workspace == "north" {
				north = append(north, r.At)
			}
		}
	}
	for _, c := range s.calls {
		s.checkCall(c, serversByID[c.id], bySignature[c.signature])
	}
	s.checkRate(north)
}

// checkCall checks one call. ranOn holds the names of the servers that ran it, once
// for each run, and v is the server whose signature the answer has, or nil.
func (s *Soak) checkCall(c call, ranOn []string, v *platformtest.Server) {
	if c.atMostOnce && len(ranOn) > 1 {
		s.addViolation("at-most-once request %s ran more than once, on servers %v", c.id, ranOn)
	}
	switch c.status {
	case http.StatusOK:
		if v == nil || c.echoedID != c.id || c.body != v.Body(c.id) {
			s.addViolation("request %s: wrong answer: body %q, server signature %q, echoed request ID %q", c.id, c.body, c.signature, c.echoedID)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		if c.key == platformtest.SouthKey {
			s.addViolation("request %s: status %d although its key is valid", c.id, c.status)
		}
		fallthrough
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(ranOn) > 0 {
			s.addViolation("request %s: refused with status %d but ran on %v", c.id, c.status, ranOn)
		}
	}
}

// checkRate adds a violation if more requests of the rate-limited workspace were
// started within rateWindow than allowed. runTimes holds the start of each run, in
// any order.
func (s *Soak) checkRate(runTimes []time.Time) {
	slices.SortFunc(runTimes, time.Time.Compare)
	first, maxRuns, maxFirst := 0, 0, 0
	for i := range runTimes {
		for runTimes[i].Sub(runTimes[first]) >= rateWindow {
			first++
		}
		if n := i - first + 1; n > maxRuns {
			maxRuns, maxFirst = n, first
		}
	}
	if maxRuns == 0 {
		return
	}
	s.logf("%d requests of the rate-limited workspace ran within %s, starting at %s; allowed are %v", maxRuns, rateWindow, runTimes[maxFirst].Sub(s.start), maxRunsPerWindow)
	if float64(maxRuns) > maxRunsPerWindow {
		s.addViolation("%d requests of the rate-limited workspace ran within %s, starting at %s; allowed are %v", maxRuns, rateWindow, runTimes[maxFirst].Sub(s.start), maxRunsPerWindow)
	}
}
