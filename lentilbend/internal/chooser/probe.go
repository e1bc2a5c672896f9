package chooser

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

// Bounds of one probe.
const (
	probeTimeout = 100 * time.Millisecond
	probeBody    = 4 << 10
)

// Prober asks the load endpoints of servers that get no work. Set the exported
// fields before use.
type Prober struct {
	Services  *Services
	Transport http.RoundTripper
	// Load returns the report on an answer; that of the own interface when
	// nil.
	Load func(h http.Header) (load.Report, bool)

	asked atomic.Uint64
}

// Probes just before a choice.
const (
	// askedServers is how many servers are asked: the chance that all of them
	// are slow at the moment is small when a quarter is.
	askedServers = 3
	// askTimeout is how long the choice waits for the answers, which come at
	// once from a server that is well.
	askTimeout = 12 * time.Millisecond
	// askAge is the age up to which a report makes a probe needless.
	askAge = 40 * time.Millisecond
)

// Ask asks the best servers for a request and waits for their answers, but not
// for long; a late answer still counts for later choices.
func (p *Prober) Ask(v *service, kind string, tried []netip.AddrPort) {
	as := v.set.ProbeCandidates(time.Now(), kind, tried, askedServers, askAge)
	if len(as) == 0 {
		return
	}
	done := make(chan struct{}, len(as))
	for _, a := range as {
		go func() {
			p.probe(context.Background(), v, a)
			done <- struct{}{}
		}()
	}
	t := time.NewTimer(askTimeout)
	defer t.Stop()
	for range as {
		select {
		case <-done:
		case <-t.C:
			return
		}
	}
}

// Watch asks the server of a call in flight, and others where it is slow, and
// tells whether another would answer sooner.
func (p *Prober) Watch(v *service, kind string, wanted time.Time, c choice.Call, tried []netip.AddrPort) bool {
	a := c.Server()
	if v.set.ReportOlderThan(time.Now(), a, askAge) {
		p.probe(context.Background(), v, a)
	}
	if !v.set.ShouldReroute(time.Now(), wanted, c, tried) {
		return false
	}
	p.Ask(v, kind, tried)
	return v.set.ShouldReroute(time.Now(), wanted, c, tried)
}

// Step sends the probes that are due now, at most one for each service.
func (p *Prober) Step(ctx context.Context, now time.Time) {
	p.Services.each(func(_ string, v *service) {
		if a, ok := v.set.NextProbe(now); ok {
			go p.probe(ctx, v, a)
		}
	})
}

func (p *Prober) probe(ctx context.Context, v *service, a netip.AddrPort) {
	r := p.ask(ctx, a, v.path.Load())
	v.set.RecordProbe(time.Now(), a, r)
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
	p.asked.Add(1)
	w, err := p.Transport.RoundTrip(q)
	if err != nil {
		return nil
	}
	defer func() { _ = w.Body.Close() }()
	_, _ = io.CopyN(io.Discard, w.Body, probeBody)
	parse := p.Load
	if parse == nil {
		parse = func(h http.Header) (load.Report, bool) { return load.Parse(h.Get(load.Header)) }
	}
	r, ok := parse(w.Header)
	if !ok || w.StatusCode != http.StatusOK {
		return nil
	}
	return &r
}
