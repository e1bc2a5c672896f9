package choice_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

func BenchmarkInformed(b *testing.B) {
	s := &choice.Set{Policy: choice.NewInformed(), Rand: rand.New(rand.NewPCG(1, 1))}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var ss []choice.Server
	for i := range 38 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		ss = append(ss, choice.Server{Address: a, DataCentre: "a"})
	}
	s.Update(now, choice.Config{Slots: 6, VMs: 16}, ss)
	r := load.Report{Running: 3, Slots: 6}
	b.ReportAllocs()
	for b.Loop() {
		c, _ := s.Choose(now, "", nil)
		now = now.Add(time.Millisecond)
		c.End(now, choice.Answered{Status: 200, Load: &r, FirstByte: 10 * time.Millisecond})
	}
}
