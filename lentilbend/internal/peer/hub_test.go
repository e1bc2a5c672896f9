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

// blockingHandler blocks on every frame but Hello until the channel is closed.
type blockingHandler chan struct{}

// Handle blocks until the channel is closed.
func (h blockingHandler) Handle(_, _ time.Time, _ member.ID, f *peerpb.Frame) {
	if f.GetHello() == nil {
		<-h
	}
}

// panickingHandler panics on every frame.
type panickingHandler struct{}

// Handle panics.
func (panickingHandler) Handle(time.Time, time.Time, member.ID, *peerpb.Frame) {
	panic("unexpected")
}

// eventualTimeout bounds waits for conditions that must become true. No test
// measures how long that takes.
const eventualTimeout = 30 * time.Second

// node is a hub and a record of the frames that it received.
type node struct {
	hub    *peer.Hub
	stop   func()
	dialer lossyDialer

	mu sync.Mutex
	// requests are the Request numbers of the received member messages.
	requests []uint64
	// hellos are the senders of the received frames with Hello.
	hellos []member.ID
	// sentAfter are the times after which the member messages were sent.
	sentAfter map[uint64]time.Time
}

// Handle records the request numbers of a frame, and the sender of a Hello.
func (n *node) Handle(_, sentAfter time.Time, from member.ID, f *peerpb.Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.GetHello() != nil {
		n.hellos = append(n.hellos, from)
	}
	for _, m := range f.GetMember() {
		n.requests = append(n.requests, m.GetRequest())
		if n.sentAfter == nil {
			n.sentAfter = map[uint64]time.Time{}
		}
		n.sentAfter[m.GetRequest()] = sentAfter
	}
}

func (n *node) receivedRequests() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]uint64(nil), n.requests...)
}

// sentAfterOf returns the time after which a received request number was sent.
func (n *node) sentAfterOf(number uint64) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sentAfter[number]
}

func (n *node) helloSenders() []member.ID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]member.ID(nil), n.hellos...)
}

// lastPort is the last port that freeAddress returned. It starts below the
// ephemeral ports, which the system assigns to outgoing connections.
var lastPort = 20200

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() netip.AddrPort {
	for ; ; lastPort++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lastPort+1))
		if err != nil {
			continue
		}
		_ = l.Close()
		lastPort++
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
}

// freeAddressPair returns two free addresses, the lower one first.
func freeAddressPair() (netip.AddrPort, netip.AddrPort) {
	a, b := freeAddress(), freeAddress()
	if a.Compare(b) > 0 {
		return b, a
	}
	return a, b
}

// startNode runs a hub until the end of the spec. The options change the hub
// before it runs.
func startNode(a netip.AddrPort, incarnation uint64, options ...func(*peer.Hub)) *node {
	n := &node{}
	n.hub = &peer.Hub{
		Self:     member.ID{Address: a, Incarnation: incarnation},
		Settings: settings.Peer{Address: a},
		Logger:   log.NewNopLogger(),
		Dial:     n.dialer.dial,
		Timing: peer.Timing{
			DialTimeout: 5 * time.Second, SilenceTimeout: 300 * time.Millisecond, AckDelay: 50 * time.Millisecond,
			FallbackDelay: 100 * time.Millisecond, MinBackoff: 10 * time.Millisecond, MaxBackoff: 100 * time.Millisecond,
		},
	}
	n.hub.Handlers = []peer.Handler{n}
	for _, f := range options {
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

// connectNodes makes each node connect to all others and waits for the streams.
func connectNodes(ns ...*node) {
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
		Eventually(n.hub.Connected, eventualTimeout).Should(HaveLen(len(ns) - 1))
	}
}

// expectDelivery sends a request number repeatedly until it arrives.
func expectDelivery(from, to *node, number uint64) {
	Eventually(func() []uint64 {
		from.send(to.hub.Self.Address, number)
		return to.receivedRequests()
	}, eventualTimeout).Should(ContainElement(number))
}

var _ = Describe("Hub", func() {
	It("carries frames both ways over one stream, in order", func() {
		l, h := freeAddressPair()
		a, b := startNode(l, 1), startNode(h, 2)
		connectNodes(a, b)
		var want []uint64
		for i := range uint64(1000) {
			want = append(want, i+1)
			Expect(a.send(h, i+1)).To(BeTrue())
			Expect(b.send(l, i+1)).To(BeTrue())
		}
		Eventually(a.receivedRequests, eventualTimeout).Should(Equal(want))
		Eventually(b.receivedRequests, eventualTimeout).Should(Equal(want))
		Expect(a.helloSenders()).To(Equal([]member.ID{b.hub.Self}))
		Expect(a.hub.Counters().SentFrames).To(BeNumerically("<=", 1000))
	})

	It("tells a time after which a frame was sent, however late it arrives", func() {
		l, h := freeAddressPair()
		stall := make(chan struct{})
		a := startNode(l, 1)
		b := startNode(h, 2, func(h *peer.Hub) {
			h.Handlers = append([]peer.Handler{blockingHandler(stall)}, h.Handlers...)
			h.Timing.SilenceTimeout = 5 * time.Second
		})
		connectNodes(a, b)
		Expect(b.send(l, 1)).To(BeTrue())
		Eventually(a.receivedRequests, eventualTimeout).Should(Equal([]uint64{1}))
		// The first message stalls b; the second one is read much later.
		Expect(a.send(h, 1)).To(BeTrue())
		time.Sleep(50 * time.Millisecond)
		Expect(a.send(h, 2)).To(BeTrue())
		sent := time.Now()
		time.Sleep(200 * time.Millisecond)
		Expect(b.send(l, 2)).To(BeTrue())
		time.Sleep(100 * time.Millisecond)
		close(stall)
		Eventually(b.receivedRequests, eventualTimeout).Should(Equal([]uint64{1, 2}))
		Expect(b.sentAfterOf(2)).To(BeTemporally("<=", sent))
	})

	It("tells a recent time while frames go both ways", func() {
		l, h := freeAddressPair()
		a, b := startNode(l, 1), startNode(h, 2)
		connectNodes(a, b)
		for i := range uint64(20) {
			before := time.Now()
			expectDelivery(a, b, 2*i+2)
			expectDelivery(b, a, 2*i+3)
			// Send times are kept in steps of 10 ms.
			Expect(a.sentAfterOf(2*i + 3)).To(BeTemporally(">=", before.Add(-10*time.Millisecond)))
		}
	})

	It("connects when only the higher address knows the other", func() {
		l, h := freeAddressPair()
		a, b := startNode(l, 1), startNode(h, 2)
		b.hub.SetPeers(time.Now(), []netip.AddrPort{l})
		Eventually(a.hub.Connected, eventualTimeout).Should(Equal([]netip.AddrPort{h}))
		expectDelivery(a, b, 7)
	})

	It("connects to the process that replaces a stopped one", func() {
		l, h := freeAddressPair()
		a, b := startNode(l, 1), startNode(h, 2)
		connectNodes(a, b)
		b.stop()
		Eventually(a.hub.Connected, eventualTimeout).Should(BeEmpty())
		Expect(a.send(h, 1)).To(BeFalse())
		c := startNode(h, 3)
		expectDelivery(a, c, 8)
		Expect(a.helloSenders()).To(ContainElement(c.hub.Self))
	})

	DescribeTable("replaces a connection that loses data in", func(writes, reads bool) {
		l, h := freeAddressPair()
		a, b := startNode(l, 1), startNode(h, 2)
		connectNodes(a, b)
		expectDelivery(a, b, 1)
		a.dialer.setLossy(writes, reads)
		expectDelivery(a, b, 2)
		expectDelivery(b, a, 3)
		Expect(a.hub.Counters().SilentStreams + b.hub.Counters().SilentStreams).To(BeNumerically(">", 0))
	},
		Entry("both directions", true, true),
		Entry("the direction from the dialling to the accepting end", true, false),
		Entry("the direction from the accepting to the dialling end", false, true))

	It("refuses VMs that are not allowed", func() {
		l, h := freeAddressPair()
		a := startNode(l, 1)
		b := startNode(h, 2, func(h *peer.Hub) { h.Allowed = func(netip.Addr) bool { return false } })
		a.hub.SetPeers(time.Now(), []netip.AddrPort{h})
		Eventually(func() uint64 { return b.hub.Counters().Refused }, eventualTimeout).Should(BeNumerically(">", 0))
		Expect(b.hub.Connected()).To(BeEmpty())
		Expect(b.helloSenders()).To(BeEmpty())
	})

	It("rejects messages without blocking when a peer's queue is full", func() {
		l, h := freeAddressPair()
		withoutSilenceTimeout := func(h *peer.Hub) { h.Timing.SilenceTimeout = time.Hour }
		a := startNode(l, 1, withoutSilenceTimeout)
		release := make(chan struct{})
		b := startNode(h, 2, withoutSilenceTimeout, func(h *peer.Hub) { h.Handlers = []peer.Handler{blockingHandler(release)} })
		connectNodes(a, b)
		f := &peerpb.Frame{Member: []*peerpb.MemberMessage{{View: []*peerpb.MemberEntry{{Address: make([]byte, 4096)}}}}}
		Eventually(func() bool { return a.hub.Send(h, f) }, eventualTimeout, time.Microsecond).Should(BeFalse())
		Expect(a.hub.Connected()).NotTo(BeEmpty())
		close(release)
	})

	It("survives a handler that panics, and keeps the stream", func() {
		l, h := freeAddressPair()
		a := startNode(l, 1)
		b := startNode(h, 2, func(o *peer.Hub) { o.Handlers = append([]peer.Handler{panickingHandler{}}, o.Handlers...) })
		connectNodes(a, b)
		Expect(a.send(h, 1)).To(BeTrue())
		Expect(a.send(h, 2)).To(BeTrue())
		Eventually(b.receivedRequests, eventualTimeout).Should(Equal([]uint64{1, 2}))
		Expect(b.hub.Counters().Panics).To(BeNumerically(">=", 2))
		Expect(a.helloSenders()).To(HaveLen(1))
	})

	// Guards against a change that waits for a pull over a connection that has gone
	// silent for good.
	It("pulls over a new connection when the open one has gone silent", func() {
		l, h := freeAddressPair()
		a := startNode(l, 1)
		startNode(h, 2, func(h *peer.Hub) {
			h.AnswerPull = func(q *peerpb.PullRequest) *peerpb.PullAnswer {
				return &peerpb.PullAnswer{Accepted: q.GetSince() + 1}
			}
		})
		pull := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			_, err := a.hub.Pull(ctx, h, &peerpb.PullRequest{Since: 4})
			return err
		}
		Eventually(pull, eventualTimeout).Should(Succeed())
		for n := range 3 {
			a.dialer.setLossy(true, true)
			Expect(pull()).To(Succeed())
			Expect(a.hub.Counters().RepeatedPulls).To(Equal(uint64(n + 1)))
		}
		Expect(pull()).To(Succeed())
		Expect(a.hub.Counters().RepeatedPulls).To(Equal(uint64(3)))
	})

	It("answers pulls", func() {
		l, h := freeAddressPair()
		a := startNode(l, 1)
		startNode(h, 2, func(h *peer.Hub) {
			h.AnswerPull = func(q *peerpb.PullRequest) *peerpb.PullAnswer {
				return &peerpb.PullAnswer{Accepted: q.GetSince() + 1}
			}
		})
		Eventually(func(g Gomega) {
			x, err := a.hub.Pull(context.Background(), h, &peerpb.PullRequest{Since: 4})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(x.GetAccepted()).To(Equal(uint64(5)))
		}, eventualTimeout).Should(Succeed())
	})
})
