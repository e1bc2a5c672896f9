package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"github.com/integrii/flaggy"

	"lentilbend.example/internal/command"

	"lentilbend.example/lentilbend/internal/explain"
	"lentilbend.example/lentilbend/internal/settings"
)

// maxErrorBytes bounds the text of an error that the VM answers.
const maxErrorBytes = 4 << 10

// explainOptions are the options of the command explain.
type explainOptions struct {
	file, vm, authority string
	json                bool
	method, url         string
}

// explainCommand prints where a running VM would send a request now, and why.
func explainCommand() command.Command {
	var o explainOptions
	c := flaggy.NewSubcommand("explain")
	c.Description = "explain where a running process would send a request, without sending it"
	c.String(&o.file, "s", "settings", "settings file of the process, for its operator address")
	c.String(&o.vm, "", "vm", "operator address of the process")
	c.String(&o.authority, "a", "authority", "PEM file with the certificate authority of the process; enables TLS")
	c.Bool(&o.json, "j", "json", "print JSON")
	c.AddPositionalValue(&o.method, "METHOD", 1, false, "method of the request")
	c.AddPositionalValue(&o.url, "URL", 2, false, "host and path of the request; the query is not sent")
	return command.Command{Subcommand: c, Run: func(out io.Writer) error {
		if err := o.run(out); err != nil {
			return fmt.Errorf("explain: %w", err)
		}
		return nil
	}}
}

func (o *explainOptions) run(out io.Writer) error {
	if o.method == "" || o.url == "" {
		return errors.New("METHOD and URL are required")
	}
	q, err := o.query()
	if err != nil {
		return err
	}
	a, authority, err := o.operator()
	if err != nil {
		return err
	}
	h, scheme, err := newClient(authority)
	if err != nil {
		return err
	}
	return fetchExplanation(out, h, scheme+"://"+a.String()+"/explain?"+q.Encode())
}

// query returns the query for the VM. It leaves out the parts of the URL that no route
// depends on, since a key may stand in them.
func (o *explainOptions) query() (url.Values, error) {
	u, err := url.Parse(o.url)
	if err != nil {
		return nil, errors.New("the URL is malformed")
	}
	u.User, u.RawQuery, u.ForceQuery, u.Fragment, u.RawFragment = nil, "", false, "", ""
	f := explain.FormatText
	if o.json {
		f = explain.FormatJSON
	}
	return url.Values{explain.ParamMethod: {o.method}, explain.ParamURL: {u.String()}, explain.ParamFormat: {f}}, nil
}

// operator returns the operator's address of the VM and the file with its certificate
// authority, empty without TLS. If the settings have a certificate and no authority is
// given, the certificate stands for it.
func (o *explainOptions) operator() (netip.AddrPort, string, error) {
	if (o.file == "") == (o.vm == "") {
		return netip.AddrPort{}, "", errors.New("one of --settings FILE and --vm ADDRESS is required")
	}
	if o.vm != "" {
		a, err := netip.ParseAddrPort(o.vm)
		if err != nil {
			return a, "", fmt.Errorf("--vm: %w", err)
		}
		return a, o.authority, nil
	}
	s, err := settings.Read(o.file)
	if err != nil {
		return netip.AddrPort{}, "", err
	}
	authority := o.authority
	if authority == "" {
		authority = s.Operator.Certificate
	}
	return reachable(s.Operator.Address), authority, nil
}

// reachable returns the loopback address for an unspecified one that is listened on.
func reachable(a netip.AddrPort) netip.AddrPort {
	switch {
	case !a.Addr().IsUnspecified():
		return a
	case a.Addr().Is4():
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), a.Port())
	}
	return netip.AddrPortFrom(netip.IPv6Loopback(), a.Port())
}

// fetchExplanation writes the VM's answer to out. The error is that of the VM if it gives
// no explanation.
func fetchExplanation(out io.Writer, h *http.Client, u string) error {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, u, nil)
	if err != nil {
		return errors.New("the operator address is malformed")
	}
	a, err := h.Do(r)
	var e *url.Error
	if errors.As(err, &e) {
		// The text of a *url.Error contains the URL.
		return fmt.Errorf("no answer from the VM: %w", e.Err)
	}
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(a.Body, maxErrorBytes))
		return fmt.Errorf("the VM answered %s: %s", a.Status, strings.TrimPrefix(strings.TrimSpace(string(b)), "explain: "))
	}
	_, err = io.Copy(out, a.Body)
	return err
}
