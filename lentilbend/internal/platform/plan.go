package platform

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Plan decides which entry VMs watch the platform and how often the others
// read, so that the reads of the whole fleet stay within FleetReads a second.
type Plan struct {
	Self netip.AddrPort
	// Watchers is how many entry VMs watch.
	Watchers int
	// PollEvery is the least time between polls of one VM.
	PollEvery time.Duration
	// FleetReads is how many polls a second all VMs together may send.
	FleetReads float64
}

// Watches tells whether this VM is among the watchers. The members are the
// entry VMs that answer, with or without this one. VMs whose views differ may
// choose different watchers; that costs reads, not correctness.
func (p Plan) Watches(members []netip.AddrPort) bool {
	own := rank(p.Self)
	before := 0
	for _, m := range members {
		if m != p.Self && cmp.Or(cmp.Compare(rank(m), own), m.Compare(p.Self)) > 0 {
			before++
		}
	}
	return before < p.Watchers
}

// PollInterval returns the mean time between polls of one VM in a fleet of n.
func (p Plan) PollInterval(n int) time.Duration {
	t := time.Duration(float64(n) / p.FleetReads * float64(time.Second))
	return max(p.PollEvery, t)
}

// rank orders VMs the same way everywhere.
func rank(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary()
	return xxhash.Sum64(b)
}

// Jitter returns d changed at random by up to a quarter.
func Jitter(d time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (0.75 + r.Float64()/2))
}

// Backoff spaces the tries after failures, with full jitter.
type Backoff struct {
	// Least and Most bound the time between tries.
	Least, Most time.Duration

	failures int
}

// Next counts a failure and returns how long to wait.
func (b *Backoff) Next(r *rand.Rand) time.Duration {
	t := b.Least << min(b.failures, 16)
	if t > b.Most {
		t = b.Most
	}
	b.failures++
	return b.Least/2 + time.Duration(r.Int64N(int64(t)))
}

// Reset forgets the failures.
func (b *Backoff) Reset() {
	b.failures = 0
}

// VMs is the platform's newest VM list seen, by its revision.
type VMs struct {
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

// Role tells what runs on a VM.
type Role int

// Roles of a VM.
const (
	RoleUnknown Role = iota
	RoleEntry
	RoleBackend
)

// sorted returns the list ordered by address.
func sorted(vs []VM) []VM {
	slices.SortFunc(vs, func(a, b VM) int { return a.Address.Compare(b.Address) })
	return vs
}
