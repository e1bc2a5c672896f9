package caller

import (
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/exchange"
)

var _ = DescribeTable("framing that can be read in two ways is refused, and the connection ends",
	func(head string) {
		ran := 0
		s, _ := start(countRuns(&ran))
		c, b := dial(s)
		_, err := io.WriteString(c, head)
		Expect(err).NotTo(HaveOccurred())
		a, err := http.ReadResponse(b, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(a.Close).To(BeTrue())
		_, err = io.Copy(io.Discard, a.Body)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.ReadByte()
		Expect(err).To(HaveOccurred())
		Expect(ran).To(BeZero())
	},
	Entry("a length beside chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
	Entry("chunks beside a length", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n"),
	Entry("two equal lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab"),
	Entry("two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
	Entry("a list of lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2, 2\r\n\r\nab"),
	Entry("a length with a sign", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +2\r\n\r\nab"),
	Entry("a bare line feed", "GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n"),
	Entry("bare line feeds only", "GET / HTTP/1.1\nHost: a\n\n"),
)

var _ = Describe("framing", func() {
	It("lets well-formed requests on one connection pass", func() {
		ran := 0
		s, _ := start(countRuns(&ran))
		c, b := dial(s)
		for range 3 {
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n\n\n")
			Expect(err).NotTo(HaveOccurred())
			a, err := http.ReadResponse(b, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.StatusCode).To(Equal(http.StatusOK))
			_, err = io.Copy(io.Discard, a.Body)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(ran).To(Equal(3))
	})
})

// countRuns counts the requests that pass, and echoes their bodies.
func countRuns(n *int) exchange.HandlerFunc {
	return func(x *exchange.Exchange) {
		*n++
		echo(x)
	}
}
