package main

import (
	"net"
	"sync"
	"time"
)

// proxy stands between an entry VM's peer address and the address at which its process
// listens. It connects from the address of the VM that dials.
type proxy struct {
	net    *network
	target string
	owner  string // IP of the VM behind the proxy
}

// network is what the proxies share: the VMs that are cut off from all others.
type network struct {
	mu  sync.Mutex
	cut map[string]bool
}

// setCut cuts VMs off or ends that. A cut is silent: bytes are held up, and connections hang.
func (n *network) setCut(ips []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ip := range ips {
		n.cut[ip] = cut
	}
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.cut[a] || n.cut[b])
}

// wait waits while two VMs are cut off from each other.
func (n *network) wait(a, b string) {
	for n.isCut(a, b) {
		time.Sleep(20 * time.Millisecond)
	}
}

func (p *proxy) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return nil
}

func (p *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	from := c.RemoteAddr().(*net.TCPAddr).IP
	p.net.wait(from.String(), p.owner)
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: time.Second}
	t, err := d.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	done := make(chan struct{}, 2)
	pass := func(to, src net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			p.net.wait(from.String(), p.owner)
			if n > 0 {
				if _, e := to.Write(b[:n]); e != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(t, c)
	go pass(c, t)
	<-done
}
