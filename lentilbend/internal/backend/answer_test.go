package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/exchange"
)

var _ = Describe("answers", func() {
	It("refuses a short answer that breaks off, or retries on another server", func() {
		short := respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
		s, other := newServer(short), newServer(respond(okAnswer))
		e := newEntry(s.address(), other.address())
		a, _ := e.do("GET", "/sale/1", "")
		expectRefusal(a, 502, exchange.RunUnknown)
		a, body := e.do("GET", "/read/1", "")
		Expect(a.StatusCode).To(Equal(200))
		Expect(body).To(Equal("ok"))
	})

	DescribeTable("aborts the connection or stream when an answer breaks off", func(head string, h2 bool) {
		s := newServer(respondAndClose(head + strings.Repeat("x", 50_000)))
		e := newEntry(s.address())
		t := &http.Transport{Protocols: new(http.Protocols)}
		t.Protocols.SetHTTP1(!h2)
		t.Protocols.SetUnencryptedHTTP2(h2)
		DeferCleanup(t.CloseIdleConnections)
		e.Client().Transport = t
		a, err := e.send("GET", "/read/1", "")
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		_, err = io.ReadAll(a.Body)
		Expect(err).To(HaveOccurred())
	},
		Entry("HTTP/1.1, by length", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", false),
		Entry("HTTP/1.1, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n", false),
		Entry("HTTP/2, by length", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", true),
		Entry("HTTP/2, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n", true),
	)

	DescribeTable("passes on answers without a body", func(method, head string, status int, length string) {
		e := newEntry(newServer(respond(head)).address())
		for range 3 {
			a, body := e.do(method, "/read/1", "")
			Expect(a.StatusCode).To(Equal(status))
			Expect(body).To(BeEmpty())
			Expect(a.Header.Get("Content-Length")).To(Equal(length))
		}
	},
		Entry("HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n", 200, "70"),
		Entry("204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""),
		Entry("304", "GET", "HTTP/1.1 304 Not Modified\r\nEtag: \"1\"\r\n\r\n", 304, ""),
		Entry("empty", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "0"),
	)

	// Guards against bytes that are no answer, or a success that the server never gave, in
	// place of an answer whose status line is wrong.
	DescribeTable("passes on no answer whose status line is not that of a final answer", func(line, extra string) {
		for _, framing := range []string{"Content-Length: 2\r\n\r\nok", "Content-Length: 2\r\n\r\nok\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
			s := newServer(respond(line + "\r\nRequest-Id: " + requestID + "\r\nServer-Signature: s1\r\n" + extra + framing))
			for _, e := range []*entry{newEntry(s.address()), newDeploymentEntry(s.address())} {
				a, b := e.request("POST", "/sale/1", "Authorization", "Bearer "+goodKey)
				Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
				Expect(a.Header).NotTo(HaveKey("Server-Signature"))
				Expect(b).To(ContainSubstring(string(exchange.RunUnknown)))
			}
			Expect(s.runCount()).To(Equal(2))
		}
	},
		Entry("000", "HTTP/1.1 000 OK", ""),
		Entry("000, said not to have run", "HTTP/1.1 000 OK", "Not-Executed: 1\r\nServer-Run: not-run\r\n"),
		Entry("099", "HTTP/1.1 099 OK", ""),
		Entry("-00", "HTTP/1.1 -00 OK", ""),
		Entry("+20", "HTTP/1.1 +20 OK", ""),
		Entry("100 with a body", "HTTP/1.1 100 OK", ""),
		Entry("101", "HTTP/1.1 101 OK", ""),
		Entry("199 with a body", "HTTP/1.1 199 OK", ""),
		Entry("204 with a body", "HTTP/1.1 204 OK", ""),
		Entry("600", "HTTP/1.1 600 OK", ""),
		Entry("999", "HTTP/1.1 999 OK", ""),
		Entry("2000", "HTTP/1.1 2000 OK", ""),
		Entry("20", "HTTP/1.1 20 OK", ""),
		Entry("no number", "HTTP/1.1 2x0 OK", ""),
		Entry("HTTP/0.1", "HTTP/0.1 200 OK", ""),
		Entry("HTTP/2.0", "HTTP/2.0 200 OK", ""),
		Entry("HTTP/9.9", "HTTP/9.9 200 OK", ""),
	)

	It("ends an attempt at once whose final answer looks informational", func() {
		for _, framing := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok", "\r\n"} {
			s := newServer(respond("HTTP/1.1 100 OK\r\nRequest-Id: " + requestID + "\r\nServer-Signature: s1\r\n" + framing))
			began := time.Now()
			a, _ := newDeploymentEntry(s.address()).request("POST", "/sale/1")
			Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		}
	})

	It("passes on early hints and trailers", func() {
		e := newEntry(newServer(respond("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\nX-More: 8\r\n\r\n")).address())
		var hints []string
		r, err := http.NewRequest("GET", e.URL+"/read/1", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+goodKey)
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
			Got1xxResponse: func(c int, h textproto.MIMEHeader) error {
				hints = append(hints, fmt.Sprint(c, h.Get("Link")))
				return nil
			},
		}))
		a, err := e.Client().Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		b, err := io.ReadAll(a.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(Equal("ok"))
		Expect(a.Trailer.Get("X-Sum")).To(Equal("7"))
		Expect(a.Trailer.Get("X-More")).To(Equal("8"))
		Expect(hints).To(Equal([]string{"103</a>"}))
		Expect(a.Header).NotTo(HaveKey("Link"))
	})

	It("flushes each part of a streamed answer", func() {
		next := make(chan struct{})
		e := newEntry(newServer(func(c net.Conn, _ int, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\none\n\r\n")
			<-next
			_, _ = io.WriteString(c, "4\r\ntwo\n\r\n0\r\n\r\n")
			return true
		}).address())
		a, err := e.send("GET", "/read/1", "")
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		b := bufio.NewReader(a.Body)
		Expect(b.ReadString('\n')).To(Equal("one\n"))
		close(next)
		Expect(b.ReadString('\n')).To(Equal("two\n"))
	})

	It("gives up on a caller that does not read its answer", func() {
		big := strings.Repeat("x", 64<<20)
		s := newServer(respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n" + big))
		e := newEntry(s.address())
		// Without a fixed read buffer, the kernel may grow the buffer until it
		// holds the whole answer.
		e.Client().Transport = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return c, c.(*net.TCPConn).SetReadBuffer(64 << 10)
		}}
		a, err := e.send("GET", "/read/1", "", exchange.TimeoutHeader, "1500ms")
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		Expect(a.StatusCode).To(Equal(200))
		Eventually(s.closed, "5s").Should(Receive())
		n, err := io.Copy(io.Discard, a.Body)
		Expect(err).To(HaveOccurred())
		Expect(n).To(BeNumerically("<", len(big)))
	})

	It("gives each of many concurrent callers its own answer", func() {
		echo := func(c net.Conn, _ int, r *http.Request, body string) bool {
			t := r.URL.Path + body
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(t), t)
			return err == nil
		}
		e := newEntry(newServer(echo).address())
		done := make(chan string, 50)
		for i := range 50 {
			go func() {
				defer GinkgoRecover()
				p := fmt.Sprintf("/sale/%d", i)
				_, body := e.do("POST", p, strings.Repeat("y", i))
				Expect(body).To(Equal(p + strings.Repeat("y", i)))
				done <- p
			}()
		}
		for range 50 {
			Eventually(done, "5s").Should(Receive())
		}
	})
})
