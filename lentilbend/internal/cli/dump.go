package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/integrii/flaggy"
)

// dumpTimeout bounds how long a running process may take to answer.
const dumpTimeout = 10 * time.Second

// dumpCommand prints the state of a running process.
func dumpCommand() command {
	address := "127.0.0.1:9081"
	c := flaggy.NewSubcommand("dump")
	c.Description = "print the state of a running process"
	c.String(&address, "o", "operator", "operators' address of the process")
	return command{sub: c, run: func(out io.Writer) error {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			return fmt.Errorf("dump: %w", err)
		}
		return dump(out, a)
	}}
}

func dump(out io.Writer, a netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/dump", nil)
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return fmt.Errorf("dump: %s answered %s", a, w.Status)
	}
	if _, err := io.Copy(out, w.Body); err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	return nil
}
