package measure

import (
	"math"
	"time"
)

// arrival is one request: when, at which VM, and its work at speed 1.
type arrival struct {
	at   time.Duration
	vm   int
	work time.Duration
	kind string
}

// arrivals draws the requests of a run at a part of the capacity of so many
// servers: Poisson, with log-normal work.
func arrivals(seed uint64, servers int, part float64) []arrival {
	r := newRand(seed, 1)
	rate := part * float64(servers) * choiceSlots / serviceMean.Seconds()
	var as []arrival
	var t float64
	for {
		t += r.ExpFloat64() / rate
		at := time.Duration(t * float64(time.Second))
		if at > choiceLength {
			return as
		}
		as = append(as, arrival{at: at, vm: r.IntN(choiceVMs), work: serviceTime(r.NormFloat64())})
	}
}

// serviceTime returns the work for a standard normal draw.
func serviceTime(n float64) time.Duration {
	mu := math.Log(float64(serviceMean)) - serviceSigma*serviceSigma/2
	return min(time.Duration(math.Exp(mu+serviceSigma*n)), serviceMost)
}

// kind is a kind of request in ScenarioKinds.
type kind struct {
	name  string
	part  float64
	mean  time.Duration
	sigma float64
}

// kinds have a mean of serviceMean together.
var kinds = []kind{
	{name: "quick", part: 0.9, mean: 4 * time.Millisecond, sigma: 0.5},
	{name: "heavy", part: 0.1, mean: 64 * time.Millisecond, sigma: 0.5},
}

// divide gives each arrival a kind and its work.
func divide(as []arrival, seed uint64) []arrival {
	r := newRand(seed, 6)
	for i := range as {
		k := kinds[0]
		if r.Float64() >= k.part {
			k = kinds[1]
		}
		mu := math.Log(float64(k.mean)) - k.sigma*k.sigma/2
		as[i].kind = k.name
		as[i].work = min(time.Duration(math.Exp(mu+k.sigma*r.NormFloat64())), serviceMost)
	}
	return as
}
