package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Last bytes of the addresses in a fleet's address block, and ports. Entry VMs
// have the addresses from 1 on.
const (
	platformHost = 251
	backendHost  = 252
	lockHost     = 254

	callerPort   = 8080
	operatorPort = 9080
	peerPort     = 7070
	// proxiedPeerPort is where an entry VM listens for peers when a fault proxy
	// listens on peerPort.
	proxiedPeerPort = 7071
	platformPort    = 7000
	backendPort     = 10000
	lockPort        = 24000
)

// maxBlockAttempts bounds how many random address blocks newAddressBlock tries.
const maxBlockAttempts = 100

// addressBlock is a /24 of loopback addresses that no other fleet on this
// machine uses. An open listener on lockHost reserves it.
type addressBlock struct {
	prefix [3]byte
	lock   net.Listener
}

// newAddressBlock reserves a free address block. The kernel never assigns
// ephemeral ports on loopback addresses other than 127.0.0.1 by itself, so the
// fixed ports above stay free.
func newAddressBlock() (*addressBlock, error) {
	var err error
	for range maxBlockAttempts {
		b := &addressBlock{prefix: [3]byte{127, byte(16 + rand.IntN(200)), byte(rand.IntN(256))}}
		a := netip.AddrPortFrom(b.address(lockHost), lockPort)
		if b.lock, err = net.Listen("tcp", a.String()); err == nil {
			return b, nil
		}
	}
	return nil, fmt.Errorf("fleet: no free block of loopback addresses: %w", err)
}

// address returns the address whose last byte is host.
func (b *addressBlock) address(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{b.prefix[0], b.prefix[1], b.prefix[2], byte(host)})
}

func (b *addressBlock) close() {
	_ = b.lock.Close()
}
