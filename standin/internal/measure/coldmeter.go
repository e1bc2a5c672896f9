package measure

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/limit/virtual"
)

// newColdMeter returns the bucket of what the cold server bears, with room for
// the differences of the requests' time on their way.
func newColdMeter() *virtual.Checker {
	return &virtual.Checker{Rate: coldRate, Burst: coldBurst + coldRate*(2*farDelay).Seconds()}
}

// oneBucket is an exact allowance that all VMs share.
type oneBucket map[netip.AddrPort]*virtual.Checker

// Take uses one unit for server when one is free.
func (b oneBucket) Take(now time.Time, server netip.AddrPort) bool {
	c := b[server]
	if c == nil {
		c = &virtual.Checker{Rate: coldRate, Burst: coldBurst}
		b[server] = c
	}
	return c.TryTake(now.Sub(epoch))
}
