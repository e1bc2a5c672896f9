package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"

	"lentilbend.example/lentilbend/internal/peer"
	"lentilbend.example/lentilbend/internal/settings"
)

// stuck is a handler that takes no messages until it is released.
type stuck chan struct{}

// Handle waits.
func (s stuck) Handle(_ time.Time, _ member.ID, f *peerpb.Frame) {
	if f.GetHello() == nil {
		<-s
	}
}

// patience bounds waits for what must come; no test measures it.
const patience = 30 * time.Second

// node is a hub with what it received.
type node struct {
	hub   *peer.Hub
	stop  func()
	holes holes

	mu   sync.Mutex
	got  []uint64
	from []member.ID
}

// Handle records the requests of a frame and who opened streams.
func (n *node) Handle(_ time.Time, from member.ID, f *peerpb.Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.GetHello() != nil {
		n.from = append(n.from, from)
	}
	for _, m := range f.GetMember() {
		n.got = append(n.got, m.GetRequest())
	}
}

func (n *node) received() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]uint64(nil), n.got...)
}

func (n *node) met() []member.ID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]member.ID(nil), n.from...)
}

// port is the last port that free gave out. Ports from here are below those
// that the system gives to outgoing connections.
var port = 20200

// free returns an address that nobody listens at.
func free() netip.AddrPort {
	for ; ; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		if err != nil {
			continue
		}
		_ = l.Close()
		port++
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
}

// pair returns two free addresses, the lower first.
func pair() (netip.AddrPort, netip.AddrPort) {
	a, b := free(), free()
	if a.Compare(b) > 0 {
		return b, a
	}
	return a, b
}

func start(a netip.AddrPort, incarnation uint64, change ...func(*peer.Hub)) *node {
	n := &node{}
	n.hub = &peer.Hub{
		Self:     member.ID{Address: a, Incarnation: incarnation},
		Settings: settings.Peer{Address: a},
		Logger:   log.NewNopLogger(),
		Dial:     n.holes.dial,
		Times: peer.Times{
			Dial: 5 * time.Second, Silent: 300 * time.Millisecond, Acknowledge: 50 * time.Millisecond,
			Fallback: 100 * time.Millisecond, Backoff: 10 * time.Millisecond, BackoffMax: 100 * time.Millisecond,
		},
	}
	n.hub.Handlers = []peer.Handler{n}
	for _, f := range change {
		f(n.hub)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(n.hub.Run(ctx)).To(Succeed())
	}()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	DeferCleanup(n.stop)
	return n
}

func (n *node) send(to netip.AddrPort, number uint64) bool {
	return n.hub.Send(to, &peerpb.Frame{Member: []*peerpb.MemberMessage{{Request: number}}})
}

func connect(ns ...*node) {
	for _, n := range ns {
		var to []netip.AddrPort
		for _, o := range ns {
			if o != n {
				to = append(to, o.hub.Self.Address)
			}
		}
		n.hub.SetPeers(time.Now(), to)
	}
	for _, n := range ns {
		Eventually(n.hub.Connected, patience).Should(HaveLen(len(ns) - 1))
	}
}

// arrives sends numbers from one to another until one arrives.
func arrives(from, to *node, number uint64) {
	Eventually(func() []uint64 {
		from.send(to.hub.Self.Address, number)
		return to.received()
	}, patience).Should(ContainElement(number))
}

var _ = Describe("Hub", func() {
	It("carries frames both ways over one stream, in order", func() {
		l, h := pair()
		a, b := start(l, 1), start(h, 2)
		connect(a, b)
		var want []uint64
		for i := range uint64(1000) {
			want = append(want, i+1)
			Expect(a.send(h, i+1)).To(BeTrue())
			Expect(b.send(l, i+1)).To(BeTrue())
		}
		Eventually(a.received, patience).Should(Equal(want))
		Eventually(b.received, patience).Should(Equal(want))
		Expect(a.met()).To(Equal([]member.ID{b.hub.Self}))
		Expect(a.hub.Counters().SentFrames).To(BeNumerically("<=", 1000))
	})

	It("connects when only the higher address knows the other", func() {
		l, h := pair()
		a, b := start(l, 1), start(h, 2)
		b.hub.SetPeers(time.Now(), []netip.AddrPort{l})
		Eventually(a.hub.Connected, patience).Should(Equal([]netip.AddrPort{h}))
		arrives(a, b, 7)
	})

	It("connects to the process that replaces a crashed one", func() {
		l, h := pair()
		a, b := start(l, 1), start(h, 2)
		connect(a, b)
		b.stop()
		Eventually(a.hub.Connected, patience).Should(BeEmpty())
		Expect(a.send(h, 1)).To(BeFalse())
		c := start(h, 3)
		arrives(a, c, 8)
		Expect(a.met()).To(ContainElement(c.hub.Self))
	})

	DescribeTable("replaces a connection that lost", func(writes, reads bool) {
		l, h := pair()
		a, b := start(l, 1), start(h, 2)
		connect(a, b)
		arrives(a, b, 1)
		a.holes.lose(writes, reads)
		arrives(a, b, 2)
		arrives(b, a, 3)
		Expect(a.hub.Counters().SilentStreams + b.hub.Counters().SilentStreams).To(BeNumerically(">", 0))
	},
		Entry("both directions", true, true),
		Entry("the direction to the accepting end", true, false),
		Entry("the direction to the dialling end", false, true))

	It("refuses VMs that may not talk", func() {
		l, h := pair()
		a := start(l, 1)
		b := start(h, 2, func(h *peer.Hub) { h.Allowed = func(netip.Addr) bool { return false } })
		a.hub.SetPeers(time.Now(), []netip.AddrPort{h})
		Eventually(func() uint64 { return b.hub.Counters().Refused }, patience).Should(BeNumerically(">", 0))
		Expect(b.hub.Connected()).To(BeEmpty())
		Expect(b.met()).To(BeEmpty())
	})

	It("gives up messages when a peer takes none, and does not block", func() {
		l, h := pair()
		patient := func(h *peer.Hub) { h.Times.Silent = time.Hour }
		a := start(l, 1, patient)
		release := make(chan struct{})
		b := start(h, 2, patient, func(h *peer.Hub) { h.Handlers = []peer.Handler{stuck(release)} })
		connect(a, b)
		f := &peerpb.Frame{Member: []*peerpb.MemberMessage{{View: []*peerpb.MemberEntry{{Address: make([]byte, 4096)}}}}}
		Eventually(func() bool { return a.hub.Send(h, f) }, patience, time.Microsecond).Should(BeFalse())
		Expect(a.hub.Connected()).NotTo(BeEmpty())
		close(release)
	})

	It("answers pulls", func() {
		l, h := pair()
		a := start(l, 1)
		start(h, 2, func(h *peer.Hub) {
			h.Answer = func(q *peerpb.PullRequest) *peerpb.PullAnswer {
				return &peerpb.PullAnswer{Accepted: q.GetSince() + 1}
			}
		})
		Eventually(func(g Gomega) {
			x, err := a.hub.Pull(context.Background(), h, &peerpb.PullRequest{Since: 4})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(x.GetAccepted()).To(Equal(uint64(5)))
		}, patience).Should(Succeed())
	})
})
