package measure

import "fmt"

// workspace is a workspace of the measurement "fair".
type workspace struct {
	name   string
	weight float64
	demand float64 // rate of requests as a fraction of the capacity
}

// fairWorkspaces returns the workspaces of a scenario. The first one is the hog,
// which exceeds its share except in NoOverload.
func fairWorkspaces(scenario string) []workspace {
	hog := workspace{name: "hog", weight: 1}
	others := []float64{5, 4, 3, 3, 2, 1, 1}
	if scenario == "QuietOthers" {
		// An eighth of the sum of weights, so that the hog demands 1.25 of the
		// capacity and the others 0.25.
		hog.weight = 2.714
	}
	sum := hog.weight
	for _, w := range others {
		sum += w
	}
	if scenario == "NoOverload" {
		return noOverloadWorkspaces(hog, others, sum)
	}
	hog.demand = hogFactor * hog.weight / sum
	ts := []workspace{hog}
	for i, w := range others {
		ts = append(ts, workspace{
			name:   fmt.Sprintf("w%d", i),
			weight: w,
			demand: (overloadLoad - hog.demand) * w / (sum - hog.weight),
		})
	}
	return ts
}

// noOverloadWorkspaces returns workspaces that all demand less than their shares.
func noOverloadWorkspaces(hog workspace, others []float64, sum float64) []workspace {
	hog.demand = noOverloadLoad * hog.weight / sum
	ts := []workspace{hog}
	for i, w := range others {
		ts = append(ts, workspace{name: fmt.Sprintf("w%d", i), weight: w, demand: noOverloadLoad * w / sum})
	}
	return ts
}

// fairShares returns the share of each workspace as a fraction of the capacity, by
// weighted max-min fairness: what a workspace does not use goes to the others in
// proportion to their weights.
func fairShares(ts []workspace) []float64 {
	shares := make([]float64, len(ts))
	left, satisfied := 1.0, make([]bool, len(ts))
	for {
		var sum float64
		for i, t := range ts {
			if !satisfied[i] {
				sum += t.weight
			}
		}
		changed := false
		for i, t := range ts {
			if !satisfied[i] && t.demand <= left*t.weight/sum {
				shares[i], satisfied[i], changed = t.demand, true, true
			}
		}
		if !changed {
			for i, t := range ts {
				if !satisfied[i] {
					shares[i] = left * t.weight / sum
				}
			}
			return shares
		}
		left = 1
		for i := range ts {
			if satisfied[i] {
				left -= shares[i]
			}
		}
	}
}
