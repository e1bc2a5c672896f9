package serve

import (
	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"

	"lentilbend.example/lentilbend/internal/filter/rate"
	"lentilbend.example/lentilbend/internal/limiter"
)

// buildLimits makes the fleet-wide limits and connects them with the
// membership and the choice of servers.
func (p *Process) buildLimits() {
	n := p.fleet.Node
	p.limits = limiter.New(&limiter.Limiter{
		Self:       n.Self,
		Transport:  p.hub,
		Membership: p.fleet,
		Bus:        p.bus,
		Logger:     p.root.Part("limits"),
		Table:      p.store.Table,
	})
	n.MaxDelegationTime = limit.MaxDelegationTime
	n.MaxRequestTime = max(member.DefaultMaxRequestTime, limit.DefaultMaxRunTime+limit.MaxDelegationTime)
	n.LatestDeadline = p.limits.LatestDeadline
	p.services.ColdAllowance = p.limits.ColdAllowance
	p.services.ProbeAllowance = p.limits.ProbeAllowance
	p.limits.Register(p.registry)
	p.rate = &rate.Filter{Limits: p.limits}
	p.registry.MustRegister(p.rate)
	p.parts["Limits"] = p.limits
}
