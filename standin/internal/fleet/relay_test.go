package fleet

import (
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("faultProxy", func() {
	ginkgo.It("holds back data while blocked, delays it and resets connections", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err == nil {
				_, _ = io.Copy(c, c)
			}
		}()
		p, err := newFaultProxy(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(l.Addr().String()))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer p.close()
		c, err := net.Dial("tcp", p.listener.Addr().String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = c.Close() }()

		b := make([]byte, 1)
		_, err = c.Write([]byte("1"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadFull(c, b)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())

		peer := netip.MustParseAddr("127.0.0.1")
		p.setFaults(peer, LinkFaults{BlockOut: true})
		_, err = c.Write([]byte("2"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(gomega.Succeed())
		_, err = io.ReadFull(c, b)
		gomega.Expect(err).To(gomega.HaveOccurred())

		p.setFaults(peer, LinkFaults{})
		gomega.Expect(c.SetReadDeadline(time.Time{})).To(gomega.Succeed())
		_, err = io.ReadFull(c, b)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(b)).To(gomega.Equal("2"))

		p.setFaults(peer, LinkFaults{Delay: 30 * time.Millisecond})
		start := time.Now()
		_, err = c.Write([]byte("3"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadFull(c, b)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically(">=", 60*time.Millisecond))

		p.resetConns(peer)
		_, err = io.ReadFull(c, b)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
