package platform

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Plan decides which entry VMs watch the platform (by long polling) and how
// often each VM polls, so that the fleet's polls stay within FleetPollRate.
type Plan struct {
	// Self is this VM's address.
	Self netip.AddrPort
	// WatcherCount is the number of entry VMs that watch.
	WatcherCount int
	// MinPollInterval is the shortest mean time between polls of one VM.
	MinPollInterval time.Duration
	// FleetPollRate is the highest mean rate of polls of all VMs together, per
	// second. A poll consists of two reads: the VM list and the values.
	FleetPollRate float64
}

// IsWatcher reports whether this VM is one of the watchers. The members are the
// entry VMs that answer, with or without this one. VMs that see different
// members may choose different watchers, which causes more reads but no wrong
// values.
func (p Plan) IsWatcher(members []netip.AddrPort) bool {
	ownRank := rank(p.Self)
	higher := 0
	for _, m := range members {
		if m != p.Self && cmp.Or(cmp.Compare(rank(m), ownRank), m.Compare(p.Self)) > 0 {
			higher++
		}
	}
	return higher < p.WatcherCount
}

// PollInterval returns the mean time between polls of one VM in a fleet of n
// VMs.
func (p Plan) PollInterval(n int) time.Duration {
	t := time.Duration(float64(n) / p.FleetPollRate * float64(time.Second))
	return max(p.MinPollInterval, t)
}

// rank returns a hash of an address. The VMs with the highest ranks watch, and
// each VM computes the same ranks.
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
	// Min is the bound of the random part of the first delay. The bound doubles
	// with each failure, up to Max. Half of Min is added to each delay.
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

// Role is the kind of server that runs on a VM.
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
