package backend_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"strings"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/table"

	deployment "lentilbend.example/platform"

	"lentilbend.example/lentilbend/internal/caller"
)

// requestID is the name that the tests' requests go by.
const requestID = "9c41d07be2a35f68"

// newDeployed returns an entry that speaks the deployment's dialect.
func newDeployed(servers ...netip.AddrPort) *entry {
	e := newEntry(servers...)
	e.Config.Handler.(*caller.Handler).Dialect = deployment.Dialect()
	for i := range e.table.Services[0].Servers {
		e.table.Services[0].Servers[i].Name = fmt.Sprintf("i-%d", i+1)
	}
	return e
}

func (e *entry) ask(method, path string, header ...string) (*http.Response, string) {
	return e.do(method, path, "", append([]string{
		"X-Api-Key", goodKey, "Request-Id", requestID, "Deadline-Ms", "2000"}, header...)...)
}

// signed returns an answer with the request's name and a signature.
func signed(status, more, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Signature: s1\r\nInstance-Load: 1,0,6,100\r\n%sContent-Length: %d\r\n\r\n%s",
		status, requestID, more, len(body), body)
}

var _ = Describe("the deployment's dialect", func() {
	It("hands on the request's name, what is left, the server and the workspace, and no key", func() {
		s := newServer(says(signed("200 OK", "", "ok")))
		a, b := newDeployed(s.address()).ask("GET", "/read/1?x=1", "Tenant-Name", "forged", "Expected-Instance", "forged")
		Expect(a.StatusCode).To(Equal(200))
		Expect(b).To(Equal("ok"))
		Expect(a.Header.Get("Server-Signature")).To(Equal("s1"))
		Expect(a.Header).NotTo(HaveKey("Instance-Load"))
		r, _ := s.last()
		Expect(r.Header.Get("Request-Id")).To(Equal(requestID))
		Expect(r.Header["Tenant-Name"]).To(Equal([]string{"w"}))
		Expect(r.Header["Expected-Instance"]).To(HaveLen(1))
		Expect(r.Header.Get("Deadline-Ms")).To(MatchRegexp(`^1[0-9]{3}$`))
		Expect(fmt.Sprint(r.Header)).NotTo(ContainSubstring(goodKey))
		Expect(r.Header).NotTo(HaveKey("X-Forwarded-For"))
	})

	It("shows a key nowhere that stands in the request's name", func() {
		s := newServer(says(signed("200 OK", "", "ok")))
		e := newDeployed(s.address())
		var lines bytes.Buffer
		e.Config.Handler.(*caller.Handler).Logger = log.NewLogfmtLogger(&lines)
		for _, id := range []string{goodKey, "a-" + goodKey + "-b", strings.Replace(goodKey, goodKey[:1], fmt.Sprintf("%%%02x", goodKey[0]), 1)} {
			a, b := e.do("GET", "/read/1", "", "X-Api-Key", goodKey, "Request-Id", id, "Deadline-Ms", "2000")
			Expect(a.StatusCode).To(Equal(http.StatusBadRequest))
			Expect(b).NotTo(ContainSubstring(goodKey))
		}
		a, _ := e.do("GET", "/read/1", "", "X-Api-Key", "unknown-key", "Request-Id", "unknown-key", "Deadline-Ms", "2000")
		Expect(a.StatusCode).To(Equal(http.StatusUnauthorized))
		e.Config.Handler.(*caller.Handler).Table = func() *table.Table { return nil }
		a, _ = e.do("GET", "/read/1", "", "X-Api-Key", goodKey, "Request-Id", goodKey, "Deadline-Ms", "2000")
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(s.runs()).To(BeZero())
		Expect(lines.String()).To(ContainSubstring("Request was refused."))
		Expect(lines.String()).NotTo(ContainSubstring(goodKey))
		Expect(lines.String()).NotTo(ContainSubstring("unknown-key"))
	})

	It("refuses a request whose service is not in the table, and says so", func() {
		s := newServer(says(signed("200 OK", "", "ok")))
		e := newDeployed(s.address())
		var lines bytes.Buffer
		e.Config.Handler.(*caller.Handler).Logger = log.NewLogfmtLogger(&lines)
		for i := range e.table.Routes {
			e.table.Routes[i].Service = "gone"
		}
		e.table.Build()
		a, b := e.ask("GET", "/read/1")
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b).To(ContainSubstring("not-run"))
		Expect(lines.String()).To(ContainSubstring("cause=no-server"))
	})

	DescribeTable("gives no success that is not the server's own",
		func(answer string) {
			s := newServer(saysAndCloses(answer))
			a, _ := newDeployed(s.address()).ask("POST", "/sale/1")
			Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(a.Header).NotTo(HaveKey("Server-Signature"))
			Expect(s.runs()).To(Equal(1))
		},
		Entry("of another request", strings.Replace(signed("200 OK", "", "ok"), requestID, "other", 1)),
		Entry("without a name", strings.Replace(signed("200 OK", "", "ok"), "Request-Id", "X-Id", 1)),
		Entry("without a signature", strings.Replace(signed("200 OK", "", "ok"), "Server-Signature", "X-S", 1)),
		Entry("in another encoding", signed("200 OK", "Content-Encoding: gzip\r\n", "ok")),
		Entry("cut short", strings.TrimSuffix(signed("200 OK", "", "ok"), "k")),
		Entry("that is no HTTP", "nonsense\r\n\r\n"),
	)

	DescribeTable("promises nothing that the server does not",
		func(status, more string, want int) {
			s := newServer(says(signed(status, more, "")))
			a, _ := newDeployed(s.address()).ask("POST", "/sale/1")
			Expect(a.StatusCode).To(Equal(want))
		},
		Entry("for a 503 of its own", "503 Busy", "", 502),
		Entry("for a 429 of its own", "429 Slow", "", 502),
		Entry("for a 408 of its own", "408 Late", "", 502),
		Entry("but for one that says so", "503 Busy", "Not-Executed: 1\r\n", 503),
		Entry("but for another server at the address", "421 Misdirected Request", "", 503),
		Entry("and passes its failure on", "500 Failed", "", 500),
		Entry("and passes its late end on", "504 Late", "", 504),
	)

	It("sends an idempotent request elsewhere after a failure, and no other", func() {
		bad, good := newServer(says(signed("500 Failed", "", ""))), newServer(says(signed("200 OK", "", "ok")))
		e := newDeployed(bad.address(), good.address())
		a, _ := e.ask("GET", "/read/1")
		Expect(a.StatusCode).To(Equal(200))
		a, _ = e.ask("POST", "/sale/1")
		Expect(a.StatusCode).To(Equal(500))
		Expect(good.runs()).To(Equal(1))
	})

	It("sends a request to no more servers than its route allows", func() {
		var as []netip.AddrPort
		var ss []*server
		for range 4 {
			s := newServer(says(signed("503 Busy", "Not-Executed: 1\r\n", "")))
			ss, as = append(ss, s), append(as, s.address())
		}
		e := newDeployed(as...)
		for i := range e.table.Routes {
			e.table.Routes[i].Attempts = 2
		}
		a, _ := e.ask("GET", "/read/1")
		Expect(a.StatusCode).To(Equal(503))
		n := 0
		for _, s := range ss {
			n += s.runs()
		}
		Expect(n).To(Equal(2))
	})

	It("refuses an unknown key, and says with the status that nothing ran", func() {
		s := newServer(says(signed("200 OK", "", "ok")))
		e := newDeployed(s.address())
		a, _ := e.ask("GET", "/read/1", "X-Api-Key", "unknown")
		Expect(a.StatusCode).To(Equal(401))
		e.forwarder.Chooser = nobody{}
		a, _ = e.ask("POST", "/sale/1")
		Expect(a.StatusCode).To(Equal(503))
		Expect(a.Header.Get("Retry-After")).To(MatchRegexp(`^[0-9]+\.[0-9]{3}$`))
		Expect(s.runs()).To(BeZero())
	})
})
