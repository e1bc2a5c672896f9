package caller

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// drainTime is how long connections that are half-way open when listening ends
// may take to be accepted.
const drainTime = 250 * time.Millisecond

// listener accepts callers' connections and knows those that are open.
type listener struct {
	net.Listener

	// secure says that what is read is encrypted.
	secure  bool
	leaving atomic.Bool
	mu      sync.Mutex
	conns   map[*conn]struct{}
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n, owner: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Close ends listening. It may be called again: the server closes a listener
// that it has not let go yet when it shuts down.
func (l *listener) Close() error {
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (l *listener) forget(c *conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// open returns how many connections are open.
func (l *listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// list returns the open HTTP/1.1 connections.
func (l *listener) list() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var cs []*conn
	for c := range l.conns {
		if !c.http2.Load() {
			cs = append(cs, c)
		}
	}
	return cs
}

// closeIdle begins to close the HTTP/1.1 connections that wait for a request
// and returns how many are left.
func (l *listener) closeIdle(now time.Time) int {
	for _, c := range l.list() {
		c.probeIfQuiet(now)
	}
	return len(l.list())
}

// refuseNew makes the kernel drop the first packet of new connections, so that
// those already on the way can be accepted before the listener closes, which
// resets any that wait.
func (l *listener) refuseNew() error {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil
	}
	r, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = r.Control(func(fd uintptr) { failed = dropOpening(int(fd)) })
	if err != nil {
		return err
	}
	return failed
}

// Positions and bits of the TCP header (RFC 9293, section 3.1).
const (
	tcpFlags = 13
	tcpSYN   = 0x02
)

// dropOpening attaches a packet filter that drops segments with SYN.
func dropOpening(fd int) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlags},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}
