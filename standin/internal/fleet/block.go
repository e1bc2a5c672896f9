package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Hosts and ports within a fleet's block of loopback addresses. Entry VMs have
// the hosts from 1 on.
const (
	platformHost = 251
	backendHost  = 252
	lockHost     = 254

	callerPort   = 8080
	operatorPort = 9080
	peerPort     = 7070
	listenPort   = 7071
	platformPort = 7000
	backendPort  = 10000
	lockPort     = 24000
)

// attempts is how many blocks are tried.
const attempts = 100

// block is a /24 of loopback addresses that no other fleet uses.
type block struct {
	prefix [3]byte
	lock   net.Listener
}

// newBlock takes a free block. Ports on addresses other than 127.0.0.1 are
// never handed out by the kernel, so all of them stay free.
func newBlock() (*block, error) {
	var err error
	for range attempts {
		b := &block{prefix: [3]byte{127, byte(16 + rand.IntN(200)), byte(rand.IntN(256))}}
		a := netip.AddrPortFrom(b.address(lockHost), lockPort)
		if b.lock, err = net.Listen("tcp", a.String()); err == nil {
			return b, nil
		}
	}
	return nil, fmt.Errorf("fleet: no free loopback addresses: %w", err)
}

func (b *block) address(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{b.prefix[0], b.prefix[1], b.prefix[2], byte(host)})
}

func (b *block) close() {
	_ = b.lock.Close()
}
