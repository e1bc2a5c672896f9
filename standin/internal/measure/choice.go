package measure

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"lentilbend.example/internal/choice"
)

// Sizes of the measurement "choice".
const (
	choiceVMs     = 16
	choiceServers = 16
	choiceCentres = 4
	choiceSlots   = 6
	// choiceProbeRate is the budget of probes a second of all VMs together.
	choiceProbeRate = 2.0
	probeEvery      = 500 * time.Millisecond
	choiceLength    = 20 * time.Second
	choiceWarmup    = 2 * time.Second
	serviceMean     = 10 * time.Millisecond
	serviceSigma    = 1.0
	serviceMost     = 500 * time.Millisecond
	nearDelay       = 100 * time.Microsecond
	farDelay        = 1250 * time.Microsecond
	slowSpeed       = 0.2
	burstLength     = 50 * time.Millisecond
	burstPause      = 50 * time.Millisecond
	stallAt         = 8 * time.Second
	stallLength     = 3 * time.Second
	stallSpeed      = 1e-6
	// choiceDeadline is how long a request may take.
	choiceDeadline = time.Second
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
	// ScenarioStalled has one server that stops for stallLength.
	ScenarioStalled ChoiceScenario = "Stalled"
	// ScenarioKinds has quick and heavy requests, and slow bursts in a row.
	ScenarioKinds   ChoiceScenario = "TwoKindsInSlowBursts"
	ScenarioFailing ChoiceScenario = "FailingFast"
	ScenarioLying   ChoiceScenario = "LyingReports"
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

// Choice measures the policies of package choice in virtual time.
func Choice(seed uint64) ChoiceResult {
	r := ChoiceResult{Seed: seed}
	var jobs []choiceJob
	for _, c := range []ChoiceScenario{ScenarioWell, ScenarioBursts, ScenarioBurstRow, ScenarioKinds, ScenarioStalled, ScenarioFailing, ScenarioLying} {
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
	probes  int
}

func (j choiceJob) run() ChoiceRun {
	b := newChoiceBench(j.seed, j.policy.policy, choiceServers, j.scenario == ScenarioLying)
	switch j.scenario {
	case ScenarioWell:
	case ScenarioBursts:
		b.bursts(j.seed, burstPause)
	case ScenarioBurstRow, ScenarioKinds:
		b.bursts(j.seed, 0)
	case ScenarioFailing:
		b.servers[5].failing = true
	case ScenarioStalled:
		b.sim.after(stallAt, func() { b.speed([]int{5}, stallSpeed) })
		b.sim.after(stallAt+stallLength, func() { b.speed([]int{5}, 1) })
	case ScenarioLying:
		b.servers[1].lie, b.servers[6].lie = lieIdle, lieIdle
		b.servers[2].lie, b.servers[7].lie = lieStale, lieStale
		b.servers[3].lie = lieDraining
	}
	as := arrivals(j.seed, choiceServers, j.load)
	if j.scenario == ScenarioKinds {
		as = divide(as, j.seed)
	}
	for _, a := range as {
		b.sim.after(a.at, func() { b.send(a) })
	}
	b.probe(newRand(j.seed, 4))
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
		Probes:   b.probes,
	}
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
		l := &choice.EqualShare{SingleBucket: true, Rand: newRand(seed, uint64(300+i))}
		l.Set(choiceProbeRate, choiceVMs)
		s := &choice.Set{Policy: p, Rand: newRand(seed, uint64(100+i)), Probes: l}
		s.Update(epoch, choice.Config{
			Slots: choiceSlots, ColdFor: 10 * time.Second, VMs: choiceVMs, Probeable: true,
		}, ss)
		b.sets = append(b.sets, s)
	}
	return b
}

// probe lets the VMs ask the load endpoints of servers that get no work.
func (b *choiceBench) probe(r *rand.Rand) {
	for _, s := range b.sets {
		if a, ok := s.NextProbe(b.sim.time()); ok {
			b.probes++
			v := b.byName[a]
			b.sim.after(2*farDelay, func() {
				r := v.report()
				s.RecordProbe(b.sim.time(), a, &r)
			})
		}
	}
	if b.sim.now < choiceLength {
		b.sim.after(probeEvery/2+time.Duration(r.Int64N(int64(probeEvery))), func() { b.probe(r) })
	}
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

// delay is the time one way between two data centres.
func delay(a, b int) time.Duration {
	if a == b {
		return nearDelay
	}
	return farDelay
}
