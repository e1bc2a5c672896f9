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
