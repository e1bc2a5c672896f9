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

// acceptGracePeriod is how long TCP handshakes that began before the shutdown may
// take to be accepted.
const acceptGracePeriod = 250 * time.Millisecond

// listener accepts callers' connections and tracks the open ones.
type listener struct {
	net.Listener

	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection.
func (l *listener) Accept() (*conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n, listener: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Close stops listening. It may be called again, since http.Server.Shutdown closes
// the listener once more if Serve has not returned yet.
func (l *listener) Close() error {
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// remove stops tracking a closed connection.
func (l *listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// connCount returns the number of open connections.
func (l *listener) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// dropNewHandshakes makes the kernel drop the first packet of new connections, so
// that the handshakes in progress can be accepted first: closing the listener
// resets connections that were not accepted.
func (l *listener) dropNewHandshakes() error {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil
	}
	r, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var filterErr error
	err = r.Control(func(fd uintptr) { filterErr = dropSYN(int(fd)) })
	if err != nil {
		return err
	}
	return filterErr
}

// Offset and bit in the TCP header (RFC 9293, section 3.1).
const (
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
)

// dropSYN attaches a packet filter (BPF) to a socket that drops segments with the
// SYN flag.
func dropSYN(fd int) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}
