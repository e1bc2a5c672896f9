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

// usesTLS reports whether peers authenticate with certificates.
func (h *Hub) usesTLS() bool {
	return h.Settings.Certificate != ""
}

// transportCredentials returns the credentials for the client and server side:
// mutual TLS if a certificate is configured, otherwise none. A peer must present
// a certificate issued by the fleet's authority. The names in it are not
// checked, since VMs are replaced at any time.
func transportCredentials(s settings.Peer) (credentials.TransportCredentials, error) {
	if s.Certificate == "" {
		return insecure.NewCredentials(), nil
	}
	c, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, fmt.Errorf("peer: load certificate: %w", err)
	}
	b, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, fmt.Errorf("peer: read certificate authority: %w", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, errors.New("peer: certificate authority file contains no certificate")
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c},
		ClientAuth:   tls.RequireAnyClientCert,
		// VerifyConnection verifies the chain, but not the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(p, s) },
	}), nil
}

func verifyChain(p *x509.CertPool, s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer: the other end sent no certificate")
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
