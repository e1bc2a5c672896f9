package choice

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Local is an Allowance of one VM's equal part of a rate, for use while no
// fleet-wide limit is at hand. Set the exported fields before use.
type Local struct {
	// Together says that all servers have one rate, not each its own.
	Together bool
	// Rand is the source of chance; nil for a random one.
	Rand *rand.Rand

	mu      sync.Mutex
	rate    float64
	buckets map[netip.AddrPort]*localBucket
}

// chance returns a number of at least 0 and below 1.
func (l *Local) chance() float64 {
	if l.Rand == nil {
		return rand.Float64()
	}
	return l.Rand.Float64()
}

// localServers is how many servers a Local remembers; at that number it starts
// anew with empty buckets.
const localServers = 4096

type localBucket struct {
	tokens float64
	filled time.Time
}

// Set changes the rate, in units a second over all VMs together, and how many
// VMs there are.
func (l *Local) Set(rate float64, vms int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate / float64(max(vms, 1))
}

// Take uses one unit for server when one is free. A new bucket owes a part of a
// unit by chance, so that the buckets of several VMs do not fill at once.
func (l *Local) Take(now time.Time, server netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil || len(l.buckets) >= localServers {
		l.buckets = make(map[netip.AddrPort]*localBucket)
	}
	if l.Together {
		server = netip.AddrPort{}
	}
	b := l.buckets[server]
	if b == nil {
		b = &localBucket{filled: now, tokens: -l.chance()}
		l.buckets[server] = b
	}
	if d := now.Sub(b.filled); d > 0 {
		b.tokens = min(1, b.tokens+l.rate*d.Seconds())
		b.filled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
