package soak

import (
	"net/http"
	"slices"
	"time"

	"lentilbend.example/platform/platformtest"
)

// The users' rule on rates: what may run of a workspace in a window.
const (
	window = 5 * time.Second
	most   = (rate*5+rate)*1.25 + 20
)

// check compares what callers saw with what the servers ran.
func (s *Soak) check() {
	runs := map[string][]string{}
	bySignature := map[string]*platformtest.Server{}
	var north []time.Time
	for _, v := range s.servers {
		bySignature[v.Signature()] = v
		for _, r := range v.Runs() {
			runs[r.ID] = append(runs[r.ID], v.Name)
			if r.Workspace == "north" {
				north = append(north, r.At)
			}
		}
	}
	for _, c := range s.calls {
		s.checkCall(c, runs[c.id], bySignature[c.signature])
	}
	s.checkRate(north)
}

func (s *Soak) checkCall(c call, ran []string, v *platformtest.Server) {
	if c.unsafe && len(ran) > 1 {
		s.broken("%s ran at %v", c.id, ran)
	}
	switch c.status {
	case http.StatusOK:
		if v == nil || c.echo != c.id || c.body != v.Body(c.id) {
			s.broken("%s got the answer %q of %q to %q", c.id, c.body, c.signature, c.echo)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		if c.key == platformtest.SouthKey {
			s.broken("%s got %d with a key in force", c.id, c.status)
		}
		fallthrough
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(ran) > 0 {
			s.broken("%s got %d and ran at %v", c.id, c.status, ran)
		}
	}
}

// checkRate looks for a window in which more of the limited workspace ran than
// may.
func (s *Soak) checkRate(at []time.Time) {
	slices.SortFunc(at, time.Time.Compare)
	j, greatest, from := 0, 0, 0
	for i := range at {
		for at[i].Sub(at[j]) >= window {
			j++
		}
		if n := i - j + 1; n > greatest {
			greatest, from = n, j
		}
	}
	if greatest == 0 {
		return
	}
	s.tell("%d requests of a workspace ran in %s from %s; %v may", greatest, window, at[from].Sub(s.began), most)
	if float64(greatest) > most {
		s.broken("%d requests of a workspace ran in %s from %s; %v may", greatest, window, at[from].Sub(s.began), most)
	}
}
