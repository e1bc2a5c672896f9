package caller

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lingerTime is how long an idle connection stays open after a planned stop
// has closed it: a request that is on its way then is still answered.
const lingerTime = time.Second

// conn is a caller's connection. During a planned stop it is closed only when
// no request has arrived on it.
type conn struct {
	net.Conn
	owner *listener

	idle    atomic.Bool
	touched atomic.Bool
	once    sync.Once
	lingers atomic.Bool
}

// Read notes that bytes arrived.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.touched.Store(true)
	}
	if err != nil {
		c.idle.Store(false)
	}
	return n, err
}

// Close closes the connection. One that is idle while the server leaves stays
// open for lingerTime after the first call, and for as long as a request runs
// on it.
func (c *conn) Close() error {
	if !c.owner.leaving.Load() || !c.idle.Load() {
		return c.end()
	}
	if !c.lingers.CompareAndSwap(false, true) {
		return c.end()
	}
	time.AfterFunc(lingerTime, c.endIfIdle)
	return nil
}

// endIfIdle closes a connection on which nothing arrived. Otherwise the server
// still reads from it, and closes it after its answer.
func (c *conn) endIfIdle() {
	if c.idle.Load() && !c.touched.Load() && !c.pending() {
		_ = c.end()
	}
}

func (c *conn) end() error {
	var err error
	c.once.Do(func() {
		err = c.Conn.Close()
		c.owner.forget(c)
	})
	return err
}

// pending reports whether bytes wait to be read.
func (c *conn) pending() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	_ = r.Control(func(fd uintptr) {
		fs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fs, 0)
		waiting = err == nil && n > 0 && fs[0].Revents&unix.POLLIN != 0
	})
	return waiting
}

// setIdle notes that the server waits for the next request, or works on one.
func (c *conn) setIdle(idle bool) {
	c.touched.Store(false)
	c.idle.Store(idle)
}

// listener accepts callers' connections and knows those that are open.
type listener struct {
	net.Listener

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
