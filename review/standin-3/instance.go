package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which an instance writes its entry.
const heartbeat = 1500 * time.Millisecond

// instance is an instance of a service.
type instance struct {
	id, service, zone, address string
	work                       time.Duration
	store                      *store
	record                     *record
	born                       int64

	// quiet is set if its service's instances do not add Instance-Load.
	quiet bool
	// pause is the Retry-After of the 503 with which it turns all requests away while it
	// is positive.
	pause atomic.Int64

	// coldUntil is the time of the record until which it is cold.
	coldUntil atomic.Int64

	mu       sync.Mutex
	sequence int
	silent   bool // writes no entry any more
	server   *http.Server

	slots            chan struct{}
	running, waiting atomic.Int64
}

// Slots of an instance, and how many requests wait for one.
const (
	slotCount  = 6
	queueCount = 24
)

// coldLeft returns how much longer the instance stays cold.
func (n *instance) coldLeft() time.Duration {
	return max(0, time.Duration(n.coldUntil.Load())-n.record.now())
}

// loadHeader returns the value of Instance-Load.
func (n *instance) loadHeader() string {
	return fmt.Sprintf("%d,%d,%d,100", n.running.Load(), n.waiting.Load(), slotCount)
}

// addLoad adds Instance-Load to an answer.
func (n *instance) addLoad(h http.Header) {
	if !n.quiet {
		h.Set("Instance-Load", n.loadHeader())
	}
}

// turnCold makes the instance cold again, and writes that to its entry.
func (n *instance) turnCold(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.coldUntil.Store(int64(n.record.now() + d))
	n.sequence++
	n.store.put("servers/"+n.id, n.entry(n.sequence))
}

// crash ends the instance without a word. Its entry stays until it lapses.
func (n *instance) crash() {
	n.mu.Lock()
	n.silent = true
	n.mu.Unlock()
	_ = n.server.Close()
	time.AfterFunc(3*heartbeat, func() { n.store.remove("servers/" + n.id) })
}

func (n *instance) start() error {
	l, err := net.Listen("tcp", n.address)
	if err != nil {
		return err
	}
	n.born = time.Now().UnixMilli()
	n.slots = make(chan struct{}, slotCount)
	n.server = &http.Server{Handler: http.HandlerFunc(n.serve)}
	go func() { _ = n.server.Serve(l) }()
	go n.beat()
	return nil
}

// beat writes the entry again and again, so that a restored store has it again soon.
func (n *instance) beat() {
	for {
		n.mu.Lock()
		if !n.silent {
			n.writeEntry()
		}
		n.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// writeEntry renews the entry, which changes in the store only if more than its sequence
// differs. n.mu is held.
func (n *instance) writeEntry() {
	n.sequence++
	n.store.renew("servers/"+n.id, n.entry, n.sequence)
}

// entry returns the text of the entry.
func (n *instance) entry(sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_remaining":"%dms","sequence":%d,"born":%d}`,
		n.service, n.address, n.zone, n.coldLeft().Milliseconds(), sequence, n.born)
}

func (n *instance) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	n.addLoad(h)
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", n.id)
		if d := n.coldLeft(); d > 0 {
			h.Set("Cold-Ms", fmt.Sprint(d.Milliseconds()))
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != n.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.record.arrived(id, n)
	if d := n.pause.Load(); d > 0 {
		h.Set("Not-Executed", "1")
		h.Set("Retry-After", fmt.Sprint(d))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if n.waiting.Add(1) > queueCount {
		n.waiting.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case n.slots <- struct{}{}:
		n.waiting.Add(-1)
	case <-r.Context().Done():
		n.waiting.Add(-1)
		return
	}
	n.running.Add(1)
	n.record.ran(id, n)
	work := n.work
	if n.coldLeft() > 0 {
		work *= 2
	}
	defer func() { <-n.slots }()
	select {
	case <-time.After(work):
		n.running.Add(-1)
	case <-r.Context().Done():
		n.running.Add(-1)
		return
	}
	h.Set("Server-Signature", "signed."+n.id)
	n.addLoad(h)
	b := []byte("answer of " + n.id + " to " + id)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}
