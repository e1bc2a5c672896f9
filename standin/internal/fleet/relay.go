package fleet

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// relayBuffer is how much a relay reads at once, in bytes.
const relayBuffer = 64 << 10

// relay stands before the peer address of an entry VM and passes connections
// on. Those from a peer that is cut off stay open and carry nothing until the
// cut ends.
type relay struct {
	listener net.Listener
	to       netip.AddrPort

	mu      sync.Mutex
	changed *sync.Cond
	cut     map[netip.Addr]bool
	open    map[net.Conn]bool
	closed  bool
}

func newRelay(at, to netip.AddrPort) (*relay, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, fmt.Errorf("fleet: relay: %w", err)
	}
	r := &relay{listener: l, to: to, cut: map[netip.Addr]bool{}, open: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	go r.run()
	return r, nil
}

func (r *relay) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(c)
	}
}

// connect passes one connection on, with the same source address.
func (r *relay) connect(c net.Conn) {
	defer r.forget(c)
	if !r.keep(c) {
		return
	}
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil || !r.passing(a.Addr()) {
		return
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: a.Addr().AsSlice()}}
	o, err := d.Dial("tcp", r.to.String())
	if err != nil {
		return
	}
	defer r.forget(o)
	if !r.keep(o) {
		return
	}
	done := make(chan struct{}, 2)
	for _, p := range [][2]net.Conn{{c, o}, {o, c}} {
		go func() {
			r.copy(p[0], p[1], a.Addr())
			done <- struct{}{}
		}()
	}
	<-done
}

// copy passes on what comes, unless the peer is cut off.
func (r *relay) copy(from, to net.Conn, peer netip.Addr) {
	b := make([]byte, relayBuffer)
	for {
		n, err := from.Read(b)
		if !r.passing(peer) {
			return
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passing waits until the peer is not cut off. It returns false once the relay
// is closed.
func (r *relay) passing(peer netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut[peer] && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *relay) set(peer netip.Addr, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[peer] = cut
	r.changed.Broadcast()
}

func (r *relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[c] = true
	return !r.closed
}

func (r *relay) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
	_ = c.Close()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.changed.Broadcast()
	for c := range r.open {
		_ = c.Close()
	}
}

func (f *Fleet) startRelays() error {
	if !f.Relays {
		return nil
	}
	for i := range f.Deployment.Entries {
		r, err := newRelay(f.entryAddress(i, peerPort), f.entryAddress(i, listenPort))
		if err != nil {
			return err
		}
		f.relays = append(f.relays, r)
	}
	return nil
}

// peerListen returns where an entry VM listens for peers.
func (f *Fleet) peerListen(i int) netip.AddrPort {
	if f.Relays {
		return f.entryAddress(i, listenPort)
	}
	return f.entryAddress(i, peerPort)
}

// Cut loses, or passes on again, all that goes between two entry VMs. The
// fleet must have relays.
func (f *Fleet) Cut(a, b *Entry, cut bool) {
	f.relays[a.Index].set(b.Peer.Addr(), cut)
	f.relays[b.Index].set(a.Peer.Addr(), cut)
}
