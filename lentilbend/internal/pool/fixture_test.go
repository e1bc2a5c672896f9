package pool

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// clock is a time source that moves only by advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// server is a backend server that answers each request at once, except that one
// for /late is answered after late is closed. It sends the path of each request
// to received.
type server struct {
	*httptest.Server
	late     chan struct{}
	received chan string
}

func newServer() *server {
	s := &server{late: make(chan struct{}), received: make(chan string, 100)}
	s.Server = httptest.NewServer(s)
	DeferCleanup(s.Config.Close)
	return s
}

// ServeHTTP answers with an empty body.
func (s *server) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	s.received <- r.URL.Path
	if r.URL.Path == "/late" {
		<-s.late
	}
}

// fixture is a pool of connections to a test server, with its own clock.
type fixture struct {
	*clock
	*server
	set  *Set
	pool *Pool
}

func newFixture(maxConns int) *fixture {
	f := &fixture{clock: &clock{now: time.Unix(1000, 0)}, server: newServer()}
	f.set = New(func(netip.AddrPort) int { return maxConns })
	f.set.Now = f.Now
	f.set.MinIdle = 0
	f.pool = f.set.Pool(netip.MustParseAddrPort(f.Listener.Addr().String()))
	DeferCleanup(f.set.shutDown)
	return f
}

func (f *fixture) take() *Conn {
	GinkgoHelper()
	c, err := f.pool.Take(context.Background(), true)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// send sends a request over c and records the answer. Without a deadline in i
// the request has an hour.
func (f *fixture) send(c *Conn, path string, i RequestInfo) error {
	r, err := http.NewRequest("GET", "http://server"+path, nil)
	Expect(err).NotTo(HaveOccurred())
	if i.Deadline.IsZero() {
		i.Deadline = f.Now().Add(time.Hour)
	}
	a, err := c.RoundTrip(r, i)
	if err != nil {
		return err
	}
	c.RecordAnswer(c.TimeToFirstByte())
	return a.Body.Close()
}

// serveOne sends a request over a new or idle connection and releases it.
func (f *fixture) serveOne(path string) {
	GinkgoHelper()
	c := f.take()
	Expect(f.send(c, path, RequestInfo{})).To(Succeed())
	c.Release()
}

// startSilent starts a request that gets no answer until late is closed. The
// returned channel is closed when the request has ended.
func (f *fixture) startSilent() chan struct{} {
	GinkgoHelper()
	c := f.take()
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(f.send(c, "/late", RequestInfo{})).To(Succeed())
		c.Release()
	}()
	DeferCleanup(func() { Eventually(done).Should(BeClosed()) })
	Eventually(f.received).Should(Receive(Equal("/late")))
	return done
}

// openTwoIdle leaves two idle connections in the pool.
func (f *fixture) openTwoIdle() {
	GinkgoHelper()
	a, b := f.take(), f.take()
	for _, c := range []*Conn{a, b} {
		Expect(f.send(c, "/now", RequestInfo{})).To(Succeed())
		c.Release()
	}
}
