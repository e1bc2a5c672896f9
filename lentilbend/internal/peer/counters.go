package peer

import (
	"net"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// counters counts the traffic of all connections.
type counters struct {
	sentFrames, receivedFrames  atomic.Uint64
	sentBytes, receivedBytes    atomic.Uint64
	refusedCalls, silentStreams atomic.Uint64
	panics, repeatedPulls       atomic.Uint64
}

// Counters holds the hub's totals since the process started. Bytes are counted
// at the TCP connection, so they include the framing of HTTP/2 and TLS.
type Counters struct {
	SentFrames     uint64
	ReceivedFrames uint64
	SentBytes      uint64
	ReceivedBytes  uint64
	// Refused counts calls rejected because Hub.Allowed denied the caller's IP.
	Refused uint64
	// SilentStreams counts streams cancelled because a frame took longer than
	// Timing.SilenceTimeout to send or to be acknowledged.
	SilentStreams uint64
	// RepeatedPulls counts pulls that were also sent over a new connection.
	RepeatedPulls uint64
	// Panics counts frames that were dropped after a panic of their handler.
	Panics uint64
}

// Counters returns the current totals.
func (h *Hub) Counters() Counters {
	c := &h.counters
	return Counters{
		SentFrames:     c.sentFrames.Load(),
		ReceivedFrames: c.receivedFrames.Load(),
		SentBytes:      c.sentBytes.Load(),
		ReceivedBytes:  c.receivedBytes.Load(),
		Refused:        c.refusedCalls.Load(),
		SilentStreams:  c.silentStreams.Load(),
		RepeatedPulls:  c.repeatedPulls.Load(),
		Panics:         c.panics.Load(),
	}
}

// Dump is the state of the hub for operators.
type Dump struct {
	Self     string
	Secure   bool
	Counters Counters
	Links    []LinkDump
}

// LinkDump is the state of the link to one peer.
type LinkDump struct {
	Address     netip.AddrPort
	Connected   bool
	Incarnation uint64
	// Queued is the number of messages waiting to be sent.
	Queued int
	// Dials counts dials from this VM, Opened the streams that either end opened,
	// and Silent the streams cancelled for the reason at Counters.SilentStreams.
	Dials, Opened, Silent uint64
}

// Dump returns the state of all links.
func (h *Hub) Dump() any {
	d := Dump{Self: h.Self.String(), Secure: h.usesTLS(), Counters: h.Counters()}
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, l := range h.links {
		d.Links = append(d.Links, l.dump())
	}
	slices.SortFunc(d.Links, func(a, b LinkDump) int { return a.Address.Compare(b.Address) })
	return d
}

func (l *link) dump() LinkDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := LinkDump{Address: l.address, Dials: l.dials, Opened: l.opened, Silent: l.silentStreams}
	if s := l.stream; s != nil {
		s.mu.Lock()
		d.Connected, d.Incarnation, d.Queued = true, s.from.Incarnation, s.queued
		s.mu.Unlock()
	}
	return d
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	counters *counters
}

// Accept returns the next connection, wrapped in a countedConn.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, counters: l.counters}, nil
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	counters *counters
}

// Read reads into b and counts the bytes read.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.receivedBytes.Add(uint64(n))
	return n, err
}

// Write writes b and counts the bytes written.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sentBytes.Add(uint64(n))
	return n, err
}

// Register registers the hub's metrics.
func (h *Hub) Register(r prometheus.Registerer) {
	c := func(name, help string, v *atomic.Uint64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(v.Load()) }))
	}
	c("lentilbend_peer_sent_frames_total", "Frames sent to other VMs.", &h.counters.sentFrames)
	c("lentilbend_peer_received_frames_total", "Frames received from other VMs.", &h.counters.receivedFrames)
	c("lentilbend_peer_sent_bytes_total", "Bytes sent to other VMs.", &h.counters.sentBytes)
	c("lentilbend_peer_received_bytes_total", "Bytes received from other VMs.", &h.counters.receivedBytes)
	c("lentilbend_peer_refused_total", "Calls of VMs that may not talk.", &h.counters.refusedCalls)
	c("lentilbend_peer_panics_total", "Frames dropped after a panic of their handler.", &h.counters.panics)
	c("lentilbend_peer_repeated_pulls_total", "Pulls also sent over a new connection, since the open one failed or did not answer in time.", &h.counters.repeatedPulls)
	c("lentilbend_peer_silent_total", "Connections replaced because they were silent.", &h.counters.silentStreams)
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lentilbend_peer_connected", Help: "VMs with an open stream.",
	}, func() float64 { return float64(len(h.Connected())) }))
}
