package measure

import (
	"math"
	"time"
)

// arrival is a request that arrives at an entry VM.
type arrival struct {
	at   time.Duration
	vm   int           // index of the entry VM
	work time.Duration // service time at speed 1
	kind string
}

// poissonArrivals draws the requests of a run: Poisson arrivals with log-normal
// service times. The load is a fraction of the capacity of the servers.
func poissonArrivals(seed uint64, servers int, load float64) []arrival {
	r := newRand(seed, 1)
	rate := load * float64(servers) * slotsPerServer / meanServiceTime.Seconds()
	var as []arrival
	var t float64
	for {
		t += r.ExpFloat64() / rate
		at := time.Duration(t * float64(time.Second))
		if at > choiceDuration {
			return as
		}
		as = append(as, arrival{at: at, vm: r.IntN(choiceVMs), work: serviceTime(r.NormFloat64())})
	}
}

// serviceTime returns the log-normal service time for a standard normal
// variate.
func serviceTime(n float64) time.Duration {
	mu := math.Log(float64(meanServiceTime)) - serviceTimeSigma*serviceTimeSigma/2
	return min(time.Duration(math.Exp(mu+serviceTimeSigma*n)), maxServiceTime)
}

// requestKind is a kind of request in ScenarioTwoKinds. Its service times are
// log-normal.
type requestKind struct {
	name  string
	ratio float64 // fraction of the requests
	mean  time.Duration
	sigma float64
}

// requestKinds have a mean service time of meanServiceTime together.
var requestKinds = []requestKind{
	{name: "quick", ratio: 0.9, mean: 4 * time.Millisecond, sigma: 0.5},
	{name: "heavy", ratio: 0.1, mean: 64 * time.Millisecond, sigma: 0.5},
}

// assignKinds gives each arrival a random kind and a service time of that kind.
func assignKinds(as []arrival, seed uint64) []arrival {
	r := newRand(seed, 6)
	for i := range as {
		k := requestKinds[0]
		if r.Float64() >= k.ratio {
			k = requestKinds[1]
		}
		mu := math.Log(float64(k.mean)) - k.sigma*k.sigma/2
		as[i].kind = k.name
		as[i].work = min(time.Duration(math.Exp(mu+k.sigma*r.NormFloat64())), maxServiceTime)
	}
	return as
}
