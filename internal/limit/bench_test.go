package limit_test

import (
	"testing"
	"time"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
)

// BenchmarkTake measures a token that is at hand, with one limit for all
// goroutines.
func BenchmarkTake(b *testing.B) {
	k := key(limit.Rate, "w")
	now := time.Now()
	f := &limit.Fleet{Send: func(limit.Send) {}}
	f.Set(now, []limit.Spec{{Key: k, Rate: 1e9, Burst: 1e9}})
	f.Members(now, member.Share{Count: 1, Usable: true, Until: now.Add(time.Hour)}, nil)
	done := func(limit.Answer) {}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			f.Take(time.Now(), k, now.Add(time.Hour), done)
		}
	})
}
