package main

import (
	"fmt"
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

	mu       sync.Mutex
	sequence int
	silent   bool // writes no entry any more
	running  atomic.Int64
	server   *http.Server
}

func (n *instance) start() error {
	l, err := net.Listen("tcp", n.address)
	if err != nil {
		return err
	}
	n.born = time.Now().UnixMilli()
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
	n.store.renew("servers/"+n.id, func(sequence int) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_remaining":"0ms","sequence":%d,"born":%d}`,
			n.service, n.address, n.zone, sequence, n.born)
	}, n.sequence)
}

func (n *instance) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Load", fmt.Sprintf("%d,0,6,100", n.running.Load()))
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", n.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != n.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.record.ran(id, n)
	n.running.Add(1)
	defer n.running.Add(-1)
	select {
	case <-time.After(n.work):
	case <-r.Context().Done():
		return
	}
	h.Set("Server-Signature", "signed."+n.id)
	h.Set("Instance-Load", fmt.Sprintf("%d,0,6,100", n.running.Load()-1))
	b := []byte("answer of " + n.id + " to " + id)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}
