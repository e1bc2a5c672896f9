package choice

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// EqualShare is an Allowance that gives each VM an equal share of a rate. It
// is used when no fleet-wide limit is available. Set the exported fields before
// use.
type EqualShare struct {
	// SingleBucket makes all servers draw on one bucket instead of one each.
	SingleBucket bool
	// Rand is the random source; nil for the global one.
	Rand *rand.Rand

	mu      sync.Mutex
	rate    float64 // tokens per second of this VM
	buckets map[netip.AddrPort]*tokenBucket
}

// random returns a number in [0, 1).
func (e *EqualShare) random() float64 {
	if e.Rand == nil {
		return rand.Float64()
	}
	return e.Rand.Float64()
}

// maxBuckets bounds the per-server buckets of an allowance. At that number all
// buckets are dropped, since those of removed servers are never deleted.
const maxBuckets = 4096

// tokenBucket holds at most one token.
type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

// Set sets the rate, in tokens per second over all VMs together, and the
// number of VMs that share it.
func (e *EqualShare) Set(rate float64, vms int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rate = rate / float64(max(vms, 1))
}

// Take takes one token for server if one is available. A new bucket starts with
// a random debt of less than one token, so that the buckets of several VMs do
// not fill at the same time.
func (e *EqualShare) Take(now time.Time, server netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.buckets == nil || len(e.buckets) >= maxBuckets {
		e.buckets = make(map[netip.AddrPort]*tokenBucket)
	}
	if e.SingleBucket {
		server = netip.AddrPort{}
	}
	b := e.buckets[server]
	if b == nil {
		b = &tokenBucket{refilled: now, tokens: -e.random()}
		e.buckets[server] = b
	}
	if d := now.Sub(b.refilled); d > 0 {
		b.tokens = min(1, b.tokens+e.rate*d.Seconds())
		b.refilled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
