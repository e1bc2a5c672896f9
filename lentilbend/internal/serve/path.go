package serve

import (
	"context"
	stdlog "log"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	deployment "lentilbend.example/platform"

	"lentilbend.example/lentilbend/internal/backend"
	"lentilbend.example/lentilbend/internal/caller"
	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/filter/key"
	"lentilbend.example/lentilbend/internal/filter/route"
	"lentilbend.example/lentilbend/internal/pool"
)

// buildRequestPath creates the components between callers and backend servers, and
// starts to listen for callers.
func (p *Process) buildRequestPath() error {
	p.redirectLibraryLog()
	c := &connectionLimits{
		Table:    p.table,
		VMCount:  p.countEntryVMs,
		Retained: p.services.RetainedConnectionLimit,
	}
	p.pools = pool.New(c.limit)
	if p.isOpenFleet() {
		// Each connection that a server accepts has a cost in an open fleet,
		// so none is opened ahead of need.
		p.pools.MinIdle = 0
		p.pools.SweepInterval = inFlightCheckInterval
		p.prober.Transport = &pool.Transport{Pools: p.pools, Timeout: time.Second, IsStray: answersRequest}
	}
	p.registry.MustRegister(&pool.Collector{Set: p.pools})
	p.forwarder = &backend.Forwarder{
		Pools:       p.pools,
		Chooser:     p.services,
		Logger:      p.root.Component("backend"),
		BodyLimit:   p.Settings.Limits.Body,
		FleetBudget: p.retryBudget,
	}
	p.registry.MustRegister(p.forwarder)
	p.caller = &caller.Server{
		Settings: p.Settings.Caller,
		Sizes:    p.Settings.Limits,
		Handler: &caller.Handler{
			Table:          p.table,
			Next:           p.filterChain(),
			TableWaitUntil: p.started.Add(p.Settings.Caller.TableWait),
			HeaderLimit:    p.Settings.Limits.Header,
			Metrics:        caller.NewMetrics(p.registry),
			Logger:         p.root.Component("caller"),
		},
	}
	if p.isOpenFleet() {
		p.forwarder.RerouteCheckInterval = inFlightCheckInterval
		p.caller.Handler.Dialect = deployment.Dialect()
	}
	p.dumpers["Backend"] = p.forwarder
	p.dumpers["Caller"] = p.caller
	return p.caller.Listen()
}

// answersRequest reports whether an answer is one to a request of a caller, which
// echoes the request's ID, and not to a probe.
func answersRequest(h http.Header) bool {
	return h.Get(deployment.Dialect().RequestID) != ""
}

// redirectLibraryLog logs what net/http writes to the standard logger, such as
// unexpected bytes on an idle connection, at debug level.
func (p *Process) redirectLibraryLog() {
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(level.Debug(p.root.Component("http"))))
}

// filterChain returns the handler chain that every request passes.
func (p *Process) filterChain() exchange.Handler {
	if p.isOpenFleet() {
		return exchange.Chain(p.forwarder, route.Filter{}, &p.shutdownFilter, key.Filter{}, p.throttleFilter, p.shareFilter)
	}
	return exchange.Chain(p.forwarder, route.Filter{}, &p.shutdownFilter, key.Filter{}, p.rateFilter, p.shareFilter)
}

// countEntryVMs returns the number of entry VMs that use the backend servers, this
// one included.
func (p *Process) countEntryVMs(now time.Time) int {
	if p.isOpenFleet() {
		return p.openFleet.State().Count
	}
	return p.fleet.Share(now).Count
}

// drain closes the callers' connections without interrupting requests. During
// Stop.Wait each answer asks the caller to use another connection; then the
// listener is closed, and running requests get Stop.Timeout to finish. From the
// beginning on, requests that may take longer than both are refused.
func (p *Process) drain() error {
	s := p.stopSettings.Load()
	end := time.Now().Add(s.Wait + s.Timeout)
	p.shutdownFilter.SetEnd(end)
	_ = level.Info(p.logger).Log("msg", "Stopping.", "wait", s.Wait, "open", p.caller.OpenConnections())
	p.caller.StartDrain()
	time.Sleep(s.Wait)
	_ = level.Info(p.logger).Log("msg", "Closing the listener.", "open", p.caller.OpenConnections())
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := p.caller.Shutdown(ctx); err != nil {
		_ = level.Warn(p.logger).Log("msg", "Failed to drain connections; remaining requests are aborted.", "open", p.caller.OpenConnections(), "err", err)
		return err
	}
	_ = level.Info(p.logger).Log("msg", "Stopped.")
	return nil
}
