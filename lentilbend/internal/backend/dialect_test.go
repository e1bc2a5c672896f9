package backend_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/table"

	deployment "lentilbend.example/platform"

	"lentilbend.example/lentilbend/internal/caller"
)

// requestID is the request ID that the tests send.
const requestID = "9c41d07be2a35f68"

// newDeploymentEntry returns an entry VM that uses the deployment's dialect.
func newDeploymentEntry(servers ...netip.AddrPort) *entry {
	e := newEntry(servers...)
	e.Config.Handler.(*caller.Handler).Dialect = deployment.Dialect()
	for i := range e.table.Services[0].Servers {
		e.table.Services[0].Servers[i].Name = fmt.Sprintf("i-%d", i+1)
	}
	return e
}

// request sends a request with the deployment's header fields.
func (e *entry) request(method, path string, header ...string) (*http.Response, string) {
	return e.do(method, path, "", append([]string{
		"X-Api-Key", goodKey, "Request-Id", requestID, "Deadline-Ms", "2000"}, header...)...)
}

// signedAnswer returns an answer with the request's ID, a signature and the
// header lines in extra.
func signedAnswer(status, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Signature: s1\r\nInstance-Load: 1,0,6,100\r\n%sContent-Length: %d\r\n\r\n%s",
		status, requestID, extra, len(body), body)
}

var _ = Describe("the deployment's dialect", func() {
	It("sends the request ID, remaining time, server name and workspace to the server, but not the key", func() {
		s := newServer(respond(signedAnswer("200 OK", "", "ok")))
		a, b := newDeploymentEntry(s.address()).request("GET", "/read/1?x=1", "Tenant-Name", "forged", "Expected-Instance", "forged")
		Expect(a.StatusCode).To(Equal(200))
		Expect(b).To(Equal("ok"))
		Expect(a.Header.Get("Server-Signature")).To(Equal("s1"))
		Expect(a.Header).NotTo(HaveKey("Instance-Load"))
		r, _ := s.lastRequest()
		Expect(r.Header.Get("Request-Id")).To(Equal(requestID))
		Expect(r.Header["Tenant-Name"]).To(Equal([]string{"w"}))
		Expect(r.Header["Expected-Instance"]).To(HaveLen(1))
		Expect(r.Header.Get("Deadline-Ms")).To(MatchRegexp(`^1[0-9]{3}$`))
		Expect(fmt.Sprint(r.Header)).NotTo(ContainSubstring(goodKey))
		Expect(r.Header).NotTo(HaveKey("X-Forwarded-For"))
	})

	It("does not log or echo a key that was sent as the request ID", func() {
		s := newServer(respond(signedAnswer("200 OK", "", "ok")))
		e := newDeploymentEntry(s.address())
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
		Expect(s.runCount()).To(BeZero())
		Expect(lines.String()).To(ContainSubstring("Request was refused."))
		Expect(lines.String()).NotTo(ContainSubstring(goodKey))
		Expect(lines.String()).NotTo(ContainSubstring("unknown-key"))
	})

	It("refuses and logs a request whose service is not in the table", func() {
		s := newServer(respond(signedAnswer("200 OK", "", "ok")))
		e := newDeploymentEntry(s.address())
		var lines bytes.Buffer
		e.Config.Handler.(*caller.Handler).Logger = log.NewLogfmtLogger(&lines)
		for i := range e.table.Routes {
			e.table.Routes[i].Service = "gone"
		}
		e.table.BuildIndexes()
		a, b := e.request("GET", "/read/1")
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b).To(ContainSubstring("not-run"))
		Expect(lines.String()).To(ContainSubstring("cause=no-server"))
	})

	DescribeTable("does not pass on a success that is not certainly the server's answer to the request",
		func(answer string) {
			s := newServer(respondAndClose(answer))
			a, _ := newDeploymentEntry(s.address()).request("POST", "/sale/1")
			Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(a.Header).NotTo(HaveKey("Server-Signature"))
			Expect(s.runCount()).To(Equal(1))
		},
		Entry("of another request", strings.Replace(signedAnswer("200 OK", "", "ok"), requestID, "other", 1)),
		Entry("without a request ID", strings.Replace(signedAnswer("200 OK", "", "ok"), "Request-Id", "X-Id", 1)),
		Entry("without a signature", strings.Replace(signedAnswer("200 OK", "", "ok"), "Server-Signature", "X-S", 1)),
		Entry("with a content encoding", signedAnswer("200 OK", "Content-Encoding: gzip\r\n", "ok")),
		Entry("truncated", strings.TrimSuffix(signedAnswer("200 OK", "", "ok"), "k")),
		Entry("that is not HTTP", "nonsense\r\n\r\n"),
	)

	DescribeTable("answers with a not-run status only when the server says that the request did not run",
		func(status, extra string, want int) {
			s := newServer(respond(signedAnswer(status, extra, "")))
			a, _ := newDeploymentEntry(s.address()).request("POST", "/sale/1")
			Expect(a.StatusCode).To(Equal(want))
		},
		Entry("503 without Not-Executed", "503 Busy", "", 502),
		Entry("429 without Not-Executed", "429 Slow", "", 502),
		Entry("408 without Not-Executed", "408 Late", "", 502),
		Entry("503 with Not-Executed", "503 Busy", "Not-Executed: 1\r\n", 503),
		Entry("421, from another server at the address", "421 Misdirected Request", "", 503),
		Entry("500, passed on", "500 Failed", "", 500),
		Entry("504, passed on", "504 Late", "", 504),
	)

	It("retries only idempotent requests on another server after a failure", func() {
		bad, good := newServer(respond(signedAnswer("500 Failed", "", ""))), newServer(respond(signedAnswer("200 OK", "", "ok")))
		e := newDeploymentEntry(bad.address(), good.address())
		a, _ := e.request("GET", "/read/1")
		Expect(a.StatusCode).To(Equal(200))
		a, _ = e.request("POST", "/sale/1")
		Expect(a.StatusCode).To(Equal(500))
		Expect(good.runCount()).To(Equal(1))
	})

	It("sends a request to no more servers than its route allows", func() {
		var as []netip.AddrPort
		var ss []*server
		for range 4 {
			s := newServer(respond(signedAnswer("503 Busy", "Not-Executed: 1\r\n", "")))
			ss, as = append(ss, s), append(as, s.address())
		}
		e := newDeploymentEntry(as...)
		for i := range e.table.Routes {
			e.table.Routes[i].Attempts = 2
		}
		a, _ := e.request("GET", "/read/1")
		Expect(a.StatusCode).To(Equal(503))
		n := 0
		for _, s := range ss {
			n += s.runCount()
		}
		Expect(n).To(Equal(2))
	})

	It("refuses an unknown key, or a request without a server, with a status that means not run", func() {
		s := newServer(respond(signedAnswer("200 OK", "", "ok")))
		e := newDeploymentEntry(s.address())
		a, _ := e.request("GET", "/read/1", "X-Api-Key", "unknown")
		Expect(a.StatusCode).To(Equal(401))
		e.forwarder.Chooser = noneAvailable{}
		a, _ = e.request("POST", "/sale/1")
		Expect(a.StatusCode).To(Equal(503))
		Expect(a.Header.Get("Retry-After")).To(MatchRegexp(`^[0-9]+\.[0-9]{3}$`))
		Expect(s.runCount()).To(BeZero())
	})

	It("asks callers back soon when the servers refuse though they have room, else after a second", func() {
		shed := fmt.Sprintf("HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", requestID)
		e := newDeploymentEntry(newServer(respond(shed)).address())
		a, _ := e.request("GET", "/read/1")
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Header.Get("Retry-After")).To(Equal("1.000"))
		e.forwarder.Chooser = freeServers{}
		a, _ = e.request("GET", "/read/1")
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Header.Get("Retry-After")).To(Equal("0.050"))
	})

	It("does not make callers wait for the pause of one server while there are others", func() {
		pause := "HTTP/1.1 503 Busy\r\nRequest-Id: " + requestID + "\r\nNot-Executed: 1\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n"
		a, _ := newDeploymentEntry(newServer(respond(pause)).address()).request("POST", "/sale/1")
		Expect(a.Header.Get("Retry-After")).To(Equal("2.500"))
		a, _ = newDeploymentEntry(newServer(respond(pause)).address(), newServer(respond(pause)).address()).request("POST", "/sale/1")
		Expect(a.Header.Get("Retry-After")).To(Equal("1.000"))
	})

	DescribeTable("records what a server says of itself in an answer",
		func(status, extra string, want ...choice.Notice) {
			e := newDeploymentEntry(newServer(respond(signedAnswer(status, extra, ""))).address())
			n := &noticeRecorder{}
			e.forwarder.Chooser = n
			_, _ = e.request("POST", "/sale/1")
			Expect(n.notices).To(HaveExactElements(want))
		},
		Entry("a success", "200 OK", ""),
		Entry("a success of a server that leaves", "200 OK", "Server-Leaving: 1\r\n", choice.Notice{Leaving: true}),
		Entry("a refusal of a server that leaves and wants a pause", "503 Busy", "Not-Executed: 1\r\nServer-Leaving: 1\r\nRetry-After: 0.25\r\n",
			choice.Notice{Leaving: true, Pause: 250 * time.Millisecond}),
		Entry("a 503 that may have run", "503 Busy", "Retry-After: 2\r\n", choice.Notice{Pause: 2 * time.Second}),
		Entry("a 429 with a pause, which limits the workspace", "429 Slow", "Not-Executed: 1\r\nRetry-After: 2\r\n"),
		Entry("a malformed pause", "503 Busy", "Not-Executed: 1\r\nRetry-After: soon\r\n"),
		Entry("a negative pause", "503 Busy", "Not-Executed: 1\r\nRetry-After: -1\r\n"),
		Entry("an endless pause", "503 Busy", "Not-Executed: 1\r\nRetry-After: Inf\r\n"),
		Entry("another server at the address", "421 Misdirected Request", "Server-Leaving: 1\r\nRetry-After: 2\r\n"),
	)

	// Guards against a refusal that a server wrote once more: a caller would be told that
	// a request did not run that did, or it would run at another server too.
	DescribeTable("never takes an earlier refusal for the answer to a later request", func(method, path string, early bool, statuses ...int) {
		refusalOf := func(id string) string {
			return "HTTP/1.1 503 Busy\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}
		refused := ""
		var mu sync.Mutex
		faulty := newServer(func(c net.Conn, _ int, r *http.Request, _ string) bool {
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get("Request-Id")
			if refused == "" {
				refused = id
				text := refusalOf(id)
				if early {
					text += text
				}
				_, err := io.WriteString(c, text)
				return err == nil
			}
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s1\r\nContent-Length: 2\r\n\r\nok", id)
			if !early {
				text = refusalOf(refused) + text
			}
			_, err := io.WriteString(c, text)
			return err == nil
		})
		other := newServer(func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s2\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"))
			return err == nil
		})
		e := newDeploymentEntry(faulty.address(), other.address())
		for i := range 4 {
			before := other.runCount()
			a, _ := e.do(method, path, "", "X-Api-Key", goodKey, "Request-Id", fmt.Sprintf("%016x", i+1), "Deadline-Ms", "2000")
			Expect(a.StatusCode).To(BeElementOf(statuses))
			if i > 0 && method == "POST" {
				Expect(other.runCount()).To(Equal(before))
			}
			time.Sleep(10 * time.Millisecond)
		}
	},
		Entry("sent at once, idempotent", "GET", "/read/1", true, http.StatusOK),
		Entry("sent at once, not idempotent", "POST", "/sale/1", true, http.StatusOK),
		Entry("sent late, idempotent", "GET", "/read/1", false, http.StatusOK),
		Entry("sent late, not idempotent", "POST", "/sale/1", false, http.StatusOK, http.StatusBadGateway),
	)

	// Guards against an answer that looks whole although the server closed the connection
	// within its head.
	It("passes on no answer that was cut within its head", func() {
		answer := signedAnswer("200 OK", "Content-Type: text/plain\r\n", "")
		for _, whole := range []string{answer, strings.Replace(answer, "Content-Length: 0\r\n", "", 1), strings.Replace(answer, "Content-Length: 0", "Transfer-Encoding: chunked", 1)} {
			for n := 1; n < len(whole); n++ {
				s := newServer(respondAndClose(whole[:n]))
				a, _ := newDeploymentEntry(s.address()).request("POST", "/sale/1")
				Expect(a.StatusCode).To(Equal(http.StatusBadGateway), whole[:n])
				Expect(s.runCount()).To(Equal(1))
			}
		}
	})

	It("refuses what no server can answer in time, with the time after which to come back", func() {
		s := newServer(respond(signedAnswer("200 OK", "", "ok")))
		e := newDeploymentEntry(s.address())
		e.forwarder.Chooser = saturated{}
		a, _ := e.request("POST", "/sale/1")
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Header.Get("Retry-After")).To(Equal("0.100"))
		Expect(s.runCount()).To(BeZero())
	})

	DescribeTable("never passes on a second copy of an earlier answer", func(method, path string, early bool, statuses ...int) {
		answerTo := func(id string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s1\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
		}
		last := ""
		s := newServer(func(c net.Conn, _ int, r *http.Request, _ string) bool {
			id := r.Header.Get("Request-Id")
			text := answerTo(id)
			if early {
				text += text
			} else if last != "" {
				text = answerTo(last) + text
			}
			last = id
			_, err := io.WriteString(c, text)
			return err == nil
		})
		e := newDeploymentEntry(s.address())
		for i := range 4 {
			id := fmt.Sprintf("%016x", i+1)
			a, b := e.do(method, path, "", "X-Api-Key", goodKey, "Request-Id", id, "Deadline-Ms", "2000")
			Expect(a.StatusCode).To(BeElementOf(statuses))
			if a.StatusCode == http.StatusOK {
				Expect(b).To(Equal(id))
			}
			time.Sleep(10 * time.Millisecond)
		}
	},
		Entry("sent at once, idempotent", "GET", "/read/1", true, http.StatusOK),
		Entry("sent at once, not idempotent", "POST", "/sale/1", true, http.StatusOK),
		Entry("sent late, idempotent", "GET", "/read/1", false, http.StatusOK, http.StatusBadGateway),
		Entry("sent late, not idempotent", "POST", "/sale/1", false, http.StatusOK, http.StatusBadGateway),
	)
})
