package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"lentilbend.example/lentilbend/internal/settings"
)

// secure tells whether peers are known by certificate.
func (h *Hub) secure() bool {
	return h.Settings.Certificate != ""
}

// transport returns the credentials for both ends: mutual TLS when a
// certificate is set. A peer needs a certificate of the fleet's authority; the
// names in it do not matter, since VMs are replaced at any time.
func transport(s settings.Peer) (credentials.TransportCredentials, error) {
	if s.Certificate == "" {
		return insecure.NewCredentials(), nil
	}
	c, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, fmt.Errorf("peer: certificate: %w", err)
	}
	b, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, fmt.Errorf("peer: authority: %w", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, errors.New("peer: authority: no certificate in the file")
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c},
		ClientAuth:   tls.RequireAnyClientCert,
		// The chain is checked by VerifyConnection, the host name is not.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(p, s) },
	}), nil
}

func verify(p *x509.CertPool, s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer: no certificate")
	}
	o := x509.VerifyOptions{
		Roots:         p,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}
