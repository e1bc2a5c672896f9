package limit_test

import (
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
)

var _ = Describe("a VM without a share of a limit", func() {
	start := time.Unix(1000, 0)
	ids := []member.ID{
		{Address: netip.MustParseAddrPort("10.0.0.1:7"), Incarnation: 1},
		{Address: netip.MustParseAddrPort("10.0.0.2:7"), Incarnation: 1},
	}
	members := []member.Member{{ID: ids[0], Answering: true}, {ID: ids[1], Answering: true}}

	It("requests permits from another VM, even if it ranks first as the owner", func() {
		var specs []limit.Spec
		for _, w := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			k := limit.Key{Kind: limit.Running, Service: "s", Workspace: w}
			specs = append(specs, limit.Spec{Key: k, Permits: 40})
		}
		fs := make([]*limit.Fleet, 2)
		var sent []limit.Envelope
		for i := range fs {
			fs[i] = &limit.Fleet{Self: ids[i], MaxClockDrift: 0.01, MaxRunTime: time.Minute, Send: func(e limit.Envelope) {
				sent = append(sent, e)
			}}
			fs[i].Set(start, specs)
			s := member.Share{Count: 2, RunningCount: 2, Until: start.Add(time.Minute), RunningUsable: i == 0}
			fs[i].SetMembers(start, s, members)
		}
		got := map[string]limit.Answer{}
		for _, s := range specs {
			fs[1].Take(start, s.Key, start.Add(time.Second), func(a limit.Answer) { got[s.Key.Workspace] = a })
		}
		for len(sent) > 0 {
			e := sent[0]
			sent = sent[1:]
			i := slices.Index(ids, e.To)
			fs[i].Receive(start, ids[1-i], e.Message)
		}
		Expect(got).To(HaveLen(len(specs)))
		Expect(got).To(HaveEach(BeAssignableToTypeOf(limit.Granted{})))
	})
})
