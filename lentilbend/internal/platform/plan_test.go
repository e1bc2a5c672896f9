package platform_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/platform"
)

// maxFleetReadRate is the highest rate of reads of the fleet, per second: 1% of
// the 2,000 reads per second that the platform handles.
const maxFleetReadRate = 20

func addresses(n int) []netip.AddrPort {
	var as []netip.AddrPort
	for i := range n {
		as = append(as, netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7", i/250, i%250+1)))
	}
	return as
}

var _ = Describe("Plan", func() {
	DescribeTable("lets three VMs use long polling and bounds the read rate of the fleet",
		func(n int) {
			as := addresses(n)
			longPollers := 0
			pollRate := 0.0
			for _, a := range as {
				p := platform.Plan{Self: a, LongPollerCount: 3, MinPollInterval: 5 * time.Second, FleetPollRate: 10}
				if p.IsLongPoller(as) {
					longPollers++
				}
				pollRate += 1 / p.PollInterval(n).Seconds()
			}
			Expect(longPollers).To(Equal(min(n, 3)))
			Expect(2 * pollRate).To(BeNumerically("<=", maxFleetReadRate+1e-6))
		},
		Entry(nil, 1), Entry(nil, 2), Entry(nil, 16), Entry(nil, 64), Entry(nil, 500),
	)

	It("has long pollers on each side of a network partition", func() {
		as := addresses(16)
		for _, side := range [][]netip.AddrPort{as[:5], as[5:]} {
			n := 0
			for _, a := range side {
				p := platform.Plan{Self: a, LongPollerCount: 3}
				if p.IsLongPoller(side) {
					n++
				}
			}
			Expect(n).To(Equal(3))
		}
	})
})

var _ = Describe("Backoff", func() {
	It("spreads the attempts of a fleet after an outage", func() {
		const vms, seconds = 64, 60
		attempts := make([]int, seconds)
		for i := range vms {
			r := rand.New(rand.NewPCG(1, uint64(i)))
			b := platform.Backoff{Min: 500 * time.Millisecond, Max: 8 * time.Second}
			for t := time.Duration(0); t < seconds*time.Second; t += b.Next(r) {
				attempts[int(t.Seconds())]++
			}
		}
		for _, n := range attempts[10:] {
			Expect(n).To(BeNumerically("<=", 2*maxFleetReadRate))
		}
	})
})
