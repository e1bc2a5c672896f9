package platform

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Plan decides which entry VMs read the platform by long polling and how often
// each VM polls, so that the fleet's polls stay within FleetPollRate.
type Plan struct {
	// Self is this VM's address.
	Self netip.AddrPort
	// LongPollerCount is the number of entry VMs that read by long polling.
	LongPollerCount int
	// MinPollInterval is the shortest mean time between polls of one VM.
	MinPollInterval time.Duration
	// FleetPollRate is the highest mean rate of polls of all VMs together, per
	// second. A poll consists of two reads: the VM list and the values.
	FleetPollRate float64
}

// IsLongPoller reports whether this VM reads by long polling. The members are the
// entry VMs that answer, with or without this one. VMs that see different
// members may choose different VMs, which causes more reads but no wrong values.
func (p Plan) IsLongPoller(members []netip.AddrPort) bool {
	ownRank := rank(p.Self)
	higher := 0
	for _, m := range members {
		if m != p.Self && cmp.Or(cmp.Compare(rank(m), ownRank), m.Compare(p.Self)) > 0 {
			higher++
		}
	}
	return higher < p.LongPollerCount
}

// PollInterval returns the mean time between polls of one VM in a fleet of n
// VMs.
func (p Plan) PollInterval(n int) time.Duration {
	t := time.Duration(float64(n) / p.FleetPollRate * float64(time.Second))
	return max(p.MinPollInterval, t)
}

// rank returns a hash of an address. The VMs with the highest ranks read by long
// polling, and each VM computes the same ranks.
func rank(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary()
	return xxhash.Sum64(b)
}

// Jitter returns d multiplied by a random factor between 0.75 and 1.25.
func Jitter(d time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (0.75 + r.Float64()/2))
}

// Backoff computes delays after failures that grow exponentially, with jitter.
type Backoff struct {
	// Each delay is Min/2 plus a random time. The random time is below Min after
	// the first failure; this bound doubles with each failure, up to Max.
	Min, Max time.Duration

	failures int
}

// Next counts a failure and returns the delay before the next attempt.
func (b *Backoff) Next(r *rand.Rand) time.Duration {
	t := b.Min << min(b.failures, 16)
	if t > b.Max {
		t = b.Max
	}
	b.failures++
	return b.Min/2 + time.Duration(r.Int64N(int64(t)))
}

// Reset sets the number of failures to zero.
func (b *Backoff) Reset() {
	b.failures = 0
}

// VMList is the platform's VM list at a revision, ordered by address.
type VMList struct {
	Revision uint64
	VMs      []VM
}

// VM is one VM of the platform's list.
type VM struct {
	Address    netip.AddrPort
	DataCentre string
	Role       Role
	Leaving    bool
}

// Role tells whether a VM is an entry VM or runs a backend server.
type Role int

// Roles of a VM.
const (
	RoleUnknown Role = iota
	RoleEntry
	RoleBackend
)

// sortByAddress sorts vs in place and returns it.
func sortByAddress(vs []VM) []VM {
	slices.SortFunc(vs, func(a, b VM) int { return a.Address.Compare(b.Address) })
	return vs
}
