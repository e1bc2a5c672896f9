package fleet

import (
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("relay", func() {
	ginkgo.It("holds back what a cut loses until the cut ends", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err == nil {
				_, _ = io.Copy(c, c)
			}
		}()
		r, err := newRelay(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(l.Addr().String()))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer r.close()
		c, err := net.Dial("tcp", r.listener.Addr().String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = c.Close() }()

		b := make([]byte, 1)
		_, err = c.Write([]byte("1"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadFull(c, b)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())

		peer := netip.MustParseAddr("127.0.0.1")
		r.set(peer, Link{CutOut: true})
		_, err = c.Write([]byte("2"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(gomega.Succeed())
		_, err = io.ReadFull(c, b)
		gomega.Expect(err).To(gomega.HaveOccurred())

		r.set(peer, Link{})
		gomega.Expect(c.SetReadDeadline(time.Time{})).To(gomega.Succeed())
		_, err = io.ReadFull(c, b)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(b)).To(gomega.Equal("2"))

		r.set(peer, Link{Delay: 30 * time.Millisecond})
		began := time.Now()
		_, err = c.Write([]byte("3"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadFull(c, b)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 60*time.Millisecond))

		r.reset(peer)
		_, err = io.ReadFull(c, b)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
