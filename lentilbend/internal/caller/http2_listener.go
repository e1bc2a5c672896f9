package caller

import (
	"net"
	"sync"
)

// http2Listener is the listener from which net/http takes the HTTP/2 connections.
type http2Listener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newHTTP2Listener(a net.Addr) *http2Listener {
	return &http2Listener{address: a, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// put passes a connection on. It is closed if the listener is.
func (h *http2Listener) put(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.closed:
		_ = c.Close()
	}
}

// Accept waits for the next connection. The error is net.ErrClosed after Close.
func (h *http2Listener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (h *http2Listener) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr returns the address of the callers' listener.
func (h *http2Listener) Addr() net.Addr {
	return h.address
}
