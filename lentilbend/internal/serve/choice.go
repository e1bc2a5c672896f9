package serve

import (
	"context"
	"net/netip"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/event"
	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"

	"lentilbend.example/lentilbend/internal/chooser"
	"lentilbend.example/lentilbend/internal/filter/share"
)

// Intervals of the chooser.
const (
	// chooserInterval is the time between checks of queued requests and of
	// state updates held back earlier.
	chooserInterval = 10 * time.Millisecond
	// openFleetChooserInterval replaces chooserInterval in an open fleet. Its VMs
	// are small and their CPU time has a cost, and its requests take a few hundred
	// milliseconds.
	openFleetChooserInterval = 40 * time.Millisecond
	probeInterval            = 500 * time.Millisecond
)

// buildChooser creates the components that choose backend servers.
func (p *Process) buildChooser() {
	p.services = &chooser.Services{
		Wake:   p.signalUpdates,
		Policy: choice.NewInformed(),
		Logger: p.root.Component("choice"),
		Table:  p.store.Table,
		VMList: p.vmList.Newest,
	}
	p.prober = &chooser.Prober{Services: p.services, Transport: chooser.NewProbeTransport()}
	p.updatesReady = make(chan struct{}, 1)
	p.shareFilter = &share.Filter{Gate: p.services.Gate}
	p.registry.MustRegister(p.services, p.shareFilter)
	p.dumpers["Choice"] = p.services
}

// runChooser keeps the chooser up to date and sends its state updates to the
// other entry VMs until ctx is done.
func (p *Process) runChooser(ctx context.Context, peers sender) error {
	refresh := func() { p.services.Refresh(time.Now()) }
	if err := event.Subscribe(ctx, p.bus, func(event.TableAccepted) { refresh() }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, p.bus, func(event.ListRead) { refresh() }); err != nil {
		return err
	}
	refresh()
	go p.runProber(ctx)
	every := chooserInterval
	if p.isOpenFleet() {
		every = openFleetChooserInterval
	}
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.updatesReady:
			p.broadcastUpdates(peers, p.services.TakeUpdates(time.Now()))
		case now := <-t.C:
			p.services.Tick(now)
			p.broadcastUpdates(peers, p.services.TakeUpdates(now))
		}
	}
}

// signalUpdates makes runChooser send pending state updates at once. It does not
// block.
func (p *Process) signalUpdates() {
	select {
	case p.updatesReady <- struct{}{}:
	default:
	}
}

// runProber sends the background probes to backend servers until ctx is done.
func (p *Process) runProber(ctx context.Context) {
	b := p.prober
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			b.SendDueProbes(ctx, now)
		}
	}
}

// sender sends frames to other entry VMs.
type sender interface {
	Send(to netip.AddrPort, f *peerpb.Frame) bool
}

// broadcastUpdates sends state updates to the VMs that answeringVMs returns.
func (p *Process) broadcastUpdates(peers sender, ms []*peerpb.LoadMessage) {
	if len(ms) == 0 {
		return
	}
	for _, a := range p.answeringVMs() {
		peers.Send(a, &peerpb.Frame{Load: ms})
	}
}

// stateUpdateHandler applies the state updates of other entry VMs, and sends the
// current states to a VM that just connected.
type stateUpdateHandler struct {
	services *chooser.Services
	peers    sender
}

// Handle implements peer.Handler.
func (h *stateUpdateHandler) Handle(now, _ time.Time, from member.ID, f *peerpb.Frame) {
	if len(f.GetLoad()) > 0 {
		h.services.ApplyUpdates(now, from.Address, f.GetLoad())
	}
	if f.GetHello() == nil {
		return
	}
	if ms := h.services.CurrentStates(now); len(ms) > 0 {
		h.peers.Send(from.Address, &peerpb.Frame{Load: ms})
	}
}
