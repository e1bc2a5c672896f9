package history

import (
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lentilbend.example/standin/internal/backend"
)

var (
	begin  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	server = netip.MustParseAddrPort("127.0.0.1:1")
	other  = netip.MustParseAddrPort("127.0.0.1:2")
	entry  = netip.MustParseAddrPort("127.0.0.1:3")
)

func at(s float64) time.Time {
	return begin.Add(time.Duration(s * float64(time.Second)))
}

// good returns a history of one call to a till and one edit.
func good() *History {
	return &History{
		Start: begin,
		End:   at(100),
		Calls: []Call{{
			ID: "1", Workspace: "w", Key: "w", Service: "till", Entry: entry, BodyDigest: "d",
			Start: at(20), End: at(20.1),
			Outcome: Answered{Status: 200, ID: "1", BodyDigest: "d", Server: server.String(), Whole: true},
		}},
		Executions: []backend.Execution{run("1", server, 20.05)},
		Events: []Event{
			Edited{Revision: 3, Start: at(1), At: at(1)},
			Seen{VM: entry, Revision: 3, Start: at(30), End: at(31)},
		},
		Servers:    []ServerCounts{{Address: server, Service: "till", Counts: backend.Counts{Probes: 100, DrainArrived: 1}}},
		Limits:     []Limit{{Workspace: "w", Service: "till", Rate: 1, Burst: 2}},
		ProbeRates: []ProbeRate{{Service: "till", Rate: 1, Burst: 1}},
	}
}

func run(id string, s netip.AddrPort, t float64) backend.Execution {
	return backend.Execution{ID: id, Server: s, Start: at(t), End: at(t + 0.01), BodyDigest: "d"}
}

// names returns the checks that found something.
func names(h *History) []string {
	vs, err := h.Find()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ns := []string{}
	for _, v := range vs {
		if len(ns) == 0 || ns[len(ns)-1] != v.Check {
			ns = append(ns, v.Check)
		}
	}
	return ns
}

var _ = ginkgo.Describe("History", func() {
	ginkgo.It("finds nothing in a good history", func() {
		gomega.Expect(names(good())).To(gomega.BeEmpty())
	})

	ginkgo.It("knows a check for each of its names only", func() {
		_, err := good().Find("AtMostOnce")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = good().Find("Often")
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.DescribeTable("finds what must not happen", func(check string, forge func(h *History)) {
		h := good()
		forge(h)
		gomega.Expect(names(h)).To(gomega.Equal([]string{check}))
	},
		ginkgo.Entry("too many probes", "MeasuringWithinBudget", func(h *History) {
			h.Servers[0].Counts.Probes = 102
		}),
		ginkgo.Entry("a cold server overrun", "ColdNotOverrun", func(h *History) {
			h.Servers[0].Counts.ColdOverrun = 1
		}),
		ginkgo.Entry("work in a data centre that is out", "CentreOutGetsNoNewWork", func(h *History) {
			h.Events = append(h.Events, ServersLeft{Servers: []netip.AddrPort{server}, Centre: true, At: at(14)})
		}),
		ginkgo.Entry("a key at a backend server", "OnlyItsOwnWorkspace", func(h *History) {
			h.Executions[0].KeySeen = true
		}),
		ginkgo.Entry("an execution without a key", "OnlyItsOwnWorkspace", func(h *History) {
			h.Calls[0].Workspace = ""
		}),
		ginkgo.Entry("an execution for another workspace", "OnlyItsOwnWorkspace", func(h *History) {
			h.Executions[0].Workspace = "v"
		}),
		ginkgo.Entry("a withdrawn key that still works", "OnlyItsOwnWorkspace", func(h *History) {
			h.Events = append(h.Events, KeyWithdrawn{Key: "w", At: at(14)})
		}),
		ginkgo.Entry("a workspace over its rate", "WithinRateAndBurst", func(h *History) {
			for _, id := range []string{"2", "3", "4"} {
				c := h.Calls[0]
				c.ID = id
				c.Outcome = TimedOut{}
				h.Calls = append(h.Calls, c)
				h.Executions = append(h.Executions, run(id, server, 20.06))
			}
		}),
		ginkgo.Entry("a part of an answer", "WholeOwnAnswer", func(h *History) {
			h.Calls[0].Outcome = Answered{Status: 200, ID: "1", BodyDigest: "d"}
		}),
		ginkgo.Entry("the answer to another call", "WholeOwnAnswer", func(h *History) {
			h.Calls[0].Outcome = Answered{Status: 200, ID: "2", BodyDigest: "d", Whole: true}
		}),
		ginkgo.Entry("an answer to another body", "WholeOwnAnswer", func(h *History) {
			h.Calls[0].Outcome = Answered{Status: 200, ID: "1", BodyDigest: "e", Whole: true}
		}),
		ginkgo.Entry("a refusal that ran", "NotRunIsTrue", func(h *History) {
			h.Calls[0].Outcome = Refused{Status: 503, NotRun: true}
		}),
		ginkgo.Entry("a sale that ran twice", "AtMostOnce", func(h *History) {
			h.Executions = append(h.Executions, run("1", other, 20.08))
		}),
		ginkgo.Entry("work on a server that left", "LeavingGetsNoNewWork", func(h *History) {
			h.Events = append(h.Events, ServersLeft{Servers: []netip.AddrPort{server}, At: at(14)})
		}),
		ginkgo.Entry("work for a server that drains", "LeavingGetsNoNewWork", func(h *History) {
			h.Servers[0].Counts.LastDrain = Grace + time.Millisecond
		}),
		ginkgo.Entry("a call cut by a planned stop", "PlannedStopCutsNothing", func(h *History) {
			h.Calls[0].Outcome = Cut{}
			h.Events = append(h.Events, Stopped{Entry: entry, Start: at(20.02), End: at(30)})
		}),
		ginkgo.Entry("a revision that went back", "ConfigurationInForce", func(h *History) {
			h.Events = append(h.Events,
				Edited{Revision: 4, Start: at(31), At: at(31)},
				Seen{VM: entry, Revision: 4, Start: at(32), End: at(33)},
				Seen{VM: entry, Revision: 3, Start: at(34), End: at(35)})
		}),
		ginkgo.Entry("a revision from nowhere", "ConfigurationInForce", func(h *History) {
			h.Events = append(h.Events, Seen{VM: entry, Revision: 4, Start: at(34), End: at(35)})
		}),
		ginkgo.Entry("a revision that is late", "ConfigurationInForce", func(h *History) {
			h.Events = append(h.Events,
				Edited{Revision: 4, Start: at(31), At: at(31)},
				Seen{VM: entry, Revision: 3, Start: at(42), End: at(43)})
		}),
	)

	ginkgo.It("allows what is within bounds", func() {
		h := good()
		h.Events = append(h.Events,
			ServersLeft{Servers: []netip.AddrPort{server}, At: at(16)},
			ServersBack{Servers: []netip.AddrPort{server}, At: at(17)},
			KeyWithdrawn{Key: "w", At: at(1)},
			KeyGiven{Key: "w", At: at(2)},
			Stopped{Entry: other, Start: at(20), End: at(30)})
		gomega.Expect(names(h)).To(gomega.BeEmpty())
	})
})
