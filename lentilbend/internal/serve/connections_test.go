package serve

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/table"
)

var _ = DescribeTable("connection limit of one entry VM for a server",
	func(vms int, address string, want int) {
		a := netip.MustParseAddrPort
		t := &table.Table{Services: []table.Service{
			{Connections: 200, Servers: []table.Server{{Address: a("192.0.2.1:1")}, {Address: a("192.0.2.2:1")}}},
			{Connections: 90, Servers: []table.Server{{Address: a("192.0.2.2:1")}}},
		}}
		c := &connectionLimits{
			Table:    func() *table.Table { return t },
			VMCount:  func(time.Time) int { return vms },
			Retained: func(s netip.AddrPort) (int, bool) { return 160, s == a("192.0.2.4:1") },
		}
		Expect(c.limit(a(address))).To(Equal(want))
	},
	Entry("all connections for a single VM", 1, "192.0.2.1:1", 200),
	Entry("an equal share for each of many VMs", 16, "192.0.2.1:1", 12),
	Entry("one connection where there are more VMs than connections", 300, "192.0.2.1:1", 1),
	Entry("the lower limit for a server in two services", 16, "192.0.2.2:1", 5),
	Entry("none for a server that is not in the table", 1, "192.0.2.3:1", 0),
	Entry("an equal share for a retained server", 16, "192.0.2.4:1", 10),
)
