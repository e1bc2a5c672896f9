package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/peer"
)

// authority signs certificates for VMs.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority() authority {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	b, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	Expect(err).NotTo(HaveOccurred())
	c, err := x509.ParseCertificate(b)
	Expect(err).NotTo(HaveOccurred())
	return authority{certificate: c, key: k}
}

// issueCertificate returns an option that gives a hub a certificate of this
// authority and makes it trust the given one. Allowed denies every IP, since it
// must have no effect with TLS.
func (a authority) issueCertificate(trusted authority) func(*peer.Hub) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	b, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &k.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	p, err := x509.MarshalPKCS8PrivateKey(k)
	Expect(err).NotTo(HaveOccurred())
	d := GinkgoT().TempDir()
	return func(h *peer.Hub) {
		h.Settings.Certificate = writePEM(d, "certificate.pem", "CERTIFICATE", b)
		h.Settings.Key = writePEM(d, "key.pem", "PRIVATE KEY", p)
		h.Settings.Authority = writePEM(d, "authority.pem", "CERTIFICATE", trusted.certificate.Raw)
		h.Allowed = func(netip.Addr) bool { return false }
	}
}

// writePEM writes a PEM block to a file in directory d and returns its path.
func writePEM(d, name, kind string, b []byte) string {
	p := filepath.Join(d, name)
	Expect(os.WriteFile(p, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600)).To(Succeed())
	return p
}

var _ = Describe("Mutual TLS", func() {
	It("admits VMs with a certificate of the fleet's authority", func() {
		l, h := freeAddressPair()
		f := newAuthority()
		a, b := startNode(l, 1, f.issueCertificate(f)), startNode(h, 2, f.issueCertificate(f))
		connectNodes(a, b)
		expectDelivery(a, b, 1)
		expectDelivery(b, a, 2)
	})

	It("rejects a certificate of another authority on the accepting and the dialling end", func() {
		l, h := freeAddressPair()
		f, o := newAuthority(), newAuthority()
		a, b := startNode(l, 1, f.issueCertificate(f)), startNode(h, 2, o.issueCertificate(f))
		a.hub.SetPeers(time.Now(), []netip.AddrPort{h})
		b.hub.SetPeers(time.Now(), []netip.AddrPort{l})
		// A third VM with a valid certificate connects in the meantime, so the others
		// had enough time to connect.
		c := startNode(freeAddress(), 3, f.issueCertificate(f))
		c.hub.SetPeers(time.Now(), []netip.AddrPort{l})
		expectDelivery(c, a, 1)
		Expect(b.helloSenders()).To(BeEmpty())
		Expect(a.helloSenders()).To(ConsistOf(c.hub.Self))
	})
})
