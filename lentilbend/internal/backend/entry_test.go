package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/backend"
	"lentilbend.example/lentilbend/internal/caller"
	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/filter/key"
	"lentilbend.example/lentilbend/internal/filter/route"
	"lentilbend.example/lentilbend/internal/pool"
)

const (
	goodKey     = "the-good-key"
	bodyLimit   = 1 << 20
	headerLimit = 4 << 10
	okAnswer    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// server is a backend server on a plain TCP listener. Each request that it has
// read whole counts as run by its application.
type server struct {
	listener net.Listener
	// answer is called after request n (from 1, over all connections) was
	// read. It returns false to close the connection.
	answer func(c net.Conn, n int, r *http.Request, body string) bool
	// closed receives a value when a connection has ended.
	closed chan struct{}

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func newServer(answer func(c net.Conn, n int, r *http.Request, body string) bool) *server {
	s := &server{answer: answer, closed: make(chan struct{}, 100)}
	s.listener = listen(s.serve)
	return s
}

// listen calls serve for each connection to a new listener.
func listen(serve func(net.Conn)) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l
}

// respond returns an answer function that writes text and keeps the connection
// open.
func respond(text string) func(net.Conn, int, *http.Request, string) bool {
	return func(c net.Conn, _ int, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// respondAndClose returns an answer function that writes text and closes the
// connection.
func respondAndClose(text string) func(net.Conn, int, *http.Request, string) bool {
	return func(c net.Conn, _ int, _ *http.Request, _ string) bool {
		_, _ = io.WriteString(c, text)
		return false
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.closed <- struct{}{}
	}()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		t, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.bodies = append(s.bodies, string(t))
		n := len(s.requests)
		s.mu.Unlock()
		if !s.answer(c, n, r, string(t)) {
			return
		}
	}
}

func (s *server) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// runCount returns how many requests were read.
func (s *server) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// lastRequest returns the latest request and its body.
func (s *server) lastRequest() (*http.Request, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[len(s.requests)-1], s.bodies[len(s.bodies)-1]
}

// entry is an entry VM that chooses its servers in the order of the table.
type entry struct {
	*httptest.Server
	table     *table.Table
	forwarder *backend.Forwarder
}

func newEntry(servers ...netip.AddrPort) *entry {
	e := &entry{table: newTable(goodKey, servers...)}
	e.forwarder = &backend.Forwarder{
		Pools:     pool.New(func(netip.AddrPort) int { return 10 }),
		Chooser:   inOrder{},
		BodyLimit: bodyLimit,
	}
	h := &caller.Handler{
		Table:       func() *table.Table { return e.table },
		Next:        exchange.Chain(e.forwarder, route.Filter{}, key.Filter{}),
		HeaderLimit: headerLimit,
	}
	e.Server = httptest.NewUnstartedServer(h)
	e.Config.Protocols = new(http.Protocols)
	e.Config.Protocols.SetHTTP1(true)
	e.Config.Protocols.SetUnencryptedHTTP2(true)
	e.Start()
	DeferCleanup(e.Close)
	return e
}

// newTable returns a table with the routes /read/ (idempotent), /sale/ (not
// idempotent) and /open/ (without a key).
func newTable(k string, servers ...netip.AddrPort) *table.Table {
	var ss strings.Builder
	for _, s := range servers {
		fmt.Fprintf(&ss, "[[Server]]\nAddress = %q\nDataCentre = \"a\"\n", s)
	}
	route := func(name string, idempotent, open bool) string {
		return fmt.Sprintf("[[Route]]\nPrefix = \"/%s/\"\nService = \"till\"\nKind = %q\nIdempotent = %t\nOpen = %t\nTimeout = \"5s\"\n",
			name, name, idempotent, open)
	}
	t, fs := table.Parse(1, []table.Value{
		{Name: table.DataCentresValue, Revision: 1, Text: "[[DataCentre]]\nName = \"a\"\nRegion = \"r\"\nState = \"In\"\n"},
		{Name: table.RoutesValue, Revision: 1, Text: route("read", true, false) + route("sale", false, false) + route("open", false, true)},
		{Name: table.WorkspacesValue, Revision: 1, Text: fmt.Sprintf("[[Workspace]]\nName = \"w\"\nKeyDigests = [%q]\n", table.NewDigest(k))},
		{Name: table.ServicesPrefix + "till", Revision: 1, Text: "Slots = 6\nConnections = 200\nColdRate = 20.0\nColdBurst = 4.0\nColdFor = \"20s\"\n" + ss.String()},
	})
	Expect(fs).To(BeEmpty())
	return t
}

// do sends a request with goodKey and returns the answer and its body. header
// alternates names and values.
func (e *entry) do(method, path, body string, header ...string) (*http.Response, string) {
	a, err := e.send(method, path, body, header...)
	Expect(err).NotTo(HaveOccurred())
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	Expect(err).NotTo(HaveOccurred())
	return a, string(b)
}

// send is like do, but returns errors and leaves the body to be read.
func (e *entry) send(method, path, body string, header ...string) (*http.Response, error) {
	r, err := http.NewRequest(method, e.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+goodKey)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return e.Client().Do(r)
}

// expectRefusal expects a refusal with a status and a value of Lentilbend-Run.
func expectRefusal(a *http.Response, status int, run exchange.Run) {
	GinkgoHelper()
	Expect(a.StatusCode).To(Equal(status))
	Expect(a.Header.Get(exchange.RunHeader)).To(Equal(string(run)))
	Expect(a.Header.Get("Content-Type")).To(Equal("application/problem+json"))
}
