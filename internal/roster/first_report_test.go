package roster_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/roster"
)

var _ = Describe("the requests that a VM granted before its first report to a coordinator", func() {
	const rate = 40.0
	start := time.Unix(1_000_000, 0)
	a := netip.MustParseAddrPort

	// passRatio returns the ratio, in thousandths, that the coordinator lets pass
	// after the reports of six VMs, each of which granted 20 requests before its
	// first one.
	passRatio := func(uptime time.Duration) uint32 {
		l := &roster.Limits{Overage: overage, Tolerance: tolerance}
		r := &roster.Roster{Self: member.ID{Address: a("10.0.0.1:7"), Incarnation: 1}, Limits: l}
		l.FleetSize = func() (int, bool) { return r.FleetSize(), true }
		l.Set(map[uint64]roster.Limit{workspace: {Rate: rate, Burst: rate}})
		r.Start(start)
		now := start
		for ; now.Sub(start) < 1500*time.Millisecond; now = now.Add(50 * time.Millisecond) {
			r.Tick(now)
		}
		p := uint32(1000)
		for i := range 6 {
			id := member.ID{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(2 + i)}), 7), Incarnation: 1}
			u := &peerpb.WorkspaceUse{Workspace: workspace, Wanted: 60, Granted: 20}
			for range 2 {
				es := r.ReceiveReport(now, id, &peerpb.FleetReport{Number: 1, UptimeMillis: uint64(uptime.Milliseconds()), Uses: []*peerpb.WorkspaceUse{u}})
				now = now.Add(20 * time.Millisecond)
				u.Wanted += 20
				for _, g := range es[0].Answer.GetGrants() {
					p = g.GetPart()
				}
			}
		}
		now = now.Add(300 * time.Millisecond)
		for _, e := range r.ReceiveReport(now, member.ID{Address: a("10.0.0.2:7"), Incarnation: 1}, &peerpb.FleetReport{Number: 9, UptimeMillis: uint64(uptime.Milliseconds()) + 600}) {
			for _, g := range e.Answer.GetGrants() {
				p = g.GetPart()
			}
		}
		return p
	}

	It("count against the limit if the VM started recently", func() {
		Expect(passRatio(1500 * time.Millisecond)).To(BeNumerically("<", 50))
	})

	It("do not count if the VM started long ago", func() {
		Expect(passRatio(time.Minute)).To(BeNumerically(">", 50))
	})
})
