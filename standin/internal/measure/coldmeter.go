package measure

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/limit/virtual"
)

// newColdChecker returns a checker of the rate and burst that the cold server
// bears. Its burst has room for the differences in network delay.
func newColdChecker() *virtual.Checker {
	return &virtual.Checker{Rate: coldRate, Burst: coldBurst + coldRate*(2*crossCentreDelay).Seconds()}
}

// exactAllowance is an allowance with one exact token bucket for each server,
// shared by all VMs.
type exactAllowance map[netip.AddrPort]*virtual.Checker

// Take takes a token for the server if one is left.
func (b exactAllowance) Take(now time.Time, server netip.AddrPort) bool {
	c := b[server]
	if c == nil {
		c = &virtual.Checker{Rate: coldRate, Burst: coldBurst}
		b[server] = c
	}
	return c.TryTake(now.Sub(epoch))
}
