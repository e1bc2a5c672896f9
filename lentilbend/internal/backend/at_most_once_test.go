package backend_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"lentilbend.example/lentilbend/internal/exchange"
)

// closeOnSecond answers the first request and closes the connection after reading
// the second.
func closeOnSecond(c net.Conn, n int, r *http.Request, body string) bool {
	return n == 1 && respond(okAnswer)(c, n, r, body)
}

// closeOnThird answers the first request, sends nothing on the second and closes
// the connection after reading the third.
func closeOnThird(c net.Conn, n int, r *http.Request, body string) bool {
	switch n {
	case 1:
		return respond(okAnswer)(c, n, r, body)
	case 2:
		return true
	}
	return false
}

// closedPort returns an address at which nothing listens. The port stays bound,
// so that no other server gets it.
func closedPort() netip.AddrPort {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = unix.Close(fd) })
	loopback := [4]byte{127, 0, 0, 1}
	Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback})).To(Succeed())
	a, err := unix.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(a.(*unix.SockaddrInet4).Port))
}

var _ = Describe("at-most-once delivery", func() {
	DescribeTable("never repeats a request whose route is not idempotent",
		func(method, body string, header ...string) {
			s, other := newServer(closeOnSecond), newServer(respond(okAnswer))
			e := newEntry(s.address(), other.address())
			a, _ := e.do(method, "/sale/1", body, header...)
			Expect(a.StatusCode).To(Equal(200))
			a, _ = e.do(method, "/sale/2", body, header...)
			expectRefusal(a, 502, exchange.RunUnknown)
			Expect(s.runCount()).To(Equal(2))
			Expect(other.runCount()).To(BeZero())
		},
		Entry("on a reused connection", "POST", "x"),
		Entry("without a body", "POST", ""),
		Entry("with a safe method", "GET", ""),
		Entry("with Idempotency-Key", "POST", "x", "Idempotency-Key", "1"),
		Entry("with X-Idempotency-Key", "POST", "x", "X-Idempotency-Key", "1"),
		Entry("with GET and Idempotency-Key", "GET", "", "Idempotency-Key", "1"),
	)

	It("uses another connection when the server closed an idle one", func() {
		s := newServer(respondAndClose(okAnswer))
		e := newEntry(s.address())
		for range 20 {
			a, _ := e.do("POST", "/sale/1", "x")
			Expect(a.StatusCode).To(Equal(200))
			<-s.closed
		}
		Expect(s.runCount()).To(Equal(20))
	})

	It("uses another server when nothing can be sent to the first", func() {
		s := newServer(respond(okAnswer))
		e := newEntry(closedPort(), s.address())
		a, _ := e.do("POST", "/sale/1", "x")
		Expect(a.StatusCode).To(Equal(200))
		e = newEntry(closedPort())
		a, _ = e.do("POST", "/sale/1", "x")
		expectRefusal(a, 503, exchange.NotRun)
	})

	It("uses another server when the first says that it did not start the request", func() {
		shedAnswer := "HTTP/1.1 503 Busy\r\nServer-Run: not-run\r\nContent-Length: 0\r\n\r\n"
		s, other := newServer(respond(shedAnswer)), newServer(respond(okAnswer))
		a, _ := newEntry(s.address(), other.address()).do("POST", "/sale/1", "x")
		Expect(a.StatusCode).To(Equal(200))
		r, body := other.lastRequest()
		Expect(body).To(Equal("x"))
		Expect(r.Header.Get(exchange.AttemptHeader)).To(Equal("2"))
		a, _ = newEntry(s.address()).do("POST", "/sale/1", "x")
		expectRefusal(a, 503, exchange.NotRun)
	})

	It("retries an idempotent request only on its caller's first attempt and within the budget", func() {
		s, other := newServer(respondAndClose("")), newServer(respond(okAnswer))
		e := newEntry(s.address(), other.address())
		a, _ := e.do("GET", "/read/1", "", exchange.AttemptHeader, "2")
		expectRefusal(a, 502, exchange.RunUnknown)
		Expect(other.runCount()).To(BeZero())
		statuses := map[int]int{}
		for range 40 {
			a, _ := e.do("GET", "/read/1", "")
			statuses[a.StatusCode]++
		}
		// The budget begins with 10 retries and gains one per ten successes.
		Expect(statuses).To(Equal(map[int]int{200: 11, 502: 29}))
	})

	It("reroutes only an idempotent request from a silent server", func() {
		s, other := newServer(closeOnThird), newServer(respond(okAnswer))
		e := newEntry(s.address(), other.address())
		now := time.Now()
		var offset atomic.Int64
		e.forwarder.Pools.Now = func() time.Time { return now.Add(time.Duration(offset.Load())) }
		e.do("GET", "/read/1", "")
		go func() {
			for s.runCount() < 2 {
				time.Sleep(time.Millisecond)
			}
			offset.Add(int64(2 * time.Second))
			e.forwarder.Pools.Sweep(e.forwarder.Pools.Now())
		}()
		a, _ := e.do("GET", "/read/2", "")
		Expect(a.StatusCode).To(Equal(200))
		Expect(other.runCount()).To(Equal(1))
		<-s.closed
		a, _ = e.do("POST", "/sale/3", "x")
		expectRefusal(a, 502, exchange.RunUnknown)
		Expect(other.runCount()).To(Equal(1))
	})

	It("does not wait for 100 Continue and sends the body once", func() {
		s := newServer(respond(okAnswer))
		e := newEntry(s.address())
		a, _ := e.do("POST", "/sale/1", strings.Repeat("x", 100_000), "Expect", "100-continue")
		Expect(a.StatusCode).To(Equal(200))
		r, body := s.lastRequest()
		Expect(r.Header).NotTo(HaveKey("Expect"))
		Expect(body).To(HaveLen(100_000))
		Expect(s.runCount()).To(Equal(1))
	})

	It("sends requests to servers only over HTTP/1.1, which has no GOAWAY", func() {
		s := newServer(respond(okAnswer))
		newEntry(s.address()).do("POST", "/sale/1", "x")
		r, _ := s.lastRequest()
		Expect(r.Proto).To(Equal("HTTP/1.1"))
	})

	It("closes the server connection at the deadline and reports that the request may have run", func() {
		s := newServer(func(net.Conn, int, *http.Request, string) bool { return true })
		a, _ := newEntry(s.address()).do("POST", "/sale/1", "x", exchange.TimeoutHeader, "100ms")
		expectRefusal(a, 504, exchange.RunUnknown)
		<-s.closed
		Expect(s.runCount()).To(Equal(1))
		r, _ := s.lastRequest()
		left, ok, err := (&exchange.Exchange{Request: r}).Timeout()
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(left.Milliseconds()).To(BeNumerically("<", 100))
	})

	It("does not send a request when a long pause follows the choice of its server", func() {
		s := newServer(respond(okAnswer))
		e := newEntry(s.address())
		var offset atomic.Int64
		e.forwarder.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
		e.forwarder.Chooser = pausing{pause: func() { offset.Add(int64(1100 * time.Millisecond)) }}
		a, _ := e.do("GET", "/read/1", "")
		expectRefusal(a, 503, exchange.NotRun)
		Expect(s.runCount()).To(BeZero())
	})

	It("reports that a request with an expired timeout did not run", func() {
		s := newServer(respond(okAnswer))
		a, _ := newEntry(s.address()).do("POST", "/sale/1", "x", exchange.TimeoutHeader, "0s")
		expectRefusal(a, 504, exchange.NotRun)
		Expect(s.runCount()).To(BeZero())
	})

	It("closes the server connection when the caller goes away", func() {
		began := make(chan struct{})
		s := newServer(func(net.Conn, int, *http.Request, string) bool {
			close(began)
			return true
		})
		e := newEntry(s.address())
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-began
			cancel()
		}()
		r, err := http.NewRequestWithContext(ctx, "POST", e.URL+"/sale/1", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+goodKey)
		_, err = e.Client().Do(r)
		Expect(err).To(MatchError(context.Canceled))
		Eventually(s.closed).Should(Receive())
	})
})
