package fleet_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"

	"lentilbend.example/lentilbend/internal/fleet"
)

// transport records the messages sent.
type transport struct {
	mu   sync.Mutex
	to   []netip.AddrPort
	sent []*peerpb.MemberMessage
}

func (t *transport) SetPeers(_ time.Time, to []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.to = to
}

func (t *transport) Send(_ netip.AddrPort, f *peerpb.Frame) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = append(t.sent, f.GetMember()...)
	return true
}

func (t *transport) messages() []*peerpb.MemberMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.sent)
}

var (
	self  = member.ID{Address: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 5}
	other = member.ID{Address: netip.MustParseAddrPort("10.0.0.2:1"), Incarnation: 6}
)

// grantLeases answers, as the other VM, all lease requests sent so far.
func grantLeases(f *fleet.Fleet) {
	t := f.Transport.(*transport)
	for _, m := range t.messages() {
		if m.GetRequest() > 0 {
			a := &peerpb.MemberMessage{
				Request: m.GetRequest(), Grant: m.GetRequest(), Probe: m.GetProbe(), Digest: 1, HasView: true,
			}
			f.Handle(time.Now(), time.Now(), other, &peerpb.Frame{Member: []*peerpb.MemberMessage{a}})
		}
	}
}

func newFleet(options ...func(*fleet.Fleet)) (*fleet.Fleet, *transport) {
	t := &transport{}
	f := &fleet.Fleet{
		Node: &member.Node{
			Self: self, LeaseDuration: member.DefaultLeaseDuration, MaxListAge: member.DefaultMaxListAge, MaxDelegationTime: member.DefaultMaxDelegationTime,
			MaxRequestTime: member.DefaultMaxRequestTime, MaxListOutage: member.DefaultMaxListOutage, MaxClockDrift: member.DefaultMaxClockDrift,
		},
		Transport: t, Bus: event.NewBus(), Logger: log.NewNopLogger(),
	}
	for _, o := range options {
		o(f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() {
		defer GinkgoRecover()
		Expect(f.Run(ctx)).To(Succeed())
	}()
	return f, t
}

var _ = Describe("Fleet", func() {
	It("connects to the listed VMs and accepts connections only from them", func() {
		f, t := newFleet()
		f.ApplyList(time.Now(), 1, []member.VM{{Address: self.Address}, {Address: other.Address}})
		Expect(t.to).To(Equal([]netip.AddrPort{other.Address}))
		Expect(f.Allowed(other.Address.Addr())).To(BeTrue())
		Expect(f.Allowed(netip.MustParseAddr("10.0.0.3"))).To(BeFalse())
	})

	It("counts a VM that requests a lease, and grants the lease", func() {
		f, t := newFleet()
		m := &peerpb.MemberMessage{Request: 3}
		f.Handle(time.Now(), time.Now(), other, &peerpb.Frame{Member: []*peerpb.MemberMessage{m}})
		Expect(f.Share(time.Now()).Count).To(Equal(2))
		Expect(t.messages()).To(ContainElement(HaveField("Grant", uint64(3))))
	})

	It("uses no share once the wall clock shows that the VM was suspended", func() {
		var suspended atomic.Int64
		f, _ := newFleet(func(f *fleet.Fleet) {
			f.WallClock = func(now time.Time) time.Time { return now.Round(0).Add(time.Duration(suspended.Load())) }
		})
		Eventually(func() bool {
			f.ApplyList(time.Now(), 1, []member.VM{{Address: self.Address}, {Address: other.Address}})
			grantLeases(f)
			return f.Share(time.Now()).Usable
		}, 30*time.Second).Should(BeTrue())
		suspended.Store(int64(time.Minute))
		Expect(f.Share(time.Now()).Usable).To(BeFalse())
		f.ApplyList(time.Now(), 1, nil)
		Expect(f.Share(time.Now()).Usable).To(BeFalse())
	})

	It("releases the share when a graceful shutdown begins", func() {
		f, t := newFleet()
		f.ApplyList(time.Now(), 1, []member.VM{{Address: self.Address}, {Address: other.Address}})
		Eventually(func() []*peerpb.MemberMessage {
			_ = f.Bus.Publish(event.Stopping{})
			return t.messages()
		}).Should(ContainElement(HaveField("Release", true)))
		Expect(f.Share(time.Now()).Usable).To(BeFalse())
	})
})
