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

// dumpTimeout bounds how long a running process may take to answer.
const dumpTimeout = 10 * time.Second

// dumpCommand prints the state of a running process.
func dumpCommand() command.Command {
	address, authority := "127.0.0.1:9081", ""
	c := flaggy.NewSubcommand("dump")
	c.Description = "print the state of a running process"
	c.String(&address, "o", "operator", "operators' address of the process")
	c.String(&authority, "a", "authority", "PEM file with the authority of its certificate; turns on TLS")
	return command.Command{Subcommand: c, Run: func(out io.Writer) error {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			return fmt.Errorf("dump: %w", err)
		}
		h, scheme, err := client(authority)
		if err != nil {
			return fmt.Errorf("dump: %w", err)
		}
		return dump(out, h, scheme+"://"+a.String()+"/dump")
	}}
}

// client returns a client and the scheme to use, TLS when an authority is
// given.
func client(authority string) (*http.Client, string, error) {
	if authority == "" {
		return &http.Client{Timeout: dumpTimeout}, "http", nil
	}
	b, err := os.ReadFile(authority)
	if err != nil {
		return nil, "", err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, "", fmt.Errorf("%s holds no certificate", authority)
	}
	t := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}}
	return &http.Client{Timeout: dumpTimeout, Transport: t}, "https", nil
}

func dump(out io.Writer, h *http.Client, url string) error {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	w, err := h.Do(r)
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return fmt.Errorf("dump: %s answered %s", url, w.Status)
	}
	if _, err := io.Copy(out, w.Body); err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	return nil
}
