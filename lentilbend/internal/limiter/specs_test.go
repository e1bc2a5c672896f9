package limiter_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/limiter"
)

var _ = Describe("Specs", func() {
	It("returns the limits of each row, service and backend server", func() {
		a := netip.MustParseAddrPort("10.0.0.9:80")
		ss := limiter.Specs(&table.Table{
			Services: []table.Service{{
				Name: "till", ProbeRate: 2, ColdRate: 20, ColdBurst: 4,
				Servers: []table.Server{{Address: a}},
				Rows:    []table.Row{{Workspace: "gasabo", Rate: 4, Burst: 8, Limit: 50}},
			}},
			Routes: []table.Route{{Service: "till", Timeout: 5 * time.Second}, {Service: "other", Timeout: time.Minute}},
		})
		Expect(ss).To(ConsistOf(
			limit.Spec{Key: limiter.RateKey("till", "gasabo"), Rate: 4, Burst: 8},
			limit.Spec{Key: limiter.RunningKey("till", "gasabo"), Permits: 50, MaxHoldTime: 5 * time.Second},
			limit.Spec{Key: limit.Key{Kind: limit.Probe, Service: "till"}, Rate: 2, Burst: 2},
			limit.Spec{Key: limit.Key{Kind: limit.Cold, Service: "till", Server: a}, Rate: 20, Burst: 4},
		))
	})
})
