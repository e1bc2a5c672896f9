package serve

import (
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// fakeStore is the deployment's store: read only over HTTP, with one revision.
type fakeStore struct {
	*httptest.Server

	mu       sync.Mutex
	revision int
	items    map[string]fakeItem
	changed  chan struct{}
	// fault makes a call fail: "busy", "forgotten" or "silent".
	fault string
	calls int
}

type fakeItem struct {
	text     string
	revision int
	deleted  bool
}

func newFakeStore() *fakeStore {
	s := &fakeStore{items: map[string]fakeItem{}, changed: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *fakeStore) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func (s *fakeStore) put(key, text string) { s.write(key, fakeItem{text: text}) }
func (s *fakeStore) remove(key string)    { s.write(key, fakeItem{deleted: true}) }

func (s *fakeStore) write(key string, i fakeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.revision = s.revision
	s.items[key] = i
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) fail(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *fakeStore) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	switch {
	case fault == "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == "silent":
		<-r.Context().Done()
		return
	case fault == "forgotten" && r.URL.Path == "/kv-watch":
		w.WriteHeader(http.StatusGone)
		return
	}
	if r.URL.Path == "/kv-range" {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"items":[%s],"has_more":false,"at_revision":%d}`, s.since(0, false), s.revision)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := s.since(after, true), s.revision, s.changed
		s.mu.Unlock()
		if events == "" {
			select {
			case <-changed:
				continue
			case <-end:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = fmt.Fprintf(w, `{"events":[%s],"at_revision":%d}`, events, revision)
		return
	}
}

// since returns the items changed after a revision; mu is held.
func (s *fakeStore) since(after int, deleted bool) string {
	var t []string
	for k, i := range s.items {
		switch {
		case i.revision <= after || i.deleted && !deleted:
		case i.deleted:
			t = append(t, fmt.Sprintf(`{"key":%q,"revision":%d,"deleted":true}`, k, i.revision))
		default:
			t = append(t, fmt.Sprintf(`{"key":%q,"value":%q,"revision":%d}`, k,
				base64.StdEncoding.EncodeToString([]byte(i.text)), i.revision))
		}
	}
	return strings.Join(t, ",")
}

// fakeServer is a backend server of the deployment.
type fakeServer struct {
	*httptest.Server
	name string

	mu   sync.Mutex
	mode string
	runs []string
}

func newFakeServer(name string) *fakeServer {
	s := &fakeServer{name: name}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *fakeServer) set(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

func (s *fakeServer) ran() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.runs...)
}

func (s *fakeServer) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	h := w.Header()
	h.Set("Instance-Load", "0,0,6,100")
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.name)
		return
	}
	if r.Header.Get("Expected-Instance") != s.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, r.Header.Get("Request-Id")+" "+r.Header.Get("Tenant-Name"))
	s.mu.Unlock()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	switch mode {
	case "lost":
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		return
	case "slow":
		select {
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
	h.Set("Server-Signature", "signed-by-"+s.name)
	_, _ = w.Write([]byte("body of " + s.name))
}

func (s *fakeServer) entry(service, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":6,"state":%q,"cold_remaining":"0ms","sequence":1}`,
		service, s.Listener.Addr().String(), state)
}
