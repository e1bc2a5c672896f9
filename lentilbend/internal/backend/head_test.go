package backend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/pool"
)

// corruptNames returns copies of an answer. In each of them, one byte of a field name is
// replaced by a space or a control character, or one is inserted.
func corruptNames(answer string) []string {
	head, body, _ := strings.Cut(answer, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	var as []string
	for i, l := range lines[1:] {
		colon := strings.Index(l, ":")
		for _, b := range []string{" ", "\t", "\x00", "\x01", "\n", "\v", "\r", "\x7f"} {
			for _, s := range []string{
				b + l, l[:colon/2] + b + l[colon/2:], l[:colon] + b + l[colon:],
				b + l[1:], l[:colon/2] + b + l[colon/2+1:], l[:colon-1] + b + l[colon:],
			} {
				c := append([]string{}, lines...)
				c[i+1] = s
				as = append(as, strings.Join(c, "\r\n")+"\r\n\r\n"+body)
			}
		}
	}
	return as
}

// answerByPath returns an answer function that sends the text whose index ends the path
// of the request, and then closes the connection if closes is set.
func answerByPath(texts []string, closes bool) func(net.Conn, int, *http.Request, string) bool {
	return func(c net.Conn, n int, r *http.Request, b string) bool {
		_, index, _ := strings.Cut(r.URL.Path[1:], "/")
		i, err := strconv.Atoi(index)
		return err == nil && respond(texts[i])(c, n, r, b) && !closes
	}
}

// answerInParts is like answerByPath, but cuts each text into two packets, offset bytes
// behind the place where it begins to differ from original.
func answerInParts(texts []string, original string, offset int) func(net.Conn, int, *http.Request, string) bool {
	return func(c net.Conn, n int, r *http.Request, b string) bool {
		_, index, _ := strings.Cut(r.URL.Path[1:], "/")
		i, err := strconv.Atoi(index)
		if err != nil {
			return false
		}
		cut := offset
		for texts[i][cut-offset] == original[cut-offset] {
			cut++
		}
		_, _ = io.WriteString(c, texts[i][:cut])
		time.Sleep(2 * time.Millisecond)
		return respond(texts[i][cut:])(c, n, r, b)
	}
}

// paths returns a path for each index below n.
func paths(route string, n int) []string {
	ps := make([]string, n)
	for i := range ps {
		ps[i] = fmt.Sprintf("/%s/%d", route, i)
	}
	return ps
}

const earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

// fieldsBeforeFraming begins an answer up to the field that says where its body ends.
const fieldsBeforeFraming = "HTTP/1.1 200 OK\r\nRequest-Id: " + requestID + "\r\nServer-Signature: s1\r\nContent-Type: text/plain\r\n"

// Guards against an answer of which a line is lost or misread, so that its body ends
// elsewhere or its fields are not the server's.
var _ = Describe("an answer with a space or a control character in a field name", func() {
	entries := []any{
		Entry("with a length", "Content-Length: 2\r\n\r\nok", false),
		Entry("in chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false),
		Entry("that ends with its connection", "\r\nok", true),
		Entry("with a length, closed", "Content-Length: 2\r\n\r\nok", true),
	}

	DescribeTable("reaches no caller", append([]any{func(rest string, closes bool) {
		bad := corruptNames(fieldsBeforeFraming + rest)
		s := newServer(answerByPath(bad, closes))
		for _, e := range newEntries(s.address()) {
			statuses, text := sendRaw(e, "POST", paths("sale", len(bad))...)
			for i, status := range statuses {
				Expect(status).To(Equal(http.StatusBadGateway), "%q", bad[i])
			}
			Expect(statuses).To(HaveLen(len(bad)))
			Expect(text).NotTo(ContainSubstring("Server-Signature"))
			Expect(strings.Count(text, string(exchange.RunUnknown))).To(BeNumerically(">=", len(bad)))
		}
		Expect(s.runCount()).To(Equal(2 * len(bad)))
	}}, entries...)...)

	It("is followed by a second attempt for an idempotent request", func() {
		bad := corruptNames(fieldsBeforeFraming + "Content-Length: 2\r\n\r\nok")
		first, second := newServer(answerByPath(bad, false)), newServer(respond(signedAnswer("200 OK", "", "ok")))
		e := newDeploymentEntry(first.address(), second.address())
		e.forwarder.FleetBudget = newFleetBudget(4, 1000)
		for i, p := range paths("read", len(bad)) {
			a, b := e.request("GET", p)
			Expect(a.StatusCode).To(Equal(200), "%q", bad[i])
			Expect(b).To(Equal("ok"))
		}
	})

	DescribeTable("reaches no caller if it comes in two packets", func(offset int) {
		good := fieldsBeforeFraming + "Content-Length: 2\r\n\r\nok"
		bad := corruptNames(good)
		s := newServer(answerInParts(bad, good, offset))
		for _, e := range newEntries(s.address()) {
			statuses, _ := sendRaw(e, "POST", paths("sale", len(bad))...)
			Expect(statuses).To(HaveLen(len(bad)))
			for i, status := range statuses {
				Expect(status).To(Equal(http.StatusBadGateway), "%q", bad[i])
			}
		}
	},
		Entry("cut before the byte", 0),
		Entry("cut behind the byte", 1),
	)

	It("reaches no caller over a connection that was used before", func() {
		good := fieldsBeforeFraming + "Content-Length: 2\r\n\r\nok"
		var answers []string
		for _, bad := range corruptNames(good) {
			answers = append(answers, good, bad)
		}
		s := newServer(answerByPath(answers, false))
		for _, e := range newEntries(s.address()) {
			e.forwarder.Pools = pool.New(func(netip.AddrPort) int { return 1 })
			e.forwarder.Pools.MinIdle = 0
			statuses, _ := sendRaw(e, "POST", paths("sale", len(answers))...)
			Expect(statuses).To(HaveLen(len(answers)))
			for i, status := range statuses {
				Expect(status).To(Equal([]int{http.StatusOK, http.StatusBadGateway}[i%2]), "%q", answers[i])
			}
		}
	})

	It("reaches no caller as an informational answer, nor does what follows it", func() {
		for _, hints := range corruptNames(earlyHints) {
			s := newServer(respond(hints + signedAnswer("200 OK", "", "ok")))
			a, _ := newDeploymentEntry(s.address()).request("POST", "/sale/1")
			Expect(a.StatusCode).To(Equal(http.StatusBadGateway), "%q", hints)
		}
	})

	It("reaches no caller behind an informational answer", func() {
		s := newServer(respond(earlyHints + signedAnswer("200 OK", "X Y: z\r\n", "ok")))
		for _, e := range newEntries(s.address()) {
			a, _ := e.request("POST", "/sale/1", "Authorization", "Bearer "+goodKey)
			Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
		}
	})
})

var _ = It("a trailer field with a space or a control character in its name is not passed on", func() {
	for _, field := range []string{"X Y: z", "X : z", "X\x01: z", "X\t: z"} {
		s := newServer(respondAndClose("HTTP/1.1 200 OK\r\nRequest-Id: " + requestID + "\r\nServer-Signature: s1\r\n" +
			"Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\n" + field + "\r\n\r\n"))
		for _, e := range newEntries(s.address()) {
			c, err := net.Dial("tcp", startHTTP1(e).String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			_, err = fmt.Fprintf(c, "GET /sale/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nX-Api-Key: %s\r\nRequest-Id: %s\r\nConnection: close\r\n\r\n", goodKey, goodKey, requestID)
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(c)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(HavePrefix("HTTP/1.1 200 OK\r\n"))
			Expect(string(text)).NotTo(ContainSubstring(field))
		}
	}
})

var _ = DescribeTable("an answer with an unusual but valid head is passed on", func(line, field, name, value string) {
	e := newDeploymentEntry(newServer(respond(strings.Replace(signedAnswer("200 OK", field+"\r\n", "ok"), "HTTP/1.1 200 OK", line, 1))).address())
	for range 3 {
		a, b := e.request("POST", "/sale/1")
		Expect(a.StatusCode).To(Equal(200))
		Expect(b).To(Equal("ok"))
		Expect(a.Header.Get(name)).To(Equal(value))
	}
},
	Entry("no reason", "HTTP/1.1 200", "X: y", "X", "y"),
	Entry("an empty reason", "HTTP/1.1 200 ", "X: y", "X", "y"),
	Entry("a reason of several words", "HTTP/1.1 200 All is well", "X: y", "X", "y"),
	Entry("no space before a value", "HTTP/1.1 200 OK", "x-lower:y", "X-Lower", "y"),
	Entry("white space around a value", "HTTP/1.1 200 OK", "X: \t y\tz \t", "X", "y\tz"),
	Entry("an empty value", "HTTP/1.1 200 OK", "X:", "X", ""),
	Entry("a value with a colon", "HTTP/1.1 200 OK", "X: a:b", "X", "a:b"),
	Entry("a value beyond ASCII", "HTTP/1.1 200 OK", "X: gr\xfc\xdfe", "X", "gr\xfc\xdfe"),
	Entry("punctuation in a name", "HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~09: y", "!#$%&'*+-.^_`|~09", "y"),
)
