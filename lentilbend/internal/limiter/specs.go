package limiter

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/table"
)

// probeBurst is how many probes beyond the rate may be sent at once.
const probeBurst = 2

// Specs returns the limits of a table.
func Specs(t *table.Table) []limit.Spec {
	var ss []limit.Spec
	for i := range t.Services {
		ss = append(ss, service(t, &t.Services[i])...)
	}
	return ss
}

func service(t *table.Table, s *table.Service) []limit.Spec {
	var ss []limit.Spec
	d := longest(t, s.Name)
	for _, r := range s.Rows {
		ss = append(ss,
			limit.Spec{Key: RateKey(s.Name, r.Workspace), Rate: r.Rate, Burst: r.Burst},
			limit.Spec{Key: RunningKey(s.Name, r.Workspace), Permits: r.Limit, MaxHoldTime: d})
	}
	if s.ProbeRate > 0 {
		ss = append(ss, limit.Spec{Key: probeKey(s.Name), Rate: s.ProbeRate, Burst: probeBurst})
	}
	for _, v := range s.Servers {
		ss = append(ss, limit.Spec{Key: coldKey(s.Name, v.Address), Rate: s.ColdRate, Burst: max(1, s.ColdBurst)})
	}
	return ss
}

// longest is the longest time that a request to the service may take.
func longest(t *table.Table, name string) time.Duration {
	var d time.Duration
	for _, r := range t.Routes {
		if r.Service == name {
			d = max(d, r.Timeout)
		}
	}
	return d
}

// RateKey names the rate of a row.
func RateKey(service, workspace string) limit.Key {
	return limit.Key{Kind: limit.Rate, Service: service, Workspace: workspace}
}

// RunningKey names the limit of a row on requests at once.
func RunningKey(service, workspace string) limit.Key {
	return limit.Key{Kind: limit.Running, Service: service, Workspace: workspace}
}

func probeKey(service string) limit.Key {
	return limit.Key{Kind: limit.Probe, Service: service}
}

func coldKey(service string, server netip.AddrPort) limit.Key {
	return limit.Key{Kind: limit.Cold, Service: service, Server: server}
}

// Cold returns the allowance of a service's backend servers in cold start.
func (l *Limiter) Cold(service string) choice.Allowance {
	return allowance{limiter: l, key: func(a netip.AddrPort) limit.Key { return coldKey(service, a) }}
}

// Probes returns the probe budget of a service.
func (l *Limiter) Probes(service string) choice.Allowance {
	return allowance{limiter: l, key: func(netip.AddrPort) limit.Key { return probeKey(service) }}
}

// allowance is a limit as the choice of servers uses it.
type allowance struct {
	limiter *Limiter
	key     func(netip.AddrPort) limit.Key
}

// Take uses a token that is at hand.
func (a allowance) Take(now time.Time, server netip.AddrPort) bool {
	a.limiter.watch(now)
	return a.limiter.fleet.TryTake(now, a.key(server))
}
