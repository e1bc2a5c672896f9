package serve

import (
	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"

	"lentilbend.example/lentilbend/internal/filter/rate"
	"lentilbend.example/lentilbend/internal/limiter"
)

// buildLimits creates the fleet-wide limits and connects them with the
// membership and the chooser.
func (p *Process) buildLimits() {
	n := p.fleet.Node
	p.limiter = limiter.New(&limiter.Limiter{
		Self:       n.Self,
		Transport:  p.hub,
		Membership: p.fleet,
		Bus:        p.bus,
		Logger:     p.root.Part("limits"),
		Table:      p.store.Table,
	})
	n.LoanMax = limit.LoanMax
	n.RunningMax = max(member.DefaultRunningMax, limit.DefaultRunMax+limit.LoanMax)
	n.RunningUntil = p.limiter.RunningUntil
	p.services.Cold = p.limiter.Cold
	p.services.Probes = p.limiter.Probes
	p.limiter.Register(p.registry)
	p.rateFilter = &rate.Filter{Limits: p.limiter}
	p.registry.MustRegister(p.rateFilter)
	p.dumpers["Limits"] = p.limiter
}
