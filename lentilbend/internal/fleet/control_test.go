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

// firstPort is the port of the first VM; the others have the next ones.
const firstPort = 20100

// measureTime is the duration of one measurement.
const measureTime = 14 * time.Second

// BenchmarkControl measures the traffic and processor time of membership and
// streams per VM in a fleet without changes. All VMs run in this process.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("VMs=%d", n), func(b *testing.B) { measureControl(b, n) })
	}
}

// measureControl starts a fleet of n VMs, waits until all are active and
// measures.
func measureControl(b *testing.B, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var vms []member.VM
	for i := range n {
		vms = append(vms, member.VM{Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+i))})
	}
	var hubs []*peer.Hub
	var fleets []*fleet.Fleet
	for _, v := range vms {
		h, f := startVM(ctx, v.Address)
		hubs, fleets = append(hubs, h), append(fleets, f)
	}
	applyList := func() {
		for _, f := range fleets {
			f.ApplyList(time.Now(), 1, vms)
		}
	}
	for active := 0; active < n; time.Sleep(time.Second) {
		applyList()
		active = 0
		for _, f := range fleets {
			if s := f.Share(time.Now()); s.Usable && s.Count == n {
				active++
			}
		}
	}
	for range b.N {
		before, cpu := totalBytes(hubs), processorSeconds()
		for begin := time.Now(); time.Since(begin) < measureTime; time.Sleep(5 * time.Second) {
			applyList()
		}
		s := measureTime.Seconds() * float64(n)
		b.ReportMetric((totalBytes(hubs)-before)/s, "B/s/VM")
		b.ReportMetric(100*(processorSeconds()-cpu)/s, "%core/VM")
	}
}

// startVM starts the membership and the streams of a VM at address a.
func startVM(ctx context.Context, a netip.AddrPort) (*peer.Hub, *fleet.Fleet) {
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

// totalBytes returns the number of bytes sent and received by all hubs.
func totalBytes(hs []*peer.Hub) float64 {
	n := uint64(0)
	for _, h := range hs {
		c := h.Counters()
		n += c.SentBytes + c.ReceivedBytes
	}
	return float64(n)
}

// processorSeconds returns the processor time used by this process, in seconds.
func processorSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
