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

// closesSecond answers the first request on it and closes the connection after
// the second was read.
func closesSecond(c net.Conn, n int, r *http.Request, body string) bool {
	return n == 1 && says(okAnswer)(c, n, r, body)
}

// closesThird answers the first request, is silent on the second and closes the
// connection after the third.
func closesThird(c net.Conn, n int, r *http.Request, body string) bool {
	switch n {
	case 1:
		return says(okAnswer)(c, n, r, body)
	case 2:
		return true
	}
	return false
}

// deadServer returns an address at which nothing listens. The port stays taken,
// so that no other server gets it.
func deadServer() netip.AddrPort {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = unix.Close(fd) })
	loopback := [4]byte{127, 0, 0, 1}
	Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback})).To(Succeed())
	a, err := unix.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(a.(*unix.SockaddrInet4).Port))
}

var _ = Describe("at most once", func() {
	DescribeTable("never repeats work that is not idempotent by the table",
		func(method, body string, header ...string) {
			s, other := newServer(closesSecond), newServer(says(okAnswer))
			e := newEntry(s.address(), other.address())
			a, _ := e.do(method, "/sale/1", body, header...)
			Expect(a.StatusCode).To(Equal(200))
			a, _ = e.do(method, "/sale/2", body, header...)
			refused(a, 502, exchange.RunUnknown)
			Expect(s.runs()).To(Equal(2))
			Expect(other.runs()).To(BeZero())
		},
		Entry("on a reused connection", "POST", "x"),
		Entry("without a body", "POST", ""),
		Entry("with a safe method", "GET", ""),
		Entry("with Idempotency-Key", "POST", "x", "Idempotency-Key", "1"),
		Entry("with X-Idempotency-Key", "POST", "x", "X-Idempotency-Key", "1"),
		Entry("with GET and Idempotency-Key", "GET", "", "Idempotency-Key", "1"),
	)

	It("uses another connection when the server closed an idle one", func() {
		s := newServer(saysAndCloses(okAnswer))
		e := newEntry(s.address())
		for range 20 {
			a, _ := e.do("POST", "/sale/1", "x")
			Expect(a.StatusCode).To(Equal(200))
			<-s.ended
		}
		Expect(s.runs()).To(Equal(20))
	})

	It("goes to another server when nothing can be sent", func() {
		s := newServer(says(okAnswer))
		e := newEntry(deadServer(), s.address())
		a, _ := e.do("POST", "/sale/1", "x")
		Expect(a.StatusCode).To(Equal(200))
		e = newEntry(deadServer())
		a, _ = e.do("POST", "/sale/1", "x")
		refused(a, 503, exchange.NotRun)
	})

	It("goes to another server when the first says that it did not start", func() {
		sheds := "HTTP/1.1 503 Busy\r\nServer-Run: not-run\r\nContent-Length: 0\r\n\r\n"
		s, other := newServer(says(sheds)), newServer(says(okAnswer))
		a, _ := newEntry(s.address(), other.address()).do("POST", "/sale/1", "x")
		Expect(a.StatusCode).To(Equal(200))
		r, body := other.last()
		Expect(body).To(Equal("x"))
		Expect(r.Header.Get(exchange.AttemptHeader)).To(Equal("2"))
		a, _ = newEntry(s.address()).do("POST", "/sale/1", "x")
		refused(a, 503, exchange.NotRun)
	})

	It("repeats idempotent work only near the fault and within the budget", func() {
		s, other := newServer(saysAndCloses("")), newServer(says(okAnswer))
		e := newEntry(s.address(), other.address())
		a, _ := e.do("GET", "/read/1", "", exchange.AttemptHeader, "2")
		refused(a, 502, exchange.RunUnknown)
		Expect(other.runs()).To(BeZero())
		statuses := map[int]int{}
		for range 40 {
			a, _ := e.do("GET", "/read/1", "")
			statuses[a.StatusCode]++
		}
		// 10 at the start, then one for ten successes.
		Expect(statuses).To(Equal(map[int]int{200: 11, 502: 29}))
	})

	It("leaves a silent server for another only with idempotent work", func() {
		s, other := newServer(closesThird), newServer(says(okAnswer))
		e := newEntry(s.address(), other.address())
		now := time.Now()
		var ahead atomic.Int64
		e.forwarder.Pools.Now = func() time.Time { return now.Add(time.Duration(ahead.Load())) }
		e.do("GET", "/read/1", "")
		go func() {
			for s.runs() < 2 {
				time.Sleep(time.Millisecond)
			}
			ahead.Add(int64(2 * time.Second))
			e.forwarder.Pools.Sweep(e.forwarder.Pools.Now())
		}()
		a, _ := e.do("GET", "/read/2", "")
		Expect(a.StatusCode).To(Equal(200))
		Expect(other.runs()).To(Equal(1))
		<-s.ended
		a, _ = e.do("POST", "/sale/3", "x")
		refused(a, 502, exchange.RunUnknown)
		Expect(other.runs()).To(Equal(1))
	})

	It("does not wait for 100 Continue and sends the body once", func() {
		s := newServer(says(okAnswer))
		e := newEntry(s.address())
		a, _ := e.do("POST", "/sale/1", strings.Repeat("x", 100_000), "Expect", "100-continue")
		Expect(a.StatusCode).To(Equal(200))
		r, body := s.last()
		Expect(r.Header).NotTo(HaveKey("Expect"))
		Expect(body).To(HaveLen(100_000))
		Expect(s.runs()).To(Equal(1))
	})

	It("speaks only HTTP/1.1, which has no GOAWAY", func() {
		s := newServer(says(okAnswer))
		newEntry(s.address()).do("POST", "/sale/1", "x")
		r, _ := s.last()
		Expect(r.Proto).To(Equal("HTTP/1.1"))
	})

	It("ends the work at the deadline, and says that it may have run", func() {
		s := newServer(func(net.Conn, int, *http.Request, string) bool { return true })
		a, _ := newEntry(s.address()).do("POST", "/sale/1", "x", exchange.TimeoutHeader, "100ms")
		refused(a, 504, exchange.RunUnknown)
		<-s.ended
		Expect(s.runs()).To(Equal(1))
		r, _ := s.last()
		left, ok, err := (&exchange.Exchange{Request: r}).Timeout()
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(left.Milliseconds()).To(BeNumerically("<", 100))
	})

	It("does not send what a pause held up after the choice", func() {
		s := newServer(says(okAnswer))
		e := newEntry(s.address())
		var now atomic.Int64
		e.forwarder.Now = func() time.Time { return time.Now().Add(time.Duration(now.Load())) }
		e.forwarder.Chooser = pausing{pause: func() { now.Add(int64(1100 * time.Millisecond)) }}
		a, _ := e.do("GET", "/read/1", "")
		refused(a, 503, exchange.NotRun)
		Expect(s.runs()).To(BeZero())
	})

	It("says that an expired request did not run", func() {
		s := newServer(says(okAnswer))
		a, _ := newEntry(s.address()).do("POST", "/sale/1", "x", exchange.TimeoutHeader, "0s")
		refused(a, 504, exchange.NotRun)
		Expect(s.runs()).To(BeZero())
	})

	It("ends the work when the caller goes away", func() {
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
		Eventually(s.ended).Should(Receive())
	})
})
