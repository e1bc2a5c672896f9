package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"lentilbend.example/internal/command"
)

// dumpTimeout limits the whole request for a dump.
const dumpTimeout = 10 * time.Second

// dumpCommand prints the state dump of a running process, fetched from its
// operator address.
func dumpCommand() command.Command {
	address, authority := "127.0.0.1:9081", ""
	c := flaggy.NewSubcommand("dump")
	c.Description = "print the state of a running process"
	c.String(&address, "o", "operator", "operator address of the process")
	c.String(&authority, "a", "authority", "PEM file with the certificate authority of the process; enables TLS")
	return command.Command{Subcommand: c, Run: func(out io.Writer) error {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			return fmt.Errorf("dump: %w", err)
		}
		h, scheme, err := newClient(authority)
		if err != nil {
			return fmt.Errorf("dump: %w", err)
		}
		return dump(out, h, scheme+"://"+a.String()+"/dump")
	}}
}

// newClient returns an HTTP client and the URL scheme to use with it: "https"
// with the certificate authorities in the PEM file authority, or "http" if
// authority is empty.
func newClient(authority string) (*http.Client, string, error) {
	if authority == "" {
		return &http.Client{Timeout: dumpTimeout}, "http", nil
	}
	b, err := os.ReadFile(authority)
	if err != nil {
		return nil, "", err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, "", fmt.Errorf("%s contains no PEM certificate", authority)
	}
	t := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}}
	return &http.Client{Timeout: dumpTimeout, Transport: t}, "https", nil
}

// dump writes the body of the response from url to out.
func dump(out io.Writer, h *http.Client, url string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	resp, err := h.Do(req)
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("dump: %s answered %s", url, resp.Status)
	}
	if _, err := io.Copy(out, resp.Body); err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	return nil
}
