package chooser

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"lentilbend.example/internal/load"
)

// Bounds of one probe.
const (
	probeTimeout = 500 * time.Millisecond
	probeBody    = 4 << 10
)

// Prober asks the load endpoints of servers that get no work. Set the exported
// fields before use.
type Prober struct {
	Services  *Services
	Transport http.RoundTripper
}

// Step sends the probes that are due now, at most one for each service.
func (p *Prober) Step(ctx context.Context, now time.Time) {
	p.Services.each(func(_ string, v *service) {
		if a, ok := v.set.Probe(now); ok {
			go p.probe(ctx, v, a)
		}
	})
}

func (p *Prober) probe(ctx context.Context, v *service, a netip.AddrPort) {
	r := p.ask(ctx, a, v.path.Load())
	v.set.Probed(time.Now(), a, r)
}

// ask returns the server's report, or nil when there is none.
func (p *Prober) ask(ctx context.Context, a netip.AddrPort, path *string) *load.Report {
	if path == nil || *path == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+*path, http.NoBody)
	if err != nil {
		return nil
	}
	w, err := p.Transport.RoundTrip(q)
	if err != nil {
		return nil
	}
	defer func() { _ = w.Body.Close() }()
	_, _ = io.CopyN(io.Discard, w.Body, probeBody)
	r, ok := load.Parse(w.Header.Get(load.Header))
	if !ok || w.StatusCode != http.StatusOK {
		return nil
	}
	return &r
}
