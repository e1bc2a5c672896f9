package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"lentilbend.example/platform/platformtest"
)

// slots is how many requests an instance processes at once.
const slots = 6

// run is one execution of a request by an instance.
type run struct {
	id, method, path, body string
	at, end                time.Time
}

// instance is a stand-in of an instance that processes requests for a fixed time.
type instance struct {
	id, service string
	born        time.Time
	listener    net.Listener
	work        time.Duration
	// answer writes the answer to a request instead of the usual one, and reports whether
	// the connection stays open; nil for the usual one.
	answer func(c net.Conn, r *http.Request) bool

	mu       sync.Mutex
	sequence int
	running  int
	runs     []run
	stopped  chan struct{}
}

// newInstance starts an instance and its heartbeats.
func newInstance(store *platformtest.Store, id, service string, work time.Duration) *instance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	i := &instance{id: id, service: service, born: time.Now(), listener: l, work: work, stopped: make(chan struct{})}
	go i.accept()
	i.beat(store)
	go func() {
		t := time.NewTicker(heartbeatInterval)
		defer t.Stop()
		for {
			select {
			case <-i.stopped:
				return
			case <-t.C:
				i.beat(store)
			}
		}
	}()
	return i
}

// beat writes the entry of the instance.
func (i *instance) beat(store *platformtest.Store) {
	i.mu.Lock()
	i.sequence++
	n := i.sequence
	i.mu.Unlock()
	store.Put("servers/"+i.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":%d,"state":"ready","cold_remaining":"0ms","sequence":%d,"born":%d}`,
		i.service, i.listener.Addr(), slots, n, i.born.UnixMilli()))
}

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serve(c)
	}
}

func (i *instance) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !i.respond(c, r, string(body)) {
			return
		}
	}
}

// load returns the load report.
func (i *instance) load() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return fmt.Sprintf("Instance-Load: %d,%d,%d,100\r\n", min(i.running, slots), max(0, i.running-slots), slots)
}

// respond answers a request and reports whether the connection stays open.
func (i *instance) respond(c net.Conn, r *http.Request, body string) bool {
	if r.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", i.id, i.load())
		return err == nil
	}
	id := r.Header.Get("Request-Id")
	if n := r.Header.Get("Expected-Instance"); n != "" && n != i.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, i.id)
		return err == nil
	}
	i.mu.Lock()
	i.running++
	n := len(i.runs)
	i.runs = append(i.runs, run{id: id, method: r.Method, path: r.RequestURI, body: body, at: time.Now()})
	i.mu.Unlock()
	time.Sleep(i.work)
	i.mu.Lock()
	i.running--
	i.runs[n].end = time.Now()
	i.mu.Unlock()
	if i.answer != nil {
		return i.answer(c, r)
	}
	text := i.body(id)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: signed-by-%s\r\n%sContent-Length: %d\r\n\r\n%s",
		id, i.id, i.load(), len(text), text)
	return err == nil
}

// body returns the body of the answer to a request.
func (i *instance) body(id string) string { return "body of " + i.id + " for " + id + "\n" }

// executions returns the runs so far.
func (i *instance) executions() []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]run(nil), i.runs...)
}

func (i *instance) close() {
	close(i.stopped)
	_ = i.listener.Close()
}
