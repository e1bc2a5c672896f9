package limit_test

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
)

// BenchmarkTake measures taking a token that is available locally, from one limit
// shared by all goroutines.
func BenchmarkTake(b *testing.B) {
	k := key(limit.Rate, "w")
	now := time.Now()
	f := &limit.Fleet{Send: func(limit.Envelope) {}}
	f.Set(now, []limit.Spec{{Key: k, Rate: 1e9, Burst: 1e9}})
	f.SetMembers(now, member.Share{Count: 1, Usable: true, Until: now.Add(time.Hour)}, nil)
	done := func(limit.Answer) {}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			f.Take(time.Now(), k, now.Add(time.Hour), done)
		}
	})
}

// BenchmarkTick measures a tick of one VM in a fleet of 64, with 128 table rows
// and 600 servers.
func BenchmarkTick(b *testing.B) {
	now := time.Now()
	f := &limit.Fleet{Send: func(limit.Envelope) {}}
	var ss []limit.Spec
	for i := range 128 {
		w := strconv.Itoa(i)
		ss = append(ss, limit.Spec{Key: key(limit.Rate, w), Rate: 100, Burst: 200}, limit.Spec{Key: key(limit.Running, w), Permits: 100})
	}
	for i := range 600 {
		ss = append(ss, limit.Spec{Key: key(limit.Cold, strconv.Itoa(i)), Rate: 20, Burst: 4})
	}
	var ms []member.Member
	for i := range 63 {
		id := member.ID{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(i+1)), Incarnation: 1}
		ms = append(ms, member.Member{ID: id, Answering: true})
	}
	f.Set(now, ss)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		f.SetMembers(now, member.Share{Count: 64, RunningCount: 64, Usable: true, RunningUsable: true, Until: now.Add(time.Minute)}, ms)
		f.Tick(now)
	}
}
