package roster

import (
	"time"

	"lentilbend.example/internal/retry"
)

// updateRetries tells the retry budget what it needs to know of the fleet.
func (r *Roster) updateRetries(now time.Time) {
	if r.Retries == nil {
		return
	}
	r.Retries.SetFleet(now, retry.Fleet{
		VMs:         r.FleetSize(),
		Settled:     r.Settled(now),
		Leaving:     r.leaving,
		Coordinates: r.IsCoordinator(),
	})
}

// exchangeRetries adds the retry counts to the report to the coordinator of the highest
// rank, or exchanges retries with the pool on this VM if it is itself that one.
func (r *Roster) exchangeRetries(now time.Time, reports []Envelope) {
	if len(r.coordinators) == 0 {
		return
	}
	to := r.coordinators[0]
	if to == r.Self.Address {
		r.Retries.ExchangeLocally(now)
		return
	}
	for _, e := range reports {
		if v := r.vms[to]; e.To == to && v != nil {
			e.Report.Retries = r.Retries.Report(now, to, r.answersReports(now, v))
			return
		}
	}
}

// answersReports reports whether v answered the reports sent to it, except at most the
// last two.
func (r *Roster) answersReports(now time.Time, v *vm) bool {
	return v.answered > 0 && now.Sub(v.unansweredSince) <= 2*reportInterval
}
