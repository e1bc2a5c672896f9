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

// issue returns a change that gives a hub a certificate of this authority, and
// lets it trust another.
func (a authority) issue(trusted authority) func(*peer.Hub) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	b, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &k.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	p, err := x509.MarshalPKCS8PrivateKey(k)
	Expect(err).NotTo(HaveOccurred())
	d := GinkgoT().TempDir()
	return func(h *peer.Hub) {
		h.Settings.Certificate = file(d, "certificate.pem", "CERTIFICATE", b)
		h.Settings.Key = file(d, "key.pem", "PRIVATE KEY", p)
		h.Settings.Authority = file(d, "authority.pem", "CERTIFICATE", trusted.certificate.Raw)
		h.Allowed = func(netip.Addr) bool { return false }
	}
}

func file(d, name, kind string, b []byte) string {
	p := filepath.Join(d, name)
	Expect(os.WriteFile(p, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600)).To(Succeed())
	return p
}

var _ = Describe("Mutual TLS", func() {
	It("admits VMs with a certificate of the fleet's authority", func() {
		l, h := pair()
		f := newAuthority()
		a, b := start(l, 1, f.issue(f)), start(h, 2, f.issue(f))
		connect(a, b)
		arrives(a, b, 1)
		arrives(b, a, 2)
	})

	It("keeps out others, at either end", func() {
		l, h := pair()
		f, o := newAuthority(), newAuthority()
		a, b := start(l, 1, f.issue(f)), start(h, 2, o.issue(f))
		a.hub.SetPeers(time.Now(), []netip.AddrPort{h})
		b.hub.SetPeers(time.Now(), []netip.AddrPort{l})
		// A VM of the fleet gets through meanwhile, so the time was enough.
		c := start(free(), 3, f.issue(f))
		c.hub.SetPeers(time.Now(), []netip.AddrPort{l})
		arrives(c, a, 1)
		Expect(b.met()).To(BeEmpty())
		Expect(a.met()).To(ConsistOf(c.hub.Self))
	})
})
