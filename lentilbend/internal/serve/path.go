package serve

import (
	"context"
	stdlog "log"
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

// buildPath makes the parts between callers and backend servers.
func (p *Process) buildPath() error {
	p.takeLibraryLog()
	c := &connections{
		Table: p.table,
		VMs:   p.countVMs,
		Held:  p.services.Held,
	}
	p.pools = pool.New(c.allowance)
	if p.isOpen() {
		// Each connection that servers accept has a price there.
		p.pools.Ahead = 0
		p.pools.SweepEvery = watchEvery
	}
	p.registry.MustRegister(&pool.Collector{Set: p.pools})
	p.forwarder = &backend.Forwarder{
		Pools:     p.pools,
		Chooser:   p.services,
		Logger:    p.root.Component("backend"),
		BodyLimit: p.Settings.Limits.Body,
		Budget:    p.forwarderBudget,
	}
	p.registry.MustRegister(p.forwarder)
	p.caller = &caller.Server{
		Settings: p.Settings.Caller,
		Sizes:    p.Settings.Limits,
		Handler: &caller.Handler{
			Table:       p.table,
			Next:        p.filters(),
			HeaderLimit: p.Settings.Limits.Header,
			Metrics:     caller.NewMetrics(p.registry),
			Logger:      p.root.Component("caller"),
		},
	}
	if p.isOpen() {
		p.forwarder.WatchEvery = watchEvery
		p.caller.Handler.Dialect = deployment.Dialect()
	}
	p.parts["Backend"] = p.forwarder
	p.parts["Caller"] = p.caller
	return p.caller.Listen()
}

// takeLibraryLog writes what net/http logs by itself, such as bytes that came
// on an idle connection, as debug lines.
func (p *Process) takeLibraryLog() {
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(level.Debug(p.root.Component("http"))))
}

// filters returns the row that every request passes.
func (p *Process) filters() exchange.Handler {
	if p.isOpen() {
		return exchange.Chain(p.forwarder, route.Filter{}, key.Filter{}, p.throttle, p.share)
	}
	return exchange.Chain(p.forwarder, route.Filter{}, key.Filter{}, p.rate, p.share)
}

// countVMs returns how many entry VMs use the backend servers.
func (p *Process) countVMs(now time.Time) int {
	if p.isOpen() {
		return p.open.State().Count
	}
	return p.fleet.Share(now).Count
}

// leave ends the callers' connections without cutting a request: a wait in
// which each answer asks the caller to go, then the end of what still runs.
func (p *Process) leave() error {
	s := p.Settings.Stop
	_ = level.Info(p.logger).Log("msg", "Stopping.", "wait", s.Wait, "open", p.caller.Open())
	p.caller.Leave()
	time.Sleep(s.Wait)
	_ = level.Info(p.logger).Log("msg", "Listening ends.", "open", p.caller.Open())
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	if err := p.caller.Shutdown(ctx); err != nil {
		_ = level.Warn(p.logger).Log("msg", "Requests were cut.", "open", p.caller.Open(), "err", err)
		return err
	}
	_ = level.Info(p.logger).Log("msg", "Stopped.")
	return nil
}
