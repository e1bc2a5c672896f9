package chooser

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/dialect"
	"lentilbend.example/internal/head"
	"lentilbend.example/internal/load"

	"lentilbend.example/lentilbend/internal/pool"
)

// Bounds of one probe.
const (
	probeTimeout = 100 * time.Millisecond
	maxProbeBody = 4 << 10 // bytes
)

// Prober requests load reports from the load endpoints of backend servers: of
// servers that get no work, so that nothing else shows their state, and of
// servers about to be chosen. Set the exported fields before use.
type Prober struct {
	Services  *Services
	Transport http.RoundTripper
	// ParseLoad returns the load report in the headers of an answer; nil parses
	// the header load.Header.
	ParseLoad func(h http.Header) (load.Report, bool)
	// Dialect says what else servers state in the headers of their answers; nil if
	// they state nothing.
	Dialect *dialect.Dialect

	sent atomic.Uint64
}

// NewProbeTransport returns a transport for a Prober. It opens a connection for each probe,
// and fails for an answer whose head is malformed.
func NewProbeTransport() *http.Transport {
	return &http.Transport{
		DialContext:       head.DialContext(&net.Dialer{}),
		DisableKeepAlives: true,
	}
}

// Probes sent just before a server is chosen.
const (
	// maxCandidateProbes is the most servers that are probed. Even if a quarter
	// of the servers is slow, all of the probed ones are rarely slow at once.
	maxCandidateProbes = 3
	// candidateProbeTimeout is how long the choice waits for the answers, which
	// a healthy server sends at once.
	candidateProbeTimeout = 12 * time.Millisecond
	// maxReportAge is the age up to which a load report makes a probe
	// unnecessary.
	maxReportAge = 40 * time.Millisecond
)

// ProbeCandidates probes the best servers for a request, except those that
// reported their load or were probed within maxReportAge. It waits for the
// answers for at most candidateProbeTimeout; later ones count for later choices.
// Where the set allows it, it probes the servers in turn instead.
func (p *Prober) ProbeCandidates(v *service, kind string, tried []netip.AddrPort) {
	if v.set.ProbesInTurn() {
		p.probeInTurn(v, kind, tried)
		return
	}
	p.probeAll(v, v.set.ProbeCandidates(time.Now(), kind, tried, maxCandidateProbes, maxReportAge))
}

// probeInTurn probes servers one after the other, until one is known to be good.
func (p *Prober) probeInTurn(v *service, kind string, tried []netip.AddrPort) {
	for range maxCandidateProbes {
		a, ok := v.set.NextCandidate(time.Now(), kind, tried)
		if !ok {
			return
		}
		p.probeAll(v, []netip.AddrPort{a})
	}
}

// probeAll probes servers at the same time and waits for the answers for at most
// candidateProbeTimeout.
func (p *Prober) probeAll(v *service, as []netip.AddrPort) {
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
	t := time.NewTimer(candidateProbeTimeout)
	defer t.Stop()
	for range as {
		select {
		case <-done:
		case <-t.C:
			return
		}
	}
}

// CheckReroute reports whether the answer to the call c is expected after
// wantedBy and later than that of another server. It first probes the server of
// c if its load report is old, and then the other candidates if that one is
// slow. It returns false without a probe while choice.Set.CheckDue does. wantedBy is
// the time by which the route's latency objective wants the answer, or zero without
// one.
func (p *Prober) CheckReroute(v *service, kind string, wantedBy time.Time, c choice.Call, tried []netip.AddrPort) bool {
	a := c.Server()
	if !v.set.CheckDue(time.Now(), wantedBy, c) {
		return false
	}
	if v.set.ReportOlderThan(time.Now(), a, maxReportAge) {
		p.probe(context.Background(), v, a)
	}
	if !v.set.ShouldReroute(time.Now(), wantedBy, c, tried) {
		return false
	}
	p.ProbeCandidates(v, kind, tried)
	return v.set.ShouldReroute(time.Now(), wantedBy, c, tried)
}

// SendDueProbes sends the probes that are due, at most one for each service.
func (p *Prober) SendDueProbes(ctx context.Context, now time.Time) {
	p.Services.each(func(_ string, v *service) {
		if a, ok := v.set.NextProbe(now); ok {
			go p.probe(ctx, v, a)
		}
	})
}

// probe fetches the load report of a server and records the result.
func (p *Prober) probe(ctx context.Context, v *service, a netip.AddrPort) {
	r := p.fetchReport(ctx, v, a)
	v.set.RecordProbe(time.Now(), a, r)
}

// fetchReport requests the load report of a server and records its notice. It
// returns nil if the server has no load endpoint or answers with an error, without a
// report or too late.
func (p *Prober) fetchReport(ctx context.Context, v *service, a netip.AddrPort) *load.Report {
	path := v.loadPath.Load()
	if path == nil || *path == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+*path, http.NoBody)
	if err != nil {
		return nil
	}
	p.sent.Add(1)
	w, err := p.Transport.RoundTrip(q)
	if err != nil {
		return nil
	}
	defer func() { _ = w.Body.Close() }()
	if !pool.IsValidFinal(w) {
		return nil
	}
	p.recordNotice(v, a, w)
	_, _ = io.CopyN(io.Discard, w.Body, maxProbeBody)
	parseLoad := p.ParseLoad
	if parseLoad == nil {
		parseLoad = func(h http.Header) (load.Report, bool) { return load.Parse(h.Get(load.Header)) }
	}
	r, ok := parseLoad(w.Header)
	if !ok || w.StatusCode != http.StatusOK {
		return nil
	}
	return &r
}

// recordNotice records what a server says of itself in the answer to a probe.
func (p *Prober) recordNotice(v *service, a netip.AddrPort, w *http.Response) {
	if p.Dialect == nil {
		return
	}
	n := choice.ParseNotice(p.Dialect, w.StatusCode, w.Header)
	if n != (choice.Notice{}) {
		v.set.RecordProbeNotice(time.Now(), a, w.Header.Get(p.Dialect.ServerName), n)
	}
}
