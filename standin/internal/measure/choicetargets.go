package measure

import (
	"context"
	"fmt"
)

// Bounds of the measurement "choice", as stated by the users.
const (
	choiceHalf   = 0.5
	choiceEqual  = 1.0
	choiceOracle = 1.5
)

func init() {
	register(Measurement{
		Name: "choice",
		Text: "policies of choice at 16 entry VMs and 16 servers of 6 slots, in virtual time on the same arrivals",
		Run:  func(_ context.Context, o Options) (any, error) { return Choice(o.Seed), nil },
	})
	register(Measurement{
		Name: "fair",
		Text: "sharing out a service at 150 % of its capacity, one workspace at 10 times its share, in virtual time",
		Run:  func(_ context.Context, o Options) (any, error) { return Fair(o.Seed), nil },
	})
	register(Measurement{
		Name: "cold",
		Text: "what a server in cold start gets under 60 % load, in virtual time",
		Run:  func(_ context.Context, o Options) (any, error) { return Cold(o.Seed), nil },
	})
}

// Targets compares the informed choice with the best baseline and the oracle.
func (r ChoiceResult) Targets() []Target {
	var ts []Target
	for i := 0; i < len(r.Runs); i += len(choicePolicies()) {
		ts = append(ts, choiceTargets(r.Runs[i:i+len(choicePolicies())])...)
	}
	return ts
}

// choiceTargets takes the runs of all policies over the same arrivals, the
// informed choice and the oracle last.
func choiceTargets(rs []ChoiceRun) []Target {
	n := len(rs)
	ours, oracle, best := rs[n-2], rs[n-1], rs[0].P99
	for _, r := range rs[:n-2] {
		best = min(best, r.P99)
	}
	at := fmt.Sprintf("%s.%.0f%%.P99", ours.Scenario, 100*ours.Load)
	ts := []Target{AtMost(at+".OfOracle", "", choiceOracle, ours.P99/oracle.P99)}
	switch ours.Scenario {
	case ScenarioWell:
		ts = append(ts, AtMost(at+".OfBestBaseline", "", choiceEqual, ours.P99/best))
	case ScenarioBursts, ScenarioBurstRow:
		ts = append(ts, AtMost(at+".OfBestBaseline", "", choiceHalf, ours.P99/best))
	case ScenarioKinds, ScenarioStalled, ScenarioFailing, ScenarioLying:
	}
	return ts
}

// Plot draws the 99th percentile by load in the bursts.
func (r ChoiceResult) Plot() Plot {
	p := Plot{Title: "99th percentile in slow bursts", X: "load", Y: "latency (ms)"}
	for _, n := range choicePolicies() {
		l := Line{Name: n.name}
		for _, x := range r.Runs {
			if x.Scenario == ScenarioBursts && x.Policy == n.name {
				l.Points = append(l.Points, Point{X: x.Load, Y: x.P99})
			}
		}
		p.Lines = append(p.Lines, l)
	}
	return p
}

// Targets compares what the worst-served workspace got with its share.
func (r FairResult) Targets() []Target {
	var ts []Target
	for _, x := range r.Runs {
		if x.Way == "Weighted" {
			// A target is at most a bound, so the part that is missing is taken.
			ts = append(ts, AtMost(fmt.Sprintf("%s.%dServers.WorstMissing", x.Scenario, x.Servers), "of the share", 1-fairTarget, 1-x.WorstPart))
		}
	}
	return ts
}

// Targets compares the requests beyond what a cold server bears with none.
func (r ColdResult) Targets() []Target {
	var ts []Target
	for _, x := range r.Runs {
		if x.Way == "InformedFleetLimit" {
			ts = append(ts, AtMost(x.Scenario+".Beyond", "requests", 0, float64(x.Beyond)))
		}
	}
	return ts
}
