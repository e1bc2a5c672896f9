package history

import (
	"fmt"
)

// measuringWithinBudget sums the probes of all servers of a service.
func measuringWithinBudget(x *index) []Violation {
	var vs []Violation
	t := x.End.Sub(x.Start).Seconds()
	for _, p := range x.ProbeRates {
		n := uint64(0)
		for _, s := range x.Servers {
			if s.Service == p.Service {
				n += s.Counts.Probes
			}
		}
		if most := p.Rate*t + p.Burst; float64(n) > most {
			vs = append(vs, Violation{At: x.End, Text: fmt.Sprintf("service %s got %d probes in %.1f s, at most %.1f are allowed", p.Service, n, t, most)})
		}
	}
	return vs
}

// coldNotOverrun looks for requests beyond a cold server's rate and burst once
// its cold start could be known.
func coldNotOverrun(x *index) []Violation {
	var vs []Violation
	for _, s := range x.Servers {
		if n := s.Counts.ColdOverrun; n > 0 {
			vs = append(vs, Violation{At: x.End, Text: fmt.Sprintf("%s got %d requests more than it bears, of %d in cold start", s.Address, n, s.Counts.ColdArrived)})
		}
	}
	return vs
}

func centreOut(x *index) []Violation {
	return x.newWork(true)
}

// leaving looks at what ran on a server that left, and at what a draining
// server still had to refuse.
func leaving(x *index) []Violation {
	vs := x.newWork(false)
	for _, s := range x.Servers {
		if s.Counts.LastDrain > Grace {
			vs = append(vs, Violation{At: x.End, Text: fmt.Sprintf("%s still got work %s after it began to drain", s.Address, s.Counts.LastDrain)})
		}
	}
	return vs
}

// newWork returns the executions that began on servers that were to get none.
func (x *index) newWork(centre bool) []Violation {
	var vs []Violation
	away := x.away(centre)
	for _, e := range x.Executions {
		for _, s := range away[e.Server] {
			if s.holds(e.Start) {
				vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("%s began call %s %s too late", e.Server, e.ID, e.Start.Sub(s.start))})
			}
		}
	}
	return vs
}
