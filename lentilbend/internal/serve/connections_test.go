package serve

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/table"
)

var _ = DescribeTable("connections to a server",
	func(vms int, address string, want int) {
		a := netip.MustParseAddrPort
		t := &table.Table{Services: []table.Service{
			{Connections: 200, Servers: []table.Server{{Address: a("192.0.2.1:1")}, {Address: a("192.0.2.2:1")}}},
			{Connections: 90, Servers: []table.Server{{Address: a("192.0.2.2:1")}}},
		}}
		c := &connections{
			Table: func() *table.Table { return t },
			VMs:   func(time.Time) int { return vms },
			Held:  func(s netip.AddrPort) (int, bool) { return 160, s == a("192.0.2.4:1") },
		}
		Expect(c.allowance(a(address))).To(Equal(want))
	},
	Entry("of one VM", 1, "192.0.2.1:1", 200),
	Entry("of many VMs", 16, "192.0.2.1:1", 12),
	Entry("of more VMs than connections", 300, "192.0.2.1:1", 1),
	Entry("that stands in two services", 16, "192.0.2.2:1", 5),
	Entry("that left the table", 1, "192.0.2.3:1", 0),
	Entry("that left the table but stays in use", 16, "192.0.2.4:1", 10),
)
