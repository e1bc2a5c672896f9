package choice

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sendersPerServer is the number of VMs that may send to a server in cold start.
// With one of them lost, the server still gets enough requests to warm up.
const sendersPerServer = 2

// PermittedSenders is an Allowance that gives equal shares of each server's rate
// to a few permitted VMs and nothing to the others, since a small rate cannot be
// split over many VMs. The VMs are selected by rendezvous hashing, so that all
// VMs with the same view select the same ones. Set the exported fields before
// use.
type PermittedSenders struct {
	Self netip.AddrPort
	// VMs returns the known entry VMs, this one included.
	VMs func() []netip.AddrPort
	// Joined reports whether VMs is reliable. A process that has not heard from
	// another VM yet gets no tokens.
	Joined func() bool
	// Rate returns the rate of a server over all VMs, in tokens per second.
	Rate func(server netip.AddrPort) float64
	// Count returns the number of VMs, including those that are silent. If it is
	// nil, two VMs share each rate. Otherwise more VMs do, since each of them
	// receives few requests, and Observe must be called.
	Count func() int

	mu      sync.Mutex
	buckets map[netip.AddrPort]*tokenBucket
	views   vmViews
}

// Take takes one token for server if this VM is permitted and has one.
func (s *PermittedSenders) Take(now time.Time, server netip.AddrPort) bool {
	if !s.Joined() {
		return false
	}
	g, ok := s.grant(now, server)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buckets == nil || len(s.buckets) >= maxBuckets {
		s.buckets = map[netip.AddrPort]*tokenBucket{}
	}
	b := s.buckets[server]
	if b == nil {
		b = &tokenBucket{refilled: now, tokens: 1}
		s.buckets[server] = b
	}
	if d := now.Sub(b.refilled); d > 0 {
		b.tokens = min(g.burst, b.tokens+g.rate*d.Seconds())
		b.refilled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// senderGrant is the part of a server's rate that one VM may use.
type senderGrant struct {
	rate  float64 // tokens per second
	burst float64 // tokens saved at most
}

// grant returns what this VM may send to a server, or false if that is nothing.
func (s *PermittedSenders) grant(now time.Time, server netip.AddrPort) (senderGrant, bool) {
	if s.Count != nil {
		return s.grantByViews(now, server)
	}
	vms := s.VMs()
	if !s.permitted(vms, server) {
		return senderGrant{}, false
	}
	return senderGrant{rate: s.Rate(server) / float64(min(sendersPerServer, max(1, len(vms)))), burst: 1}, true
}

// permitted reports whether this VM may send to a server in cold start.
func (s *PermittedSenders) permitted(vms []netip.AddrPort, server netip.AddrPort) bool {
	return slices.Contains(vms, s.Self) && isAmongGreatest(s.Self, vms, server, sendersPerServer)
}

// isAmongGreatest reports whether self has one of the n greatest rendezvous weights for
// a server.
func isAmongGreatest(self netip.AddrPort, vms []netip.AddrPort, server netip.AddrPort, n int) bool {
	own := rendezvousWeight(self, server)
	for _, v := range vms {
		if v != self && rendezvousWeight(v, server) > own {
			n--
		}
		if n <= 0 {
			return false
		}
	}
	return n > 0
}

func rendezvousWeight(vm, server netip.AddrPort) uint64 {
	var b [36]byte
	putAddrPort(b[:18], vm)
	putAddrPort(b[18:], server)
	return xxhash.Sum64(b[:])
}

func putAddrPort(b []byte, a netip.AddrPort) {
	x := a.Addr().As16()
	copy(b, x[:])
	binary.LittleEndian.PutUint16(b[16:], a.Port())
}
