package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/platformpb"

	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/relay"
	"lentilbend.example/lentilbend/internal/store"
)

// network connects relays in one process and can cut pairs.
type network struct {
	mu     sync.Mutex
	relays map[netip.AddrPort]*relay.Relay
	cut    map[[2]netip.AddrPort]bool
	// dark VMs leave pulls without an answer.
	dark map[netip.AddrPort]bool
	// answers replace the answers of VMs to pulls.
	answers map[*relay.Relay]func(context.Context) *peerpb.PullAnswer
}

// answer replaces the answers of a VM to pulls.
func (n *network) answer(r *relay.Relay, f func(context.Context) *peerpb.PullAnswer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answers = map[*relay.Relay]func(context.Context) *peerpb.PullAnswer{r: f}
}

// port is one VM's side of the network.
type port struct {
	network *network
	self    netip.AddrPort
}

func (p port) reach(to netip.AddrPort) *relay.Relay {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.cut[[2]netip.AddrPort{p.self, to}] {
		return nil
	}
	return p.network.relays[to]
}

func (p port) Send(to netip.AddrPort, f *peerpb.Frame) bool {
	r := p.reach(to)
	if r == nil {
		return false
	}
	go r.Receive(p.self, f.GetConfig())
	return true
}

func (p port) Pull(ctx context.Context, to netip.AddrPort, q *peerpb.PullRequest) (*peerpb.PullAnswer, error) {
	p.network.mu.Lock()
	dark := p.network.dark[to]
	p.network.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r := p.reach(to)
	if r == nil {
		return nil, errors.New("cut")
	}
	p.network.mu.Lock()
	f := p.network.answers[r]
	p.network.mu.Unlock()
	if f != nil {
		return f(ctx), nil
	}
	return r.Answer(q), nil
}

// fleet starts n relays that reach each other.
func fleet(n int) (*network, []*relay.Relay) {
	w := &network{relays: map[netip.AddrPort]*relay.Relay{}, cut: map[[2]netip.AddrPort]bool{}, dark: map[netip.AddrPort]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	var as []netip.AddrPort
	var rs []*relay.Relay
	for i := range n {
		a := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7", i+1))
		b := event.NewBus()
		r := &relay.Relay{
			Store:   &store.Store{Bus: b, Logger: log.NewNopLogger()},
			List:    &platform.ListStore{Bus: b},
			Bus:     b,
			Peers:   port{network: w, self: a},
			Logger:  log.NewNopLogger(),
			Members: func() []netip.AddrPort { return as },
		}
		as = append(as, a)
		rs = append(rs, r)
		w.relays[a] = r
	}
	for _, r := range rs {
		go func() { _ = r.Run(ctx) }()
	}
	return w, rs
}

func edit(r *relay.Relay, revision uint64) {
	since := r.Store.NewestRevision()
	r.Store.ApplyPlatform(since, &platformpb.ValuesAnswer{Revision: revision, Values: []*platformpb.Value{
		{Name: "DataCentres", Revision: revision, Text: "DataCentre = []"},
		{Name: "Routes", Revision: revision, Text: "Route = []"},
		{Name: "Workspaces", Revision: revision, Text: fmt.Sprintf("Workspace = [] # %d", revision)},
	}})
}

// lowest returns the lowest revision in force.
func lowest(rs []*relay.Relay) func() uint64 {
	return func() uint64 {
		least := rs[0].Store.Accepted().Revision
		for _, r := range rs {
			least = min(least, r.Store.Accepted().Revision)
		}
		return least
	}
}

var _ = Describe("Relay", func() {
	It("brings an edit that one VM read to all, and the VM list too", func() {
		_, rs := fleet(16)
		edit(rs[3], 7)
		rs[5].List.Apply(&platformpb.VmsAnswer{Revision: 9})
		Eventually(lowest(rs), 30*time.Second).Should(Equal(uint64(7)))
		for _, r := range rs {
			Eventually(r.List.Revision, 30*time.Second).Should(Equal(uint64(9)))
		}
	})

	It("reaches a VM that hears only one other VM", func() {
		w, rs := fleet(4)
		lone := netip.MustParseAddrPort("10.0.0.4:7")
		w.mu.Lock()
		for _, o := range []string{"10.0.0.1:7", "10.0.0.2:7"} {
			a := netip.MustParseAddrPort(o)
			w.cut[[2]netip.AddrPort{a, lone}] = true
			w.cut[[2]netip.AddrPort{lone, a}] = true
		}
		w.mu.Unlock()
		edit(rs[0], 2)
		Eventually(lowest(rs), 30*time.Second).Should(Equal(uint64(2)))
	})

	It("goes on with another VM when one that announced a version is gone", func() {
		w, rs := fleet(3)
		for _, r := range rs {
			r.PullTimeout = 300 * time.Millisecond
		}
		gone, other := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")
		w.mu.Lock()
		w.dark[gone] = true
		w.cut[[2]netip.AddrPort{other, netip.MustParseAddrPort("10.0.0.3:7")}] = true
		w.mu.Unlock()
		rs[2].Receive(gone, []*peerpb.ConfigMessage{{Accepted: 3, Digest: 1}})
		edit(rs[1], 3)
		time.Sleep(100 * time.Millisecond)
		rs[2].Receive(other, []*peerpb.ConfigMessage{{Accepted: 3, Digest: rs[1].Store.Accepted().Digest}})
		Eventually(func() uint64 { return rs[2].Store.Accepted().Revision }, 1500*time.Millisecond).Should(Equal(uint64(3)))
	})

	It("does not bring an older version back", func() {
		_, rs := fleet(3)
		edit(rs[0], 5)
		Eventually(lowest(rs), 30*time.Second).Should(Equal(uint64(5)))
		edit(rs[1], 4)
		rs[2].Receive(netip.MustParseAddrPort("10.0.0.2:7"), []*peerpb.ConfigMessage{{Accepted: 4}})
		Consistently(lowest(rs), 500*time.Millisecond).Should(Equal(uint64(5)))
	})
})
