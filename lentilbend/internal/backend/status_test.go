package backend_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/caller"
	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/settings"
)

// invalidAnswers are answers whose status is not one of a final answer, each with the
// echoed request ID and a signature. Where a server closes the connection, the body has
// no other end.
var invalidAnswers = func() []func(net.Conn, int, *http.Request, string) bool {
	const fields = "\r\nRequest-Id: " + requestID + "\r\nServer-Signature: s1\r\n"
	var as []func(net.Conn, int, *http.Request, string) bool
	for _, s := range []string{"000", "0", "099", "1000", "99999999999999999999", "abc", "", "-00", "-01", "-200", "600", "999"} {
		as = append(as, respond("HTTP/1.1 "+s+" OK"+fields+"Content-Length: 2\r\n\r\nok"))
	}
	for _, l := range []string{"HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 101 OK", "HTTP/1.1 100 OK", "HTTP/1.1 103 OK", "HTTP/1.1 199 OK"} {
		as = append(as, respond(l+fields+"Content-Length: 2\r\n\r\nok"))
		as = append(as, respond(l+fields+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	}
	for _, s := range []string{"000", "104", "150", "199"} {
		as = append(as, respondAndClose("HTTP/1.1 "+s+" OK\r\nRequest-Id: "+requestID+"\r\n\r\nok"))
	}
	return as
}()

// newEntries returns an entry VM without and one with the deployment's dialect.
func newEntries(servers ...netip.AddrPort) []*entry {
	return []*entry{newEntry(servers...), newDeploymentEntry(servers...)}
}

// badPaths returns an answer function that answers requests to paths that end in "bad"
// by bad, and the others with a valid answer.
func badPaths(bad func(net.Conn, int, *http.Request, string) bool) func(net.Conn, int, *http.Request, string) bool {
	good := respond(signedAnswer("200 OK", "", "ok"))
	return func(c net.Conn, n int, r *http.Request, b string) bool {
		if strings.HasSuffix(r.URL.Path, "bad") {
			return bad(c, n, r, b)
		}
		return good(c, n, r, b)
	}
}

// sendRaw sends requests to the paths over one connection of HTTP/1.1 without waiting for
// answers, as the callers' server of a VM serves them, and returns the answers' statuses
// and the bytes of all that came.
func sendRaw(e *entry, method string, paths ...string) ([]int, string) {
	GinkgoHelper()
	c, err := net.Dial("tcp", startHTTP1(e).String())
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	for i, p := range paths {
		last := ""
		if i == len(paths)-1 {
			last = "Connection: close\r\n"
		}
		_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nX-Api-Key: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n%s\r\n", method, p, goodKey, goodKey, requestID, last)
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	b, err := io.ReadAll(c)
	Expect(err).NotTo(HaveOccurred())
	var statuses []int
	r := bufio.NewReader(strings.NewReader(string(b)))
	for {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			Expect(err).To(MatchError(ContainSubstring("EOF")), string(b))
			return statuses, string(b)
		}
		_, err = io.Copy(io.Discard, a.Body)
		Expect(err).NotTo(HaveOccurred(), string(b))
		statuses = append(statuses, a.StatusCode)
	}
}

// startHTTP1 serves the callers of an entry VM over HTTP/1.1 and returns the address.
func startHTTP1(e *entry) netip.AddrPort {
	GinkgoHelper()
	s := &caller.Server{
		Settings: settings.Caller{Address: netip.MustParseAddrPort("127.0.0.1:0"), HeaderTimeout: time.Second, IdleTimeout: time.Minute},
		Sizes:    settings.Limits{Header: headerLimit},
		Handler:  e.Config.Handler.(*caller.Handler),
	}
	Expect(s.Listen()).To(Succeed())
	go func() { _ = s.Run() }()
	DeferCleanup(s.Close)
	return s.Address()
}

// startHTTP2 serves the callers of an entry VM over HTTP/2 with TLS.
func startHTTP2(e *entry) *httptest.Server {
	s := httptest.NewUnstartedServer(e.Config.Handler)
	s.EnableHTTP2 = true
	s.StartTLS()
	DeferCleanup(s.Close)
	s.Client().Transport.(*http.Transport).TLSClientConfig.NextProtos = []string{"h2"}
	return s
}

// Guards against a status that is not one of a final answer, in place of an answer or
// before it, at each kind of caller.
var _ = Describe("an answer with an invalid status", func() {
	It("reaches no caller of HTTP/1.1", func() {
		for _, bad := range invalidAnswers {
			for _, method := range []string{"GET", "POST"} {
				s := newServer(bad)
				for _, e := range newEntries(s.address()) {
					statuses, text := sendRaw(e, method, "/sale/bad")
					Expect(statuses).To(Equal([]int{http.StatusBadGateway}), text)
					Expect(text).NotTo(ContainSubstring("Server-Signature"))
					Expect(text).To(ContainSubstring(string(exchange.RunUnknown)))
				}
				Expect(s.runCount()).To(Equal(2))
			}
		}
	})

	It("reaches no caller that sends requests without waiting, and spoils no answer beside it", func() {
		for _, bad := range invalidAnswers {
			s := newServer(badPaths(bad))
			for _, e := range newEntries(s.address()) {
				statuses, text := sendRaw(e, "GET", "/read/1", "/read/bad", "/read/2", "/sale/bad", "/read/3")
				Expect(statuses).To(Equal([]int{200, 502, 200, 502, 200}), text)
				Expect(strings.Count(text, "\r\n\r\nok")).To(Equal(3), text)
			}
		}
	})

	It("reaches no caller of HTTP/2 over TLS", func() {
		for _, bad := range invalidAnswers {
			s := newServer(badPaths(bad))
			for _, e := range newEntries(s.address()) {
				v := startHTTP2(e)
				for _, p := range []string{"/read/1", "/read/bad", "/sale/bad"} {
					var informational []int
					r, err := http.NewRequest("GET", v.URL+p, nil)
					Expect(err).NotTo(HaveOccurred())
					r.Header.Set("Authorization", "Bearer "+goodKey)
					r.Header.Set("X-Api-Key", goodKey)
					r.Header.Set("Request-Id", requestID)
					r.Header.Set("Deadline-Ms", "2000")
					r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
						Got1xxResponse:   func(c int, _ textproto.MIMEHeader) error { informational = append(informational, c); return nil },
						TLSHandshakeDone: func(c tls.ConnectionState, _ error) { Expect(c.NegotiatedProtocol).To(Equal("h2")) },
					}))
					a, err := v.Client().Do(r)
					Expect(err).NotTo(HaveOccurred())
					Expect(a.Body.Close()).To(Succeed())
					Expect(a.ProtoMajor).To(Equal(2))
					Expect(informational).To(BeEmpty())
					if strings.HasSuffix(p, "bad") {
						expectRunUnknown(a, e)
					} else {
						Expect(a.StatusCode).To(Equal(200))
					}
				}
			}
		}
	})

	It("is followed by a second attempt only for an idempotent request", func() {
		for _, bad := range invalidAnswers {
			first, second := newServer(bad), newServer(respond(signedAnswer("200 OK", "", "ok")))
			for i, e := range newEntries(first.address(), second.address()) {
				a, b := e.request("GET", "/read/1", "Authorization", "Bearer "+goodKey)
				Expect(a.StatusCode).To(Equal(200))
				Expect(b).To(Equal("ok"))
				a, _ = e.request("POST", "/sale/1", "Authorization", "Bearer "+goodKey)
				expectRunUnknown(a, e)
				Expect(first.runCount()).To(Equal(2 * (i + 1)))
				Expect(second.runCount()).To(Equal(i + 1))
			}
		}
	})

	It("is refused if the second attempt ends with one too", func() {
		for i, bad := range invalidAnswers {
			first, second := newServer(bad), newServer(invalidAnswers[len(invalidAnswers)-1-i])
			for _, e := range newEntries(first.address(), second.address()) {
				a, _ := e.request("GET", "/read/1", "Authorization", "Bearer "+goodKey)
				expectRunUnknown(a, e)
			}
			Expect(first.runCount()).To(Equal(2))
			Expect(second.runCount()).To(Equal(2))
		}
	})
})

// expectRunUnknown expects the refusal of a request that may have run.
func expectRunUnknown(a *http.Response, e *entry) {
	GinkgoHelper()
	Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
	Expect(a.Header).NotTo(HaveKey("Server-Signature"))
	if e.Config.Handler.(*caller.Handler).Dialect == nil {
		Expect(a.Header.Get(exchange.RunHeader)).To(Equal(string(exchange.RunUnknown)))
	}
}
