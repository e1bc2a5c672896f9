// Package member decides which entry VMs count each other, and with that the
// part of every fleet-wide limit that this VM may use by itself. It does no
// I/O: callers pass the time and send what it returns.
package member

import (
	"cmp"
	"fmt"
	"net/netip"
)

// ID names one process on an entry VM.
type ID struct {
	// Address is the peer address.
	Address netip.AddrPort
	// Incarnation is greater for a later process at the same address; 0 is
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
