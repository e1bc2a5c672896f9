package serve

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/event"
	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"

	"lentilbend.example/lentilbend/internal/chooser"
	"lentilbend.example/lentilbend/internal/filter/share"
)

// Times of the choice of servers.
const (
	// choiceEvery is the time between looks at waiting requests and at news
	// that was held back.
	choiceEvery = 10 * time.Millisecond
	// choiceEveryOpen is the same on small VMs whose processor time has a
	// price; requests take some hundred milliseconds there.
	choiceEveryOpen = 40 * time.Millisecond
	probeEvery      = 500 * time.Millisecond
)

// buildChoice makes the part that chooses backend servers.
func (p *Process) buildChoice() {
	p.services = &chooser.Services{
		Wake:   p.wakeNews,
		Policy: choice.NewInformed(),
		Logger: p.root.Component("choice"),
		Table:  p.store.Table,
		VMs:    p.list.Newest,
	}
	p.prober = &chooser.Prober{Services: p.services, Transport: &http.Transport{DisableKeepAlives: true}}
	p.news = make(chan struct{}, 1)
	p.share = &share.Filter{Gate: p.services.Gate}
	p.registry.MustRegister(p.services, p.share)
	p.parts["Choice"] = p.services
}

// runChoice keeps the choice up to date until ctx ends.
func (p *Process) runChoice(ctx context.Context, peers sender) error {
	refresh := func() { p.services.Refresh(time.Now()) }
	if err := event.Subscribe(ctx, p.bus, func(event.TableAccepted) { refresh() }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, p.bus, func(event.ListRead) { refresh() }); err != nil {
		return err
	}
	refresh()
	go p.probe(ctx)
	every := choiceEvery
	if p.isOpen() {
		every = choiceEveryOpen
	}
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.news:
			p.tell(peers, p.services.News(time.Now()))
		case now := <-t.C:
			p.services.Tick(now)
			p.tell(peers, p.services.News(now))
		}
	}
}

// wakeNews makes runChoice tell the news at once.
func (p *Process) wakeNews() {
	select {
	case p.news <- struct{}{}:
	default:
	}
}

func (p *Process) probe(ctx context.Context) {
	b := p.prober
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			b.Step(ctx, now)
		}
	}
}

// sender sends frames to other entry VMs.
type sender interface {
	Send(to netip.AddrPort, f *peerpb.Frame) bool
}

func (p *Process) tell(peers sender, ms []*peerpb.LoadMessage) {
	if len(ms) == 0 {
		return
	}
	for _, a := range p.answering() {
		peers.Send(a, &peerpb.Frame{Load: ms})
	}
}

// loadNews takes the news of other entry VMs, and greets those that come with
// what is known.
type loadNews struct {
	services *chooser.Services
	peers    sender
}

// Handle takes a frame of a peer.
func (n *loadNews) Handle(now time.Time, from member.ID, f *peerpb.Frame) {
	if len(f.GetLoad()) > 0 {
		n.services.Hear(now, from.Address, f.GetLoad())
	}
	if f.GetHello() == nil {
		return
	}
	if ms := n.services.Standing(now); len(ms) > 0 {
		n.peers.Send(from.Address, &peerpb.Frame{Load: ms})
	}
}
