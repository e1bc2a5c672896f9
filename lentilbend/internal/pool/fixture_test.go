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

// clock is a time that moves only when told.
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

// server answers a request when the path is /now, and /late once told to.
type server struct {
	*httptest.Server
	late chan struct{}
	read chan string
}

func newServer() *server {
	s := &server{late: make(chan struct{}), read: make(chan string, 100)}
	s.Server = httptest.NewServer(s)
	DeferCleanup(s.Config.Close)
	return s
}

// ServeHTTP answers with an empty body.
func (s *server) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	s.read <- r.URL.Path
	if r.URL.Path == "/late" {
		<-s.late
	}
}

// fixture is a pool with a clock of its own.
type fixture struct {
	*clock
	*server
	set  *Set
	pool *Pool
}

func newFixture(allowance int) *fixture {
	f := &fixture{clock: &clock{now: time.Unix(1000, 0)}, server: newServer()}
	f.set = New(func(netip.AddrPort) int { return allowance })
	f.set.Now = f.Now
	f.set.Ahead = 0
	f.pool = f.set.Pool(netip.MustParseAddrPort(f.Listener.Addr().String()))
	DeferCleanup(f.set.retire)
	return f
}

func (f *fixture) take() *Conn {
	GinkgoHelper()
	c, err := f.pool.Take(context.Background(), true)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// trip sends a request over c and returns its error.
func (f *fixture) trip(c *Conn, path string, t Trip) error {
	r, err := http.NewRequest("GET", "http://server"+path, nil)
	Expect(err).NotTo(HaveOccurred())
	if t.Deadline.IsZero() {
		t.Deadline = f.Now().Add(time.Hour)
	}
	a, err := c.RoundTrip(r, t)
	if err != nil {
		return err
	}
	c.Answered(c.FirstByte())
	return a.Body.Close()
}

// serve sends a request over a new or idle connection and gives it back.
func (f *fixture) serveOne(path string) {
	GinkgoHelper()
	c := f.take()
	Expect(f.trip(c, path, Trip{})).To(Succeed())
	c.Release()
}

// silent starts a request that gets no answer until late is closed.
func (f *fixture) silent() chan struct{} {
	GinkgoHelper()
	c := f.take()
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(f.trip(c, "/late", Trip{})).To(Succeed())
		c.Release()
	}()
	DeferCleanup(func() { Eventually(done).Should(BeClosed()) })
	Eventually(f.read).Should(Receive(Equal("/late")))
	return done
}

// twoIdle leaves two idle connections.
func (f *fixture) twoIdle() {
	GinkgoHelper()
	a, b := f.take(), f.take()
	for _, c := range []*Conn{a, b} {
		Expect(f.trip(c, "/now", Trip{})).To(Succeed())
		c.Release()
	}
}
