package caller

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("listener", func() {
	It("can be closed twice, by Shutdown and by http.Server", func() {
		n, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := newListener(n)
		Expect(l.Close()).To(Succeed())
		Expect(l.Close()).To(Succeed())
	})
})
