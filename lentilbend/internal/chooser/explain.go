package chooser

import (
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/fair"
)

// Explain returns which servers of a service could get a request now, and what the
// service's gate would do with it. It returns false if the service is not known yet. It
// changes nothing and sends no probe.
func (s *Services) Explain(now time.Time, service string, r choice.Request) (choice.Explanation, fair.Explanation, bool) {
	v := s.find(service)
	if v == nil {
		return choice.Explanation{}, fair.Explanation{}, false
	}
	return v.set.Explain(now, r), v.gate.Explain(), true
}

// ProbesBefore reports whether servers without a current load report are probed just
// before a choice, so that the choice may know more than an explanation.
func (s *Services) ProbesBefore() bool {
	return s.ProbeCandidates != nil
}
