// Package serve builds the components of an entry VM's process and runs them.
//
// A process runs in one of two kinds of fleet. Where the platform lists the entry
// VMs, lease-based membership (package fleet) and fleet-wide limits (package
// limiter) apply. In an open fleet there is no such list; the VMs find each other
// by seeds (package openfleet).
package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/retry"
	"lentilbend.example/internal/roster"
	"lentilbend.example/internal/timer"

	"lentilbend.example/lentilbend/internal/backend"
	"lentilbend.example/lentilbend/internal/caller"
	"lentilbend.example/lentilbend/internal/chooser"
	"lentilbend.example/lentilbend/internal/filter/rate"
	"lentilbend.example/lentilbend/internal/filter/share"
	"lentilbend.example/lentilbend/internal/filter/shutdown"
	"lentilbend.example/lentilbend/internal/filter/throttle"
	"lentilbend.example/lentilbend/internal/fleet"
	"lentilbend.example/lentilbend/internal/limiter"
	"lentilbend.example/lentilbend/internal/logging"
	"lentilbend.example/lentilbend/internal/openfleet"
	"lentilbend.example/lentilbend/internal/operator"
	"lentilbend.example/lentilbend/internal/peer"
	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/pool"
	"lentilbend.example/lentilbend/internal/relay"
	"lentilbend.example/lentilbend/internal/settings"
	"lentilbend.example/lentilbend/internal/store"
)

// Parameters of the timer service.
const (
	tickResolution = 50 * time.Millisecond
	// pauseThreshold is the shortest gap between ticks that counts as a pause of
	// the process.
	pauseThreshold = 500 * time.Millisecond
)

// Process is one entry VM's process. Set the exported fields before Run.
type Process struct {
	Settings *settings.Settings
	// SettingsFile is reloaded when it changes or on SIGHUP; empty for settings
	// that do not change.
	SettingsFile string
	// Output receives the log; os.Stdout when nil.
	Output io.Writer
	// Signals delivers SIGHUP to reload the settings; any other signal stops the
	// process. When nil, Run uses the process's own signals.
	Signals chan os.Signal

	root     *logging.Root
	logger   log.Logger
	bus      *event.Bus
	timer    *timer.Service
	store    *store.Store
	vmList   *platform.ListStore
	reader   *platform.Reader
	relay    *relay.Relay
	hub      *peer.Hub
	fleet    *fleet.Fleet
	caller   *caller.Server
	operator *operator.Server
	registry *prometheus.Registry
	// pools and forwarder send requests to the backend servers.
	pools     *pool.Set
	forwarder *backend.Forwarder
	// dumpers are the components shown in the operator's dump, by name.
	dumpers  map[string]operator.Dumper
	stopping atomic.Bool
	// reloadRequests holds at most one pending request to reload the settings.
	reloadRequests chan struct{}

	// Components of an open fleet: openFleet, watcher, workspaceLimits and
	// throttleFilter replace fleet, reader, limiter and rateFilter. In other
	// fleets they are nil.
	openFleet       *openfleet.Fleet
	watcher         *platform.Watcher
	workspaceLimits *roster.Limits
	throttleFilter  *throttle.Filter
	retryBudget     *retry.Budget

	services       *chooser.Services
	prober         *chooser.Prober
	shareFilter    *share.Filter
	shutdownFilter shutdown.Filter
	// stopSettings are the settings of the next graceful shutdown.
	stopSettings atomic.Pointer[settings.Stop]
	limiter      *limiter.Limiter
	rateFilter   *rate.Filter
	// updatesReady has an item when state updates wait to be sent.
	updatesReady chan struct{}
	started      time.Time
	// tableConfirmed and shareWaitDone stay set once hasCurrentTable and
	// doneWaitingForShare have returned true.
	tableConfirmed atomic.Bool
	shareWaitDone  atomic.Bool
}

// Run serves until SIGTERM or SIGINT starts a graceful shutdown and the process has
// drained, or until a component fails. A second signal ends the process at once.
func (p *Process) Run() error {
	configureGC(p.Settings.Limits.Memory, p.Settings.Limits.Garbage)
	if err := p.build(); err != nil {
		return err
	}
	defer p.root.Flush()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 8)
	run := func(f func() error) {
		go func() {
			if err := f(); err != nil {
				failed <- err
			}
		}()
	}
	run(func() error { return p.timer.Run(ctx) })
	run(func() error { return p.hub.Run(ctx) })
	if p.isOpenFleet() {
		run(func() error { return p.openFleet.Run(ctx) })
		run(func() error { return p.watcher.Run(ctx) })
		run(func() error { return p.store.Run(ctx) })
		if err := event.Subscribe(ctx, p.bus, p.applyWorkspaceLimits); err != nil {
			return err
		}
		if err := event.Subscribe(ctx, p.bus, func(event.Pause) { p.watcher.DiscardReads() }); err != nil {
			return err
		}
	} else {
		run(func() error { return p.fleet.Run(ctx) })
		run(func() error { return p.reader.Run(ctx) })
		run(func() error { return p.limiter.Run(ctx) })
	}
	run(func() error { return p.relay.Run(ctx) })
	run(func() error { return p.runChooser(ctx, p.hub) })
	run(func() error { return p.watchSettings(ctx) })
	run(p.operator.Run)
	run(func() error { return p.pools.Run(ctx) })
	run(p.caller.Run)
	_ = level.Info(p.logger).Log("msg", "Serving.", "address", p.Settings.Caller.Address)
	signals := p.Signals
	if signals == nil {
		signals = make(chan os.Signal, 2)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	}
	for {
		select {
		case err := <-failed:
			return err
		case s := <-signals:
			if s != syscall.SIGHUP {
				return p.stop(signals)
			}
			p.requestReload()
		}
	}
}

// requestReload requests a reload of the settings, unless one is pending.
func (p *Process) requestReload() {
	select {
	case p.reloadRequests <- struct{}{}:
	default:
	}
}

func (p *Process) build() error {
	s := p.Settings
	var err error
	if p.root, err = logging.New(p.output(), s.Log.Format, s.Log.Level); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	p.logger = p.root.Component("serve")
	p.stopSettings.Store(&s.Stop)
	p.started = time.Now()
	p.bus = event.NewBus()
	p.timer = &timer.Service{Bus: p.bus, Resolution: tickResolution, MinPause: pauseThreshold}
	p.registry = prometheus.NewRegistry()
	p.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "lentilbend_log_dropped_total",
		Help: "Log lines that were left out, over their rate or for an output that is not read.",
	}, func() float64 { return float64(p.root.Dropped()) }))
	p.dumpers = map[string]operator.Dumper{}
	p.reloadRequests = make(chan struct{}, 1)
	if p.isOpenFleet() {
		p.buildOpenFleet()
	} else {
		p.buildFleet()
	}
	p.buildConfig()
	p.buildChooser()
	if p.isOpenFleet() {
		p.buildOpenLimits()
	} else {
		p.buildLimits()
	}
	p.connectFleet()
	if err := p.buildRequestPath(); err != nil {
		return err
	}
	p.operator = &operator.Server{
		Settings: s.Operator,
		Registry: p.registry,
		Ready:    p.ready,
		SetLevel: p.root.SetLevel,
		Dumpers:  p.dumpers,
		Explain:  p.newExplainer(),
	}
	return nil
}

func (p *Process) output() io.Writer {
	if p.Output != nil {
		return p.Output
	}
	return os.Stdout
}

// ready returns nil when callers may be sent to this VM, or the reason why not. The
// texts are the body of the readiness endpoint.
func (p *Process) ready() error {
	if p.stopping.Load() {
		return errors.New("a planned stop has begun")
	}
	if !p.hasCurrentTable() {
		return errors.New("no table that is known to be the newest")
	}
	if !p.doneWaitingForShare() {
		return errors.New("no share of the fleet-wide limits yet")
	}
	return nil
}

// stop runs a graceful shutdown: the VM becomes not ready, waits for the platform's
// load balancer to notice, and drains running requests.
func (p *Process) stop(signals <-chan os.Signal) error {
	p.stopping.Store(true)
	_ = p.bus.Publish(event.Stopping{})
	done := make(chan error, 1)
	go func() { done <- p.drain() }()
	select {
	case err := <-done:
		return err
	case <-p.secondSignal(signals):
		return errors.New("serve: second signal, ended at once")
	}
}

// secondSignal returns a channel that is closed when a signal other than SIGHUP
// arrives.
func (p *Process) secondSignal(signals <-chan os.Signal) <-chan struct{} {
	c := make(chan struct{})
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				close(c)
				return
			}
		}
	}()
	return c
}
