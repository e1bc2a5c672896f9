package history

import (
	"fmt"
)

// checkProbeBudget finds services whose servers together got more probes than
// the rate and burst of the service allow.
func checkProbeBudget(x *index) []Violation {
	var vs []Violation
	t := x.End.Sub(x.Start).Seconds()
	for _, p := range x.ProbeRates {
		n := uint64(0)
		for _, s := range x.Servers {
			if s.Service == p.Service {
				n += s.Counts.Probes
			}
		}
		if budget := p.Rate*t + p.Burst; float64(n) > budget {
			vs = append(vs, Violation{At: x.End, Text: fmt.Sprintf("service %s got %d probes in %.1f s, but the budget is %.1f", p.Service, n, t, budget)})
		}
	}
	return vs
}

// checkColdStarts finds cold servers that got requests beyond the rate and burst
// that they can serve, once all VMs could know of the cold start.
func checkColdStarts(x *index) []Violation {
	var vs []Violation
	for _, s := range x.Servers {
		if n := s.Counts.ColdOverrun; n > 0 {
			vs = append(vs, Violation{At: x.End, Text: fmt.Sprintf("%s got %d requests above its cold start rate and burst, of %d requests during cold starts", s.Address, n, s.Counts.ColdArrived)})
		}
	}
	return vs
}

// checkDataCentreOut finds executions on servers whose data centre had been
// taken out.
func checkDataCentreOut(x *index) []Violation {
	return x.newWork(true)
}

// checkLeavingServers finds executions on servers that were withdrawn, and
// requests that arrived too long after a server began to drain.
func checkLeavingServers(x *index) []Violation {
	vs := x.newWork(false)
	for _, s := range x.Servers {
		if s.Counts.LastDrain > MaxWithdrawalDelay {
			vs = append(vs, Violation{At: x.End, Text: fmt.Sprintf("%s still got requests %s after it began to drain", s.Address, s.Counts.LastDrain)})
		}
	}
	return vs
}

// newWork returns a violation for each execution that started on a withdrawn
// server; for dataCentreOut see withdrawnServers.
func (x *index) newWork(dataCentreOut bool) []Violation {
	var vs []Violation
	withdrawn := x.withdrawnServers(dataCentreOut)
	for _, e := range x.Executions {
		for _, i := range withdrawn[e.Server] {
			if i.contains(e.Start) {
				vs = append(vs, Violation{At: e.Start, Text: fmt.Sprintf("%s started call %s %s after the last time allowed for new work", e.Server, e.ID, e.Start.Sub(i.start))})
			}
		}
	}
	return vs
}
