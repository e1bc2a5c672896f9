package backend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/pool"
)

// memoryLimit is the default of Limits.Memory, in bytes.
const memoryLimit = 512 << 20

// respondFieldsEndlessly writes start, and then short fields with different names until
// the connection is closed.
func respondFieldsEndlessly(start string) func(net.Conn, int, *http.Request, string) bool {
	return func(c net.Conn, _ int, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, start)
		for i := 0; err == nil; {
			var part []byte
			for range 500 {
				part = fmt.Appendf(part, "%x:\r\n", i)
				i++
			}
			_, err = c.Write(part)
		}
		return false
	}
}

// watchHeap returns the largest size of the heap, in bytes, until done is closed.
func watchHeap(done <-chan struct{}) uint64 {
	var m runtime.MemStats
	largest := uint64(0)
	for {
		runtime.ReadMemStats(&m)
		largest = max(largest, m.HeapAlloc)
		select {
		case <-done:
			return largest
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// endlessTimeout bounds how long an attempt may be held by bytes that are no
// answer. It is below the timeout of the test's routes.
const endlessTimeout = 3 * time.Second

// respondEndlessly returns an answer function that writes start and then part until
// the connection is closed.
func respondEndlessly(start, part string) func(net.Conn, int, *http.Request, string) bool {
	part = strings.Repeat(part, 1+(4<<10)/len(part))
	return func(c net.Conn, _ int, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = io.WriteString(c, part)
		}
		return false
	}
}

var _ = Describe("bytes without end", func() {
	entries := []any{
		Entry("in the status line", "HTTP/1.1 200 ", "x"),
		Entry("in a header line", "HTTP/1.1 200 OK\r\nX: ", "x"),
		Entry("in header fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		Entry("in informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
		Entry("in continued answers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("that are no answer", "", "garbage"),
		Entry("after a refusal", "HTTP/1.1 503 Busy\r\nServer-Run: not-run\r\n\r\n", "x"),
	}

	DescribeTable("do not hold an idempotent request", append([]any{func(start, part string) {
		s := newServer(respondEndlessly(start, part))
		e := newEntry(s.address(), newServer(respond(okAnswer)).address())
		began := time.Now()
		a, b := e.do("GET", "/read/1", "")
		Expect(a.StatusCode).To(Equal(200))
		Expect(b).To(Equal("ok"))
		Expect(time.Since(began)).To(BeNumerically("<", endlessTimeout))
		Eventually(s.closed, "1s").Should(Receive())
	}}, entries...)...)

	DescribeTable("end any other request without a claim that it did not run, unless the server said so", append([]any{func(start, part string) {
		s := newServer(respondEndlessly(start, part))
		e := newEntry(s.address(), newServer(respond(okAnswer)).address())
		a, b := e.do("POST", "/sale/1", "x")
		if strings.Contains(start, "not-run") {
			Expect(b).To(Equal("ok"))
			return
		}
		expectRefusal(a, http.StatusBadGateway, exchange.RunUnknown)
		Eventually(s.closed, "1s").Should(Receive())
	}}, entries...)...)

	DescribeTable("in a body reach the caller as an answer that is cut", func(start, part string) {
		s := newServer(respondEndlessly(start, part))
		e := newEntry(s.address())
		a, err := e.send("GET", "/read/1", "", exchange.TimeoutHeader, "500ms")
		if err != nil {
			return
		}
		defer a.Body.Close()
		_, err = io.Copy(io.Discard, a.Body)
		if a.StatusCode == 200 {
			Expect(err).To(HaveOccurred())
		}
		Eventually(s.closed, "3s").Should(Receive())
	},
		Entry("of unknown length", "HTTP/1.1 200 OK\r\n\r\n", "x"),
		Entry("of chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		Entry("in the line of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1"),
		Entry("in an extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"),
		Entry("in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
	)

	It("in informational answers reach the caller a bounded number of times", func() {
		s := newServer(respondEndlessly("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"))
		e := newEntry(s.address())
		r, err := http.NewRequest("POST", e.URL+"/sale/1", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+goodKey)
		n := 0
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
			Got1xxResponse: func(int, textproto.MIMEHeader) error { n++; return nil },
		}))
		a, err := e.Client().Do(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Body.Close()).To(Succeed())
		Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(n).To(BeNumerically("<=", 16))
	})

	DescribeTable("do not exhaust the memory, however many requests get them", func(answer func(net.Conn, int, *http.Request, string) bool) {
		s := newServer(answer)
		e := newEntry(s.address())
		e.forwarder.Pools = pool.New(func(netip.AddrPort) int { return 200 })
		e.URL = "http://" + startHTTP1(e).String()
		runtime.GC()
		var group sync.WaitGroup
		for range 200 {
			group.Go(func() {
				defer GinkgoRecover()
				a, err := e.send("POST", "/sale/1", "x", exchange.TimeoutHeader, "1s")
				if err != nil {
					return
				}
				defer a.Body.Close()
				// A caller that reads slowly must not make the VM read ahead.
				time.Sleep(500 * time.Millisecond)
				_, err = io.Copy(io.Discard, a.Body)
				Expect(a.StatusCode != 200 || err != nil).To(BeTrue())
			})
		}
		done := make(chan struct{})
		go func() { group.Wait(); close(done) }()
		Expect(watchHeap(done)).To(BeNumerically("<", memoryLimit))
	},
		Entry("in the status line", respondEndlessly("HTTP/1.1 200 ", "x")),
		Entry("in a header line", respondEndlessly("HTTP/1.1 200 OK\r\nX: ", "x")),
		Entry("in a field that is repeated", respondEndlessly("HTTP/1.1 200 OK\r\n", "X:\r\n")),
		Entry("in short fields", respondFieldsEndlessly("HTTP/1.1 200 OK\r\n")),
		Entry("in informational answers", respondEndlessly("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")),
		Entry("that are no answer", respondEndlessly("", "garbage")),
		Entry("in a body of unknown length", respondEndlessly("HTTP/1.1 200 OK\r\n\r\n", "x")),
		Entry("in the line of a chunk", respondEndlessly("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1")),
		Entry("in a trailer", respondFieldsEndlessly("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")),
	)

	It("in a signed dialect no informational answer is passed on: it can't be told from a garbled one", func() {
		s := newServer(respond("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + signedAnswer("200 OK", "", "ok")))
		e := newDeploymentEntry(s.address())
		r, err := http.NewRequest("GET", e.URL+"/read/1", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Header = http.Header{"X-Api-Key": {goodKey}, "Request-Id": {requestID}, "Deadline-Ms": {"2000"}}
		n := 0
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
			Got1xxResponse: func(int, textproto.MIMEHeader) error { n++; return nil },
		}))
		a, err := e.Client().Do(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Body.Close()).To(Succeed())
		Expect(a.StatusCode).To(Equal(200))
		Expect(n).To(BeZero())
	})
})
