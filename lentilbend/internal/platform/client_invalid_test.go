package platform_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/platform"
)

// Guards against values and VM lists that are taken from an answer of the platform whose
// status is not one of HTTP or whose head is malformed, and against a read that waits until
// its timeout after one.
var _ = DescribeTable("Client takes no answer with an invalid status or a malformed head", func(line string) {
	for _, body := range []string{"Content-Length: 16\r\n\r\n" + `{"revision":"7"}`, "Content-Length: 0\r\n\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					b := make([]byte, 4<<10)
					for {
						if _, err := c.Read(b); err != nil {
							return
						}
						_, _ = c.Write([]byte("HTTP/1.1 " + line + "\r\n" + body))
					}
				}()
			}
		}()
		c := &platform.Client{Addresses: []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())}, Timeout: 2 * time.Second}
		began := time.Now()
		a, err := c.Values(context.Background(), 6, time.Second)
		Expect(err).To(HaveOccurred())
		Expect(a).To(BeNil())
		v, err := c.VMs(context.Background())
		Expect(err).To(HaveOccurred())
		Expect(v).To(BeNil())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	}
},
	Entry("000", "000 OK"),
	Entry("0", "0 OK"),
	Entry("099", "099 OK"),
	Entry("1000", "1000 OK"),
	Entry("letters", "abc OK"),
	Entry("empty", ""),
	Entry("-00", "-00 OK"),
	Entry("-01", "-01 OK"),
	Entry("100", "100 OK"),
	Entry("101", "101 OK"),
	Entry("199", "199 OK"),
	Entry("600", "600 OK"),
	Entry("999", "999 OK"),
	Entry("204", "204 No Content"),
	Entry("a space in a name", "200 OK\r\nX Y: z"),
	Entry("a space behind a name", "200 OK\r\nX : z"),
	Entry("a folded line", "200 OK\r\nX: y\r\n z: 1"),
	Entry("a control character in a name", "200 OK\r\nX\x01: z"),
	Entry("a bare line feed", "200 OK\r\nX: y\nZ: z"),
	Entry("a value that is too long", "200 OK\r\nX: "+strings.Repeat("x", 300<<10)),
	Entry("too many fields", "200 OK"+strings.Repeat("\r\nX: y", 10_000)),
)
