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

// at returns the time s seconds after begin.
func at(s float64) time.Time {
	return begin.Add(time.Duration(s * float64(time.Second)))
}

// goodHistory returns a history without violations: one call to the service
// "till" and one edit.
func goodHistory() *History {
	return &History{
		Start: begin,
		End:   at(100),
		Calls: []Call{{
			ID: "1", Workspace: "w", Key: "w", Service: "till", Entry: entry, BodyDigest: "d",
			Start: at(20), End: at(20.1),
			Outcome: Answered{Status: 200, ID: "1", BodyDigest: "d", Server: server.String(), Whole: true},
		}},
		Executions: []backend.Execution{newExecution("1", server, 20.05)},
		Events: []Event{
			TableEdited{Revision: 3, Start: at(1), End: at(1)},
			RevisionObserved{VM: entry, Revision: 3, Start: at(30), End: at(31)},
		},
		Servers:    []ServerCounts{{Address: server, Service: "till", Counts: backend.Counts{Probes: 100, DrainArrived: 1}}},
		Limits:     []Limit{{Workspace: "w", Service: "till", Rate: 1, Burst: 2}},
		ProbeRates: []ProbeRate{{Service: "till", Rate: 1, Burst: 1}},
	}
}

// newExecution returns an execution of call id on s, t seconds after begin.
func newExecution(id string, s netip.AddrPort, t float64) backend.Execution {
	return backend.Execution{ID: id, Server: s, Start: at(t), End: at(t + 0.01), BodyDigest: "d"}
}

// violatedChecks returns the names of the checks that found violations.
func violatedChecks(h *History) []string {
	vs, err := h.FindViolations()
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
	ginkgo.It("finds no violation in a history without faults", func() {
		gomega.Expect(violatedChecks(goodHistory())).To(gomega.BeEmpty())
	})

	ginkgo.It("accepts the name of a check and refuses an unknown name", func() {
		_, err := goodHistory().FindViolations("AtMostOnce")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = goodHistory().FindViolations("Often")
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.DescribeTable("finds the violation of one check", func(check string, violate func(h *History)) {
		h := goodHistory()
		violate(h)
		gomega.Expect(violatedChecks(h)).To(gomega.Equal([]string{check}))
	},
		ginkgo.Entry("more probes than the budget allows", "MeasuringWithinBudget", func(h *History) {
			h.Servers[0].Counts.Probes = 102
		}),
		ginkgo.Entry("too many requests to a cold server", "ColdNotOverrun", func(h *History) {
			h.Servers[0].Counts.ColdOverrun = 1
		}),
		ginkgo.Entry("new work in a data centre that was taken out", "CentreOutGetsNoNewWork", func(h *History) {
			h.Events = append(h.Events, ServersWithdrawn{Servers: []netip.AddrPort{server}, DataCentreOut: true, At: at(14)})
		}),
		ginkgo.Entry("a key that reached a backend server", "OnlyItsOwnWorkspace", func(h *History) {
			h.Executions[0].KeySeen = true
		}),
		ginkgo.Entry("an execution without a key", "OnlyItsOwnWorkspace", func(h *History) {
			h.Calls[0].Workspace = ""
		}),
		ginkgo.Entry("an execution for another workspace", "OnlyItsOwnWorkspace", func(h *History) {
			h.Executions[0].Workspace = "v"
		}),
		ginkgo.Entry("a withdrawn key that is still accepted", "OnlyItsOwnWorkspace", func(h *History) {
			h.Events = append(h.Events, KeyWithdrawn{Key: "w", At: at(14)})
		}),
		ginkgo.Entry("a workspace above its rate limit", "WithinRateAndBurst", func(h *History) {
			for _, id := range []string{"2", "3", "4"} {
				c := h.Calls[0]
				c.ID = id
				c.Outcome = TimedOut{}
				h.Calls = append(h.Calls, c)
				h.Executions = append(h.Executions, newExecution(id, server, 20.06))
			}
		}),
		ginkgo.Entry("an incomplete answer", "WholeOwnAnswer", func(h *History) {
			h.Calls[0].Outcome = Answered{Status: 200, ID: "1", BodyDigest: "d"}
		}),
		ginkgo.Entry("the answer to another call", "WholeOwnAnswer", func(h *History) {
			h.Calls[0].Outcome = Answered{Status: 200, ID: "2", BodyDigest: "d", Whole: true}
		}),
		ginkgo.Entry("an answer to another request body", "WholeOwnAnswer", func(h *History) {
			h.Calls[0].Outcome = Answered{Status: 200, ID: "1", BodyDigest: "e", Whole: true}
		}),
		ginkgo.Entry("a call refused as not run that was executed", "NotRunIsTrue", func(h *History) {
			h.Calls[0].Outcome = Refused{Status: 503, NotRun: true}
		}),
		ginkgo.Entry("a non-idempotent call that ran twice", "AtMostOnce", func(h *History) {
			h.Executions = append(h.Executions, newExecution("1", other, 20.08))
		}),
		ginkgo.Entry("new work on a withdrawn server", "LeavingGetsNoNewWork", func(h *History) {
			h.Events = append(h.Events, ServersWithdrawn{Servers: []netip.AddrPort{server}, At: at(14)})
		}),
		ginkgo.Entry("requests to a server that drains", "LeavingGetsNoNewWork", func(h *History) {
			h.Servers[0].Counts.LastDrain = MaxWithdrawalDelay + time.Millisecond
		}),
		ginkgo.Entry("a call cut during a graceful shutdown", "PlannedStopCutsNothing", func(h *History) {
			h.Calls[0].Outcome = Cut{}
			h.Events = append(h.Events, GracefulShutdown{Entry: entry, Start: at(20.02), End: at(30)})
		}),
		ginkgo.Entry("a revision that reverted to an older one", "ConfigurationInForce", func(h *History) {
			h.Events = append(h.Events,
				TableEdited{Revision: 4, Start: at(31), End: at(31)},
				RevisionObserved{VM: entry, Revision: 4, Start: at(32), End: at(33)},
				RevisionObserved{VM: entry, Revision: 3, Start: at(34), End: at(35)})
		}),
		ginkgo.Entry("a revision that was never published", "ConfigurationInForce", func(h *History) {
			h.Events = append(h.Events, RevisionObserved{VM: entry, Revision: 4, Start: at(34), End: at(35)})
		}),
		ginkgo.Entry("a revision that takes effect too late", "ConfigurationInForce", func(h *History) {
			h.Events = append(h.Events,
				TableEdited{Revision: 4, Start: at(31), End: at(31)},
				RevisionObserved{VM: entry, Revision: 3, Start: at(42), End: at(43)})
		}),
	)

	ginkgo.It("allows work within the withdrawal delay, with a restored key, and during the shutdown of another VM", func() {
		h := goodHistory()
		h.Events = append(h.Events,
			ServersWithdrawn{Servers: []netip.AddrPort{server}, At: at(16)},
			ServersRestored{Servers: []netip.AddrPort{server}, At: at(17)},
			KeyWithdrawn{Key: "w", At: at(1)},
			KeyRestored{Key: "w", At: at(2)},
			GracefulShutdown{Entry: other, Start: at(20), End: at(30)})
		gomega.Expect(violatedChecks(h)).To(gomega.BeEmpty())
	})
})
