package measure

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The runs below are in virtual time with fixed seeds, so that their figures do
// not depend on the machine.
var _ = Describe("the decisions on backend servers", func() {
	run := func(c ChoiceScenario, policy int) ChoiceRun {
		return choiceJob{seed: 1, scenario: c, load: 0.7, policy: choicePolicies()[policy]}.run()
	}
	const leastOfTwo, informed, oracle = 2, 3, 4

	It("choose no worse than the best baseline, and near the oracle", func() {
		for _, c := range []ChoiceScenario{ScenarioWell, ScenarioBursts, ScenarioFailing, ScenarioLying} {
			ours := run(c, informed)
			Expect(ours.P99).To(BeNumerically("<=", choiceEqual*run(c, leastOfTwo).P99), string(c))
			Expect(ours.P99).To(BeNumerically("<=", choiceOracle*run(c, oracle).P99), string(c))
		}
	})

	It("keep probes within their budget", func() {
		for _, c := range []ChoiceScenario{ScenarioWell, ScenarioFailing, ScenarioLying} {
			Expect(run(c, informed).Probes).To(BeNumerically("<=", choiceProbeRate*choiceLength.Seconds()+choiceVMs))
		}
	})

	It("give the worst-served workspace its share", func() {
		for _, n := range []int{choiceServers, fairFew} {
			b := &fairBench{seed: 1, size: n, scenario: "BusyOthers", way: "Weighted", tenants: fairTenants("BusyOthers")}
			Expect(b.run().WorstPart).To(BeNumerically(">=", fairTarget))
		}
	})

	It("give a restarted or new server no more than it bears", func() {
		for _, s := range []string{"Restart", "New"} {
			b := &coldBench{seed: 1, scenario: s, way: "InformedFleetLimit"}
			r := b.run()
			Expect(r.Beyond).To(BeZero())
			Expect(r.Given).To(BeNumerically(">", 0))
			Expect(r.FullAfter).To(BeNumerically(">", 0))
		}
	})
})
