package choice

import (
	"net/netip"
	"sync"
	"time"
)

// Local is an Allowance of one VM's equal part of a rate, for use while no
// fleet-wide limit is at hand. Set the exported fields before use.
type Local struct {
	// Rate is in units a second over all VMs together, for each server.
	Rate float64
	// VMs is how many entry VMs there are.
	VMs int

	mu      sync.Mutex
	buckets map[netip.AddrPort]*localBucket
}

type localBucket struct {
	tokens float64
	filled time.Time
}

// Take uses one unit for server when one is free. A new bucket is empty.
func (l *Local) Take(now time.Time, server netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.buckets = make(map[netip.AddrPort]*localBucket)
	}
	b := l.buckets[server]
	if b == nil {
		b = &localBucket{filled: now}
		l.buckets[server] = b
	}
	r := l.Rate / float64(max(l.VMs, 1))
	if d := now.Sub(b.filled); d > 0 {
		b.tokens = min(1, b.tokens+r*d.Seconds())
		b.filled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
