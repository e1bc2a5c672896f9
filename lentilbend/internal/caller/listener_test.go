package caller

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a listener", func() {
	It("may be closed by the stop and by the server", func() {
		n, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := newListener(n)
		Expect(l.Close()).To(Succeed())
		Expect(l.Close()).To(Succeed())
	})
})
