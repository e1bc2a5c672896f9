package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/exchange"
)

var _ = Describe("requests", func() {
	It("removes the key from header fields, cookies, query and trailer", func() {
		s := newServer(respond(okAnswer))
		e := newEntry(s.address())
		body, w := io.Pipe()
		r, err := http.NewRequest("POST", e.URL+"/sale/1?a=1&k="+goodKey+"&b=the%2Dgood%2dkey&c=2", body)
		Expect(err).NotTo(HaveOccurred())
		r.Trailer = http.Header{"X-T": {goodKey}, "X-U": {"kept"}}
		r.Header = http.Header{
			"Authorization": {"Bearer " + goodKey},
			"Cookie":        {"a=b; s=" + goodKey + "; c=d"},
			"X-Copy":        {"x" + goodKey},
			"X-Encoded":     {"the%2dgood-key"},
			"X-Other":       {"kept"},
		}
		go func() {
			_, _ = io.WriteString(w, "body")
			_ = w.Close()
		}()
		a, err := e.Client().Do(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Body.Close()).To(Succeed())
		Expect(a.StatusCode).To(Equal(200))
		got, _ := s.lastRequest()
		Expect(fmt.Sprint(got.Header, got.URL, got.Trailer)).NotTo(MatchRegexp("(?i)good|%2d|bearer"))
		Expect(got.Header.Get("X-Other")).To(Equal("kept"))
		Expect(got.Header.Get("Cookie")).To(Equal("a=b; c=d"))
		Expect(got.URL.RawQuery).To(Equal("a=1&c=2"))
		Expect(got.Trailer.Get("X-U")).To(Equal("kept"))
	})

	It("refuses a request with the key in its path", func() {
		s := newServer(respond(okAnswer))
		a, _ := newEntry(s.address()).do("GET", "/read/"+goodKey, "")
		expectRefusal(a, 400, exchange.NotRun)
		Expect(s.runCount()).To(BeZero())
	})

	It("removes the key on an open route too", func() {
		s := newServer(respond(okAnswer))
		a, _ := newEntry(s.address()).do("GET", "/open/1", "", "Authorization", "Bearer withdrawn", "X-Copy", "withdrawn")
		Expect(a.StatusCode).To(Equal(200))
		r, _ := s.lastRequest()
		Expect(fmt.Sprint(r.Header)).NotTo(ContainSubstring("withdrawn"))
	})

	It("sends the workspace of the key, whatever the caller sends", func() {
		s := newServer(respond(okAnswer))
		e := newEntry(s.address())
		e.do("GET", "/read/1", "", "Workspace", "other")
		r, _ := s.lastRequest()
		Expect(r.Header["Workspace"]).To(Equal([]string{"w"}))
		e.do("GET", "/open/1", "", "Authorization", "Bearer withdrawn", "Workspace", "other")
		r, _ = s.lastRequest()
		Expect(r.Header).NotTo(HaveKey("Workspace"))
	})

	It("refuses a key that was withdrawn while its connection was open", func() {
		s := newServer(respond(okAnswer))
		e := newEntry(s.address())
		a, _ := e.do("GET", "/read/1", "")
		Expect(a.StatusCode).To(Equal(200))
		e.table = newTable("another-key", s.address())
		a, _ = e.do("GET", "/read/1", "")
		expectRefusal(a, 401, exchange.NotRun)
		Expect(s.runCount()).To(Equal(1))
	})

	It("removes hop-by-hop fields and adds the X-Forwarded fields", func() {
		s := newServer(respond(okAnswer))
		newEntry(s.address()).do("GET", "/read/1", "", "Connection", "X-Hop", "X-Hop", "1",
			"Keep-Alive", "5", "Te", "trailers", "Proxy-Authorization", "x", "X-Forwarded-For", "192.0.2.1")
		r, _ := s.lastRequest()
		for _, n := range []string{"X-Hop", "Keep-Alive", "Proxy-Authorization", "Connection"} {
			Expect(r.Header).NotTo(HaveKey(n))
		}
		Expect(r.Header.Get("Te")).To(Equal("trailers"))
		Expect(r.Header.Get("X-Forwarded-For")).To(Equal("192.0.2.1, 127.0.0.1"))
		Expect(r.Header.Get("X-Forwarded-Proto")).To(Equal("http"))
	})

	DescribeTable("refuses requests that must not be forwarded",
		func(method, path string, status int, header ...string) {
			s := newServer(respond(okAnswer))
			a, _ := newEntry(s.address()).do(method, path, "", header...)
			expectRefusal(a, status, exchange.NotRun)
			Expect(s.runCount()).To(BeZero())
		},
		Entry("a protocol upgrade", "GET", "/read/1", 501, "Connection", "Upgrade", "Upgrade", "websocket"),
		Entry("TRACE", "TRACE", "/read/1", 501),
		Entry("no route", "GET", "/none/", 404),
		Entry("a dot segment", "GET", "/open/%2e%2e/sale/1", 400),
		Entry("an encoded slash that changes the route", "GET", "/open%2f1", 400),
		Entry("an empty segment", "GET", "/read//1", 400),
		Entry("a malformed timeout", "GET", "/read/1", 400, exchange.TimeoutHeader, "soon"),
		Entry("a large header", "GET", "/read/1", 431, "X-Large", strings.Repeat("x", headerLimit)),
		Entry("an unknown key", "GET", "/read/1", 401, "Authorization", "Bearer none"),
		Entry("another authentication scheme", "GET", "/read/1", 401, "Authorization", "Basic "+goodKey),
	)

	It("refuses a body over the limit", func() {
		s := newServer(respond(okAnswer))
		e := newEntry(s.address())
		a, _ := e.do("POST", "/sale/1", strings.Repeat("x", bodyLimit+1))
		expectRefusal(a, 413, exchange.NotRun)
		r, err := http.NewRequest("POST", e.URL+"/sale/1", io.LimitReader(zeros{}, bodyLimit+1))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+goodKey)
		a, err = e.Client().Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		expectRefusal(a, 413, exchange.RunUnknown)
		Expect(s.runCount()).To(BeZero())
	})

	It("refuses a slow small body at the deadline without using a server", func() {
		s := newServer(respond(okAnswer))
		e := newEntry(s.address())
		c, err := net.Dial("tcp", e.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprintf(c, "POST /sale/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nRequest-Timeout: 100ms\r\nContent-Length: 10\r\n\r\nx", goodKey)
		Expect(err).NotTo(HaveOccurred())
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		expectRefusal(a, 504, exchange.NotRun)
		Expect(s.runCount()).To(BeZero())
	})

	It("closes the caller's connection when the answer came before the end of the body", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, okAnswer)
		}()
		e := newEntry(netip.MustParseAddrPort(l.Addr().String()))
		c, err := net.Dial("tcp", e.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprintf(c, "POST /sale/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 100000\r\n\r\n%s", goodKey, strings.Repeat("x", 50_000))
		Expect(err).NotTo(HaveOccurred())
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.Close).To(BeTrue())
	})

	It("forwards a body of the largest allowed size", func() {
		s := newServer(respond(okAnswer))
		a, _ := newEntry(s.address()).do("POST", "/sale/1", strings.Repeat("x", bodyLimit))
		Expect(a.StatusCode).To(Equal(200))
		_, body := s.lastRequest()
		Expect(body).To(HaveLen(bodyLimit))
	})
})

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
