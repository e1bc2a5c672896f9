// Package member implements the membership protocol of the entry VMs. It
// decides which VMs count each other, and from that the share of every
// fleet-wide limit that this VM may use itself. With a lease, a VM guarantees
// that it counts the holder until the lease expires. A VM is active while it
// holds valid leases from all VMs that it counts; graceUntil says how long it
// needs none from VMs that do not answer. An active VM may use its share once the
// delegations and requests have ended that began before other VMs counted it.
// The package does no I/O: callers pass the time and send the returned messages.
package member

import (
	"cmp"
	"fmt"
	"net/netip"
)

// ID identifies one process on an entry VM.
type ID struct {
	// Address is the address at which other entry VMs reach the process.
	Address netip.AddrPort
	// Incarnation is greater for a later process at the same address; 0 means
	// unknown.
	Incarnation uint64
}

// String returns the address and the incarnation.
func (i ID) String() string {
	return fmt.Sprintf("%s#%d", i.Address, i.Incarnation)
}

// Compare orders IDs by address, then by incarnation.
func (i ID) Compare(o ID) int {
	if c := i.Address.Compare(o.Address); c != 0 {
		return c
	}
	return cmp.Compare(i.Incarnation, o.Incarnation)
}
