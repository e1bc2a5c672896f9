package measure

import "fmt"

// tenant is a workspace with its wish, as a part of the capacity.
type tenant struct {
	name   string
	weight float64
	wish   float64
}

// fairTenants returns the workspaces of a scenario, the hog first.
func fairTenants(scenario string) []tenant {
	hog := tenant{name: "hog", weight: 1}
	others := []float64{5, 4, 3, 3, 2, 1, 1}
	if scenario == "QuietOthers" {
		hog.weight = 2.714
	}
	sum := hog.weight
	for _, w := range others {
		sum += w
	}
	if scenario == "NoOverload" {
		return calmTenants(hog, others, sum)
	}
	hog.wish = hogFactor * hog.weight / sum
	ts := []tenant{hog}
	for i, w := range others {
		ts = append(ts, tenant{
			name:   fmt.Sprintf("w%d", i),
			weight: w,
			wish:   (fairLoad - hog.wish) * w / (sum - hog.weight),
		})
	}
	return ts
}

// calmTenants returns workspaces that want less than their shares.
func calmTenants(hog tenant, others []float64, sum float64) []tenant {
	hog.wish = fairCalm * hog.weight / sum
	ts := []tenant{hog}
	for i, w := range others {
		ts = append(ts, tenant{name: fmt.Sprintf("w%d", i), weight: w, wish: fairCalm * w / sum})
	}
	return ts
}

// allocate returns each tenant's part of the capacity, by weight, what one
// leaves going to the others.
func allocate(ts []tenant) []float64 {
	got := make([]float64, len(ts))
	left, full := 1.0, make([]bool, len(ts))
	for {
		var sum float64
		for i, t := range ts {
			if !full[i] {
				sum += t.weight
			}
		}
		again := false
		for i, t := range ts {
			if !full[i] && t.wish <= left*t.weight/sum {
				got[i], full[i], again = t.wish, true, true
			}
		}
		if !again {
			for i, t := range ts {
				if !full[i] {
					got[i] = left * t.weight / sum
				}
			}
			return got
		}
		left = 1
		for i := range ts {
			if full[i] {
				left -= got[i]
			}
		}
	}
}
