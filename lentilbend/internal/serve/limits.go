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
		Logger:     p.root.Component("limits"),
		Table:      p.store.Table,
	})
	n.MaxDelegationTime = limit.MaxDelegationTime
	n.MaxRequestTime = max(member.DefaultMaxRequestTime, limit.DefaultMaxRunTime+limit.MaxDelegationTime)
	n.LatestDeadline = p.limiter.LatestDeadline
	p.services.ColdAllowance = p.limiter.ColdAllowance
	p.services.ProbeAllowance = p.limiter.ProbeAllowance
	p.limiter.Register(p.registry)
	p.rateFilter = &rate.Filter{Limits: p.limiter}
	p.registry.MustRegister(p.rateFilter)
	p.dumpers["Limits"] = p.limiter
}
