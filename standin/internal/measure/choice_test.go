package measure

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// These simulations run in virtual time with fixed seeds, so that their results do
// not depend on the machine.
var _ = Describe("simulations of the choice among backend servers", func() {
	run := func(c ChoiceScenario, policy int) ChoiceRun {
		return choiceCase{seed: 1, scenario: c, load: 0.7, policy: choicePolicies()[policy]}.run()
	}
	const leastOfTwo, informed, oracle = 2, 3, 4

	It("show latencies no higher than with LeastOfTwo, and near the oracle's", func() {
		for _, c := range []ChoiceScenario{ScenarioAllWell, ScenarioSlowBursts, ScenarioFailingFast, ScenarioMisleadingReports} {
			ours := run(c, informed)
			Expect(ours.P99).To(BeNumerically("<=", maxBaselineRatio*run(c, leastOfTwo).P99), string(c))
			Expect(ours.P99).To(BeNumerically("<=", maxOracleRatio*run(c, oracle).P99), string(c))
		}
	})

	It("keep load probes within their allowance", func() {
		for _, c := range []ChoiceScenario{ScenarioAllWell, ScenarioFailingFast, ScenarioMisleadingReports} {
			Expect(run(c, informed).Probes).To(BeNumerically("<=", fleetProbeRate*choiceDuration.Seconds()+choiceVMs))
		}
	})

	It("give the worst-served workspace its fair share", func() {
		for _, n := range []int{choiceServers, smallServiceServers} {
			b := &fairSimulation{seed: 1, serverCount: n, scenario: "BusyOthers", variant: "Weighted", workspaces: fairWorkspaces("BusyOthers")}
			Expect(b.run().WorstPart).To(BeNumerically(">=", minShareRatio))
		}
	})

	It("send a restarted or new server no more requests than it bears while cold", func() {
		for _, s := range []string{"Restart", "New"} {
			b := &coldSimulation{seed: 1, scenario: s, variant: "InformedFleetLimit"}
			r := b.run()
			Expect(r.Beyond).To(BeZero())
			Expect(r.Given).To(BeNumerically(">", 0))
			Expect(r.FullAfter).To(BeNumerically(">", 0))
		}
	})
})
