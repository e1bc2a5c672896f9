package measure

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

// Sizes of the measurement "choice".
const (
	choiceVMs     = 16
	choiceServers = 16
	choiceCentres = 4
	choiceSlots   = 6
	choiceLength  = 20 * time.Second
	choiceWarmup  = 2 * time.Second
	serviceMean   = 10 * time.Millisecond
	serviceSigma  = 1.0
	serviceMost   = 500 * time.Millisecond
	nearDelay     = 100 * time.Microsecond
	farDelay      = 1250 * time.Microsecond
	slowSpeed     = 0.2
	burstLength   = 50 * time.Millisecond
	burstPause    = 50 * time.Millisecond
	// feedEvery is how many bursts pass from one that hits a whole feed, four
	// servers, to the next.
	feedEvery = 4
)

// ChoiceScenario names what goes wrong in a run.
type ChoiceScenario string

// Scenarios of the measurement.
const (
	ScenarioWell ChoiceScenario = "AllWell"
	// ScenarioBursts has pauses of burstPause between the bursts,
	// ScenarioBurstRow has none.
	ScenarioBursts   ChoiceScenario = "SlowBursts"
	ScenarioBurstRow ChoiceScenario = "SlowBurstsInARow"
	ScenarioFailing  ChoiceScenario = "FailingFast"
	ScenarioLying    ChoiceScenario = "LyingReports"
)

// ChoiceRun is one policy's result over one set of arrivals.
type ChoiceRun struct {
	Scenario ChoiceScenario
	// Load is the arrivals as a part of the servers' whole capacity.
	Load     float64
	Policy   string
	Requests int
	// P50, P99 and P999 are percentiles of the latency, in milliseconds.
	P50  float64
	P99  float64
	P999 float64
	// Added99 is the 99th percentile of the latency beyond the request's own
	// work at full speed, in milliseconds.
	Added99 float64
	// Failures are the requests answered with an error.
	Failures int
	// Probes is the number of load probes sent.
	Probes int
}

// ChoiceResult holds every run.
type ChoiceResult struct {
	Seed uint64
	Runs []ChoiceRun
}

// arrival is one request: when, at which VM, and its work at speed 1.
type arrival struct {
	at   time.Duration
	vm   int
	work time.Duration
}

// Choice measures the policies of package choice in virtual time.
func Choice(seed uint64) ChoiceResult {
	r := ChoiceResult{Seed: seed}
	var jobs []choiceJob
	for _, c := range []ChoiceScenario{ScenarioWell, ScenarioBursts, ScenarioBurstRow, ScenarioFailing, ScenarioLying} {
		for _, l := range []float64{0.5, 0.7, 0.85} {
			for _, p := range choicePolicies() {
				jobs = append(jobs, choiceJob{seed: seed, scenario: c, load: l, policy: p})
			}
		}
	}
	r.Runs = make([]ChoiceRun, len(jobs))
	parallel(len(jobs), func(i int) { r.Runs[i] = jobs[i].run() })
	return r
}

// simThreads is how many runs go at once.
const simThreads = 4

// parallel calls f for 0 to n-1.
func parallel(n int, f func(i int)) {
	var w sync.WaitGroup
	next := make(chan int)
	for range simThreads {
		w.Go(func() {
			for i := range next {
				f(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	w.Wait()
}

// namedPolicy is a policy of package choice, or nil for the oracle.
type namedPolicy struct {
	name   string
	policy choice.Policy
}

func choicePolicies() []namedPolicy {
	return []namedPolicy{
		{"Random", choice.Random{}},
		{"RoundRobin", choice.RoundRobin{}},
		{"LeastOfTwo", choice.LeastOfTwo{}},
		{"Informed", choice.NewInformed()},
		{"Oracle", nil},
	}
}

// choiceJob is one run to do.
type choiceJob struct {
	seed     uint64
	scenario ChoiceScenario
	load     float64
	policy   namedPolicy
}

// choiceBench is the state of a run.
type choiceBench struct {
	sim     *sim
	servers []*simServer
	byName  map[netip.AddrPort]*simServer
	sets    []*choice.Set
	oracle  *oracle
	results *samples
}

func (j choiceJob) run() ChoiceRun {
	b := newChoiceBench(j.seed, j.policy.policy, choiceServers, j.scenario == ScenarioLying)
	switch j.scenario {
	case ScenarioWell:
	case ScenarioBursts:
		b.bursts(j.seed, burstPause)
	case ScenarioBurstRow:
		b.bursts(j.seed, 0)
	case ScenarioFailing:
		b.servers[5].failing = true
	case ScenarioLying:
		b.servers[1].lie, b.servers[6].lie = lieIdle, lieIdle
		b.servers[2].lie, b.servers[7].lie = lieStale, lieStale
		b.servers[3].lie = lieDraining
	}
	for _, a := range arrivals(j.seed, choiceServers, j.load) {
		b.sim.after(a.at, func() { b.send(a) })
	}
	b.sim.run(choiceLength + time.Minute)
	return ChoiceRun{
		Scenario: j.scenario,
		Load:     j.load,
		Policy:   j.policy.name,
		Requests: b.results.requests,
		P50:      milliseconds(b.results.whole.quantile(0.5)),
		P99:      milliseconds(b.results.whole.quantile(0.99)),
		P999:     milliseconds(b.results.whole.quantile(0.999)),
		Added99:  milliseconds(b.results.added.quantile(0.99)),
		Failures: b.results.failures,
	}
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

func newChoiceBench(seed uint64, p choice.Policy, servers int, lying bool) *choiceBench {
	b := &choiceBench{sim: &sim{}, byName: map[netip.AddrPort]*simServer{}, results: &samples{}}
	var ss []choice.Server
	for i := range servers {
		v := &simServer{
			sim: b.sim, address: serverAddress(i), centre: i % choiceCentres,
			slots: choiceSlots, speed: 1,
		}
		b.servers = append(b.servers, v)
		b.byName[v.address] = v
		ss = append(ss, choice.Server{
			Address:    v.address,
			DataCentre: string(rune('a' + v.centre)),
			Missing:    lying && (i == 4 || i == 9),
		})
	}
	if p == nil {
		b.oracle = &oracle{servers: b.servers, rand: newRand(seed, 3)}
		return b
	}
	for i := range choiceVMs {
		s := &choice.Set{Policy: p, Rand: newRand(seed, uint64(100+i))}
		s.Update(epoch, choice.Limits{Slots: choiceSlots, ColdFor: 10 * time.Second}, ss)
		b.sets = append(b.sets, s)
	}
	return b
}

// bursts makes servers slow at changing places.
func (b *choiceBench) bursts(seed uint64, pause time.Duration) {
	r := newRand(seed, 2)
	n := 0
	for t := time.Duration(0); t < choiceLength; t += burstLength + pause {
		n++
		vs := r.Perm(choiceServers)[:2]
		if n%feedEvery == 0 {
			f := r.IntN(choiceServers / 4)
			vs = []int{4 * f, 4*f + 1, 4*f + 2, 4*f + 3}
		}
		b.sim.after(t, func() { b.speed(vs, slowSpeed) })
		b.sim.after(t+burstLength-1, func() { b.speed(vs, 1) })
	}
}

func (b *choiceBench) speed(vs []int, f float64) {
	for _, i := range vs {
		b.servers[i].setSpeed(f)
	}
}

// send gives a request to the server that its VM chooses.
func (b *choiceBench) send(a arrival) {
	if b.oracle != nil {
		v := b.oracle.choose(a.vm % choiceCentres)
		b.deliver(a, v, func(bool, load.Report) {})
		return
	}
	c, ok := b.sets[a.vm].Choose(b.sim.time(), nil)
	if !ok {
		b.results.failures++
		return
	}
	sent := b.sim.now
	b.deliver(a, b.byName[c.Server()], func(ok bool, r load.Report) {
		o := choice.Answered{Status: 200, Load: &r, FirstByte: b.sim.now - sent}
		if !ok {
			o.Status = 500
		}
		c.End(b.sim.time(), o)
	})
}

// deliver carries a request to v and its answer back.
func (b *choiceBench) deliver(a arrival, v *simServer, end func(ok bool, r load.Report)) {
	d := delay(a.vm%choiceCentres, v.centre)
	v.coming++
	j := &simJob{left: a.work}
	j.end = func(ok bool, r load.Report) {
		b.sim.after(d, func() {
			b.results.add(a, b.sim.now-a.at, ok)
			end(ok, r)
		})
	}
	b.sim.after(d, func() {
		v.coming--
		v.arrive(j)
	})
}

// delay is the time one way between two data centres.
func delay(a, b int) time.Duration {
	if a == b {
		return nearDelay
	}
	return farDelay
}
