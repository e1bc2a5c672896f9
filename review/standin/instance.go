package main

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	instanceSlots = 6
	workTime      = 40 * time.Millisecond
)

// instance is a stand-in of an instance. It follows the pages of the platform.
type instance struct {
	id, service string
	record      *record
	listener    net.Listener
	server      *http.Server
	born        int64

	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  int
	answers  int
	requests int
	runs     []execution
	// Each so many-th answer is spoiled, and each so many-th request rejected before its
	// body is in; 0 for none.
	spoilEvery, rejectEvery int
	// trailers is set if answers have no length and a trailer.
	trailers bool
	// work replaces workTime; 0 for none.
	work time.Duration
	// slow multiplies the work time; 0 is 1.
	slow float64
}

// execution is one request that an instance ran.
type execution struct {
	service                                   string
	instance, requestID, method, path, tenant string
	body                                      string
	status                                    int
	spoiled                                   bool
}

func newInstance(rec *record, service, id string) (*instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &instance{id: id, service: service, record: rec, listener: l, conns: map[net.Conn]bool{}, born: time.Now().UnixMilli() - 60000}
	i.server = &http.Server{
		Handler:     http.HandlerFunc(i.serve),
		IdleTimeout: 10 * time.Second,
		ConnState: func(c net.Conn, s http.ConnState) {
			i.mu.Lock()
			defer i.mu.Unlock()
			switch s {
			case http.StateNew:
				i.conns[c] = true
			case http.StateClosed, http.StateHijacked:
				delete(i.conns, c)
			}
		},
	}
	go func() { _ = i.server.Serve(l) }()
	return i, nil
}

// entry returns the instance's entry in the store.
func (i *instance) entry(zone string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining":"0ms","sequence":1,"born":%d}`,
		i.service, i.listener.Addr().String(), zone, instanceSlots, i.born)
}

func (i *instance) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_ = i.server.Shutdown(ctx)
	_ = i.server.Close()
}

// bodyFor returns the body of the instance's answer to a request.
func (i *instance) bodyFor(id string) string {
	return "answer of " + i.id + " to " + id
}

func (i *instance) signature() string {
	return "signed-by-" + i.id
}

func (i *instance) load() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,%d", min(i.running, instanceSlots), max(0, i.running-instanceSlots), instanceSlots, int(100*max(1, i.slow)))
}

func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Load", i.load())
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", i.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e := r.Header.Get("Expected-Instance"); e != "" && e != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if i.rejectsEarly() {
		i.rejectEarly(w, r, id)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		i.record.logf("instance %s: request %s broke off in its body after %d bytes, not run", i.id, id, len(b))
		panic(http.ErrAbortHandler)
	}
	spoiled := i.begin(r, id, string(b))
	time.Sleep(i.workTime())
	i.mu.Lock()
	i.running--
	i.mu.Unlock()
	h.Set("Server-Signature", i.signature())
	if spoiled {
		i.writeSpoiled(w, id)
		return
	}
	if i.trailers {
		i.writeWithTrailer(w, id)
		return
	}
	_, _ = io.WriteString(w, i.bodyFor(id))
}

// begin records a run and reports whether its answer is to be spoiled.
func (i *instance) begin(r *http.Request, id, body string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running++
	i.answers++
	e := execution{service: i.service, instance: i.id, requestID: id, method: r.Method, path: r.URL.RequestURI(), tenant: r.Header.Get("Tenant-Name"), body: body, status: http.StatusOK}
	e.spoiled = i.spoilEvery > 0 && i.answers%i.spoilEvery == 0
	i.runs = append(i.runs, e)
	i.record.logf("instance %s: runs %s %s %s tenant=%s body=%d bytes %s spoiled=%t", i.id, id, e.method, e.path, e.tenant, len(body), digest(body), e.spoiled)
	return e.spoiled
}

// writeSpoiled writes an answer with one wrong byte: the first digit of its status
// is 0, so that these bytes are not an answer. The connection stays open.
func (i *instance) writeSpoiled(w http.ResponseWriter, id string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	b := i.bodyFor(id)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 000 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, i.signature(), len(b), b)
	time.AfterFunc(5*time.Second, func() { _ = c.Close() })
}

// executions returns what all instances ran, by the ID of the request.
func (d *deployment) executions() map[string][]execution {
	m := map[string][]execution{}
	for _, i := range d.instances {
		i.mu.Lock()
		for _, e := range i.runs {
			m[e.requestID] = append(m[e.requestID], e)
		}
		i.mu.Unlock()
	}
	return m
}

// find returns the instance with a signature, or nil.
func (d *deployment) find(signature string) *instance {
	for _, i := range d.instances {
		if i.signature() == signature {
			return i
		}
	}
	return nil
}

func digest(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:4])
}

// rejectsEarly reports whether the next request is to be rejected before its body is
// in.
func (i *instance) rejectsEarly() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.requests++
	return i.rejectEvery > 0 && i.requests%i.rejectEvery == 0
}

// rejectEarly rejects a request before its body is in, keeps the connection and reads
// on.
func (i *instance) rejectEarly(w http.ResponseWriter, r *http.Request, id string) {
	c := http.NewResponseController(w)
	_ = c.EnableFullDuplex()
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = c.Flush()
	i.record.logf("instance %s: rejects %s with 503 and Not-Executed before its body is in, does not run it", i.id, id)
	_, _ = io.Copy(io.Discard, r.Body)
}

// setTrouble calls f for the first n instances.
func (d *deployment) setTrouble(n int, f func(i *instance)) {
	for _, i := range d.instances[:n] {
		i.mu.Lock()
		f(i)
		i.mu.Unlock()
	}
	d.record.logf("trouble begins or ends at %d of %d instances", n, len(d.instances))
}

// workTime returns how long the next request takes.
func (i *instance) workTime() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Duration(float64(cmp.Or(i.work, workTime)) * max(1, i.slow))
}

// setSlow makes the work of all instances of a service take x times as long.
func (d *deployment) setSlow(service string, x float64) {
	for _, i := range d.instances {
		if i.service == service {
			i.mu.Lock()
			i.slow = x
			i.mu.Unlock()
		}
	}
	d.record.logf("trouble: work takes %g times as long at all instances of %s", x, service)
}

// trailerFields are the fields that an instance sends behind its answer.
var trailerFields = []string{"Digest", "Server-Timing"}

// writeWithTrailer writes an answer in chunks, with its digest and other fields in
// the trailer (RFC 9110, section 6.5).
func (i *instance) writeWithTrailer(w http.ResponseWriter, id string) {
	h, b := w.Header(), i.bodyFor(id)
	for _, n := range []string{"Cache-Control", "Content-Language", "Etag", "Last-Modified", "Vary", "Via", "Accept-Ranges", "Expires"} {
		h.Set(n, "x")
	}
	h["Trailer"] = trailerFields
	_, _ = io.WriteString(w, b)
	_ = http.NewResponseController(w).Flush()
	for _, n := range trailerFields {
		h.Set(n, digest(n+b))
	}
}
