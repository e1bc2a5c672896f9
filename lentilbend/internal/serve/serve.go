// Package serve wires the parts of an entry VM's process and runs them.
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
	"lentilbend.example/internal/roster"
	"lentilbend.example/internal/timer"

	"lentilbend.example/lentilbend/internal/backend"
	"lentilbend.example/lentilbend/internal/caller"
	"lentilbend.example/lentilbend/internal/chooser"
	"lentilbend.example/lentilbend/internal/filter/rate"
	"lentilbend.example/lentilbend/internal/filter/share"
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

// Times of the timer service.
const (
	tickResolution = 50 * time.Millisecond
	pauseAfter     = 500 * time.Millisecond
)

// Process is one entry VM's process. Set the exported fields before Run.
type Process struct {
	Settings *settings.Settings
	// SettingsFile is read again when it changed or on SIGHUP; empty for
	// settings that do not change.
	SettingsFile string
	// Output takes the log; standard output when nil.
	Output io.Writer
	// Signals brings the signals that stop the process; those of the system
	// when nil.
	Signals chan os.Signal

	root     *logging.Root
	logger   log.Logger
	bus      *event.Bus
	timer    *timer.Service
	store    *store.Store
	list     *platform.List
	reader   *platform.Reader
	relay    *relay.Relay
	hub      *peer.Hub
	fleet    *fleet.Fleet
	caller   *caller.Server
	operator *operator.Server
	registry *prometheus.Registry
	// pools and forwarder lead to the backend servers.
	pools     *pool.Set
	forwarder *backend.Forwarder
	parts     map[string]operator.Dumper
	stopping  atomic.Bool
	reloads   chan struct{}

	// open, watcher, workspaces and throttle stand in for fleet, reader,
	// limits and rate where the platform lists no VMs.
	open            *openfleet.Fleet
	watcher         *platform.Watcher
	workspaces      *roster.Limits
	throttle        *throttle.Filter
	forwarderBudget backend.FleetBudget

	services    *chooser.Services
	prober      *chooser.Prober
	share       *share.Filter
	limits      *limiter.Limiter
	rate        *rate.Filter
	news        chan struct{}
	started     time.Time
	settledOnce atomic.Bool
	stoodOnce   atomic.Bool
}

// Run serves until SIGTERM or SIGINT and a planned stop, or until a part
// fails. A second signal ends at once.
func (p *Process) Run() error {
	tuneMemory(p.Settings.Limits.Memory, p.Settings.Limits.Garbage)
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
	if p.isOpen() {
		run(func() error { return p.open.Run(ctx) })
		run(func() error { return p.watcher.Run(ctx) })
		if err := event.Subscribe(ctx, p.bus, p.limitWorkspaces); err != nil {
			return err
		}
	} else {
		run(func() error { return p.fleet.Run(ctx) })
		run(func() error { return p.reader.Run(ctx) })
		run(func() error { return p.limits.Run(ctx) })
	}
	run(func() error { return p.relay.Run(ctx) })
	run(func() error { return p.runChoice(ctx, p.hub) })
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
			p.askReload()
		}
	}
}

// askReload has the settings read again, unless that is about to happen.
func (p *Process) askReload() {
	select {
	case p.reloads <- struct{}{}:
	default:
	}
}

func (p *Process) build() error {
	s := p.Settings
	var err error
	if p.root, err = logging.New(p.output(), s.Log.Format, s.Log.Level); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	p.logger = p.root.Part("serve")
	p.started = time.Now()
	p.bus = event.NewBus()
	p.timer = &timer.Service{Bus: p.bus, Resolution: tickResolution, MinPause: pauseAfter}
	p.registry = prometheus.NewRegistry()
	p.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "lentilbend_log_dropped_total",
		Help: "Log lines that were left out, over their rate or for an output that is not read.",
	}, func() float64 { return float64(p.root.Dropped()) }))
	p.parts = map[string]operator.Dumper{}
	p.reloads = make(chan struct{}, 1)
	if p.isOpen() {
		p.buildOpenFleet()
	} else {
		p.buildFleet()
	}
	p.buildConfig()
	p.buildChoice()
	if p.isOpen() {
		p.buildOpenLimits()
	} else {
		p.buildLimits()
	}
	p.joinFleet()
	if err := p.buildPath(); err != nil {
		return err
	}
	p.operator = &operator.Server{
		Settings: s.Operator,
		Registry: p.registry,
		Ready:    p.ready,
		SetLevel: p.root.SetLevel,
		Parts:    p.parts,
	}
	return nil
}

func (p *Process) output() io.Writer {
	if p.Output != nil {
		return p.Output
	}
	return os.Stdout
}

func (p *Process) ready() error {
	if p.stopping.Load() {
		return errors.New("a planned stop has begun")
	}
	if !p.settled() {
		return errors.New("no table that is known to be the newest")
	}
	if !p.standing() {
		return errors.New("no share of the fleet-wide limits yet")
	}
	return nil
}

// stop runs a planned stop: not ready, a wait for the platform's balancer, and
// the end of running requests.
func (p *Process) stop(signals <-chan os.Signal) error {
	p.stopping.Store(true)
	_ = p.bus.Publish(event.Stopping{})
	done := make(chan error, 1)
	go func() { done <- p.leave() }()
	select {
	case err := <-done:
		return err
	case <-p.again(signals):
		return errors.New("serve: second signal, ended at once")
	}
}

// again returns a channel that is closed when a second signal asks for the end.
func (p *Process) again(signals <-chan os.Signal) <-chan struct{} {
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
