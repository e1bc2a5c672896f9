package fleet_test

import (
	"context"
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/member"
	"lentilbend.example/internal/timer"

	"lentilbend.example/lentilbend/internal/fleet"
	"lentilbend.example/lentilbend/internal/peer"
	"lentilbend.example/lentilbend/internal/settings"
)

// firstPort is the first VM's port.
const firstPort = 20100

// measured is how long one benchmark measures.
const measured = 14 * time.Second

// BenchmarkControl measures what membership and streams cost a VM in a calm
// fleet, with all VMs of the fleet in this process.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("VMs=%d", n), func(b *testing.B) { control(b, n) })
	}
}

func control(b *testing.B, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var vms []member.VM
	for i := range n {
		vms = append(vms, member.VM{Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+i))})
	}
	var hubs []*peer.Hub
	var fleets []*fleet.Fleet
	for _, v := range vms {
		h, f := entry(ctx, v.Address)
		hubs, fleets = append(hubs, h), append(fleets, f)
	}
	read := func() {
		for _, f := range fleets {
			f.List(time.Now(), 1, vms)
		}
	}
	for usable := 0; usable < n; time.Sleep(time.Second) {
		read()
		usable = 0
		for _, f := range fleets {
			if s := f.Share(time.Now()); s.Usable && s.Count == n {
				usable++
			}
		}
	}
	for range b.N {
		before, cpu := traffic(hubs), processor()
		for begin := time.Now(); time.Since(begin) < measured; time.Sleep(5 * time.Second) {
			read()
		}
		s := measured.Seconds() * float64(n)
		b.ReportMetric((traffic(hubs)-before)/s, "B/s/VM")
		b.ReportMetric(100*(processor()-cpu)/s, "%core/VM")
	}
}

func entry(ctx context.Context, a netip.AddrPort) (*peer.Hub, *fleet.Fleet) {
	bus := event.NewBus()
	id := member.ID{Address: a, Incarnation: 1}
	h := &peer.Hub{Self: id, Settings: settings.Peer{Address: a}, Logger: log.NewNopLogger()}
	f := &fleet.Fleet{
		Node: &member.Node{
			Self: id, LeaseDuration: member.DefaultLeaseDuration, MaxListAge: member.DefaultMaxListAge, MaxDelegationTime: member.DefaultMaxDelegationTime,
			MaxRequestTime: member.DefaultMaxRequestTime, MaxListOutage: member.DefaultMaxListOutage, MaxClockDrift: member.DefaultMaxClockDrift,
		},
		Transport: h, Bus: bus, Logger: log.NewNopLogger(),
	}
	h.Handlers = []peer.Handler{f}
	t := &timer.Service{Bus: bus, Resolution: 50 * time.Millisecond, MinPause: 500 * time.Millisecond}
	go func() { _ = t.Run(ctx) }()
	go func() { _ = f.Run(ctx) }()
	go func() { _ = h.Run(ctx) }()
	return h, f
}

// traffic returns the bytes sent and received by all hubs.
func traffic(hs []*peer.Hub) float64 {
	n := uint64(0)
	for _, h := range hs {
		c := h.Counters()
		n += c.SentBytes + c.ReceivedBytes
	}
	return float64(n)
}

// processor returns the processor time that this process used, in seconds.
func processor() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
