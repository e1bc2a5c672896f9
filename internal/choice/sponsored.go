package choice

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sponsors is how many VMs may send to a server in cold start; one may be lost
// and leave enough for the server to warm up by.
const sponsors = 2

// Sponsored is an Allowance of which a few VMs, the same by all views, have
// equal parts and the others nothing, since a small rate cannot be split over
// many VMs. Set the exported fields before use.
type Sponsored struct {
	Self netip.AddrPort
	// VMs returns the VMs that are heard, this one included.
	VMs func() []netip.AddrPort
	// Joined tells whether VMs is to be believed: a process that heard nobody
	// yet sends nothing.
	Joined func() bool
	// Rate returns the rate of a server over all VMs, in units a second.
	Rate func(server netip.AddrPort) float64

	mu      sync.Mutex
	buckets map[netip.AddrPort]*localBucket
}

// Take uses one unit for server when this VM has one.
func (s *Sponsored) Take(now time.Time, server netip.AddrPort) bool {
	if !s.Joined() {
		return false
	}
	vms := s.VMs()
	if !s.sponsors(vms, server) {
		return false
	}
	rate := s.Rate(server) / float64(min(sponsors, max(1, len(vms))))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buckets == nil || len(s.buckets) >= localServers {
		s.buckets = map[netip.AddrPort]*localBucket{}
	}
	b := s.buckets[server]
	if b == nil {
		b = &localBucket{filled: now, tokens: 1}
		s.buckets[server] = b
	}
	if d := now.Sub(b.filled); d > 0 {
		b.tokens = min(1, b.tokens+rate*d.Seconds())
		b.filled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// sponsors tells whether this VM is among the first for a server, by rendezvous
// hashing.
func (s *Sponsored) sponsors(vms []netip.AddrPort, server netip.AddrPort) bool {
	own := weight(s.Self, server)
	before := 0
	for _, v := range vms {
		if v != s.Self && weight(v, server) > own {
			before++
		}
	}
	return before < sponsors && slices.Contains(vms, s.Self)
}

func weight(vm, server netip.AddrPort) uint64 {
	var b [36]byte
	put(b[:18], vm)
	put(b[18:], server)
	return xxhash.Sum64(b[:])
}

func put(b []byte, a netip.AddrPort) {
	x := a.Addr().As16()
	copy(b, x[:])
	binary.LittleEndian.PutUint16(b[16:], a.Port())
}
