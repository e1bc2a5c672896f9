package pool

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// BenchmarkSweep measures one sweep over the pools of 600 servers, the size that
// the program is designed for, with 0, 1 and 4 busy connections each.
func BenchmarkSweep(b *testing.B) {
	for _, busy := range []int{0, 1, 4} {
		b.Run(fmt.Sprintf("Servers=600/Busy=%d", busy), func(b *testing.B) {
			now := time.Now()
			s := New(func(netip.AddrPort) int { return 12 })
			s.Now = func() time.Time { return now }
			for i := range 600 {
				p := s.Pool(netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), uint16(i+1)))
				for range busy {
					t := &trackedConn{base: now.Add(-time.Second), now: s.Now}
					t.firstWrite.Store(int64(time.Second))
					c := &Conn{pool: p, tracked: t, busy: true}
					p.busy[c] = struct{}{}
				}
			}
			for b.Loop() {
				s.Sweep(now)
			}
		})
	}
}

// BenchmarkConn opens connections and reports the memory that each takes with
// its goroutines' stacks, for both ends of the socket together.
func BenchmarkConn(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	var accepted []net.Conn
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted = append(accepted, c)
		}
	}()
	s := New(func(netip.AddrPort) int { return b.N })
	s.MinIdle = 0
	p := s.Pool(netip.MustParseAddrPort(l.Addr().String()))
	before := memoryInUse()
	for range b.N {
		if _, err := p.Take(context.Background(), false); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(b.N), "B/conn")
	runtime.KeepAlive(p)
	runtime.KeepAlive(&accepted)
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
