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
		Logger:     p.root.Component("limits"),
		Table:      p.store.Table,
	})
	n.MaxDelegationTime = limit.MaxDelegationTTL
	n.MaxRequestTime = max(member.DefaultMaxRequestTime, limit.DefaultMaxRunTime+limit.MaxDelegationTTL)
	n.LatestDeadline = p.limits.RunningUntil
	p.services.Cold = p.limits.Cold
	p.services.Probes = p.limits.Probes
	p.limits.Register(p.registry)
	p.rate = &rate.Filter{Limits: p.limits}
	p.registry.MustRegister(p.rate)
	p.parts["Limits"] = p.limits
}
