package limiter

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/table"
)

// probeBurst is the burst size of the probe rate limit, in probes.
const probeBurst = 2

// Specs returns the fleet-wide limits that a table defines.
func Specs(t *table.Table) []limit.Spec {
	var ss []limit.Spec
	for i := range t.Services {
		ss = append(ss, serviceSpecs(t, &t.Services[i])...)
	}
	return ss
}

// serviceSpecs returns the limits of a service: a rate and a concurrency limit
// for each row, a rate for probes and, for each server, a rate of requests while
// it is cold.
func serviceSpecs(t *table.Table, s *table.Service) []limit.Spec {
	var ss []limit.Spec
	longest := maxRunTime(t, s.Name)
	for _, r := range s.Rows {
		ss = append(ss,
			limit.Spec{Key: RateKey(s.Name, r.Workspace), Rate: r.Rate, Burst: r.Burst},
			limit.Spec{Key: RunningKey(s.Name, r.Workspace), Permits: r.Limit, MaxHoldTime: longest})
	}
	if s.ProbeRate > 0 {
		ss = append(ss, limit.Spec{Key: probeKey(s.Name), Rate: s.ProbeRate, Burst: probeBurst})
	}
	for _, v := range s.Servers {
		ss = append(ss, limit.Spec{Key: coldKey(s.Name, v.Address), Rate: s.ColdRate, Burst: max(1, s.ColdBurst)})
	}
	return ss
}

// maxRunTime returns the longest timeout of the routes to a service.
func maxRunTime(t *table.Table, name string) time.Duration {
	var d time.Duration
	for _, r := range t.Routes {
		if r.Service == name {
			d = max(d, r.Timeout)
		}
	}
	return d
}

// RateKey returns the key of the rate limit of a workspace at a service.
func RateKey(service, workspace string) limit.Key {
	return limit.Key{Kind: limit.Rate, Service: service, Workspace: workspace}
}

// RunningKey returns the key of the limit on running requests of a workspace at
// a service.
func RunningKey(service, workspace string) limit.Key {
	return limit.Key{Kind: limit.Running, Service: service, Workspace: workspace}
}

func probeKey(service string) limit.Key {
	return limit.Key{Kind: limit.Probe, Service: service}
}

func coldKey(service string, server netip.AddrPort) limit.Key {
	return limit.Key{Kind: limit.Cold, Service: service, Server: server}
}

// ColdAllowance returns the fleet-wide allowance for requests to cold servers
// of a service.
func (l *Limiter) ColdAllowance(service string) choice.Allowance {
	return allowance{limiter: l, key: func(a netip.AddrPort) limit.Key { return coldKey(service, a) }}
}

// ProbeAllowance returns the fleet-wide allowance for probes of a service.
func (l *Limiter) ProbeAllowance(service string) choice.Allowance {
	return allowance{limiter: l, key: func(netip.AddrPort) limit.Key { return probeKey(service) }}
}

// allowance makes a limit available as a choice.Allowance.
type allowance struct {
	limiter *Limiter
	key     func(netip.AddrPort) limit.Key
}

// Take takes a token if one is available without waiting for another VM.
func (a allowance) Take(now time.Time, server netip.AddrPort) bool {
	a.limiter.checkClock(now)
	return a.limiter.fleet.TryTake(now, a.key(server))
}
