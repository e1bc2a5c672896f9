package measure

import (
	"net/netip"
	"time"
)

// coldMeter is what the cold server bears: a bucket, with room for the
// differences of the requests' time on their way.
type coldMeter struct {
	tokens float64
	filled time.Duration
}

func (m *coldMeter) take(now time.Duration) bool {
	most := coldBurst + coldRate*(2*farDelay).Seconds()
	if m.filled == 0 {
		m.tokens = most
	} else {
		m.tokens = min(most, m.tokens+coldRate*(now-m.filled).Seconds())
	}
	m.filled = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// oneBucket is an exact allowance that all VMs share.
type oneBucket struct {
	tokens map[netip.AddrPort]float64
	filled map[netip.AddrPort]time.Time
}

// Take uses one unit for server when one is free.
func (b *oneBucket) Take(now time.Time, server netip.AddrPort) bool {
	t, ok := b.tokens[server]
	if !ok {
		t = coldBurst
	} else {
		t = min(coldBurst, t+coldRate*now.Sub(b.filled[server]).Seconds())
	}
	b.filled[server] = now
	if t < 1 {
		b.tokens[server] = t
		return false
	}
	b.tokens[server] = t - 1
	return true
}
