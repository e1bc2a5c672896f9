package measure

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"lentilbend.example/internal/choice"
)

// Parameters of the measurement "choice".
const (
	choiceVMs         = 16
	choiceServers     = 16
	choiceDataCentres = 4
	slotsPerServer    = 6
	// fleetProbeRate is the allowance of load probes for all VMs together, in
	// probes a second.
	fleetProbeRate = 2.0
	// probeInterval is the mean time between checks for due probes.
	probeInterval = 500 * time.Millisecond
	// choiceDuration is the time over which requests arrive.
	choiceDuration = 20 * time.Second
	// choiceWarmup is the time from the start in which arrivals are not
	// counted in the results.
	choiceWarmup = 2 * time.Second
	// Service times are log-normal, cut off at maxServiceTime.
	meanServiceTime  = 10 * time.Millisecond
	serviceTimeSigma = 1.0
	maxServiceTime   = 500 * time.Millisecond
	// sameCentreDelay and crossCentreDelay are network delays one way.
	sameCentreDelay  = 100 * time.Microsecond
	crossCentreDelay = 1250 * time.Microsecond
	// slowSpeed is the speed of servers in a slow burst; the normal speed is 1.
	slowSpeed         = 0.2
	slowBurstDuration = 50 * time.Millisecond
	slowBurstPause    = 50 * time.Millisecond
	stallStart        = 8 * time.Second
	stallDuration     = 3 * time.Second
	// stallSpeed is not 0, since the processing time is divided by it.
	stallSpeed = 1e-6
	// choiceDeadline is the time from sending a request to a server until it
	// times out.
	choiceDeadline = time.Second
	// Every groupBurstPeriod-th slow burst slows down four neighbouring servers,
	// as on a shared power feed, instead of two random ones.
	groupBurstPeriod = 4
)

// ChoiceScenario is the kind of fault that is simulated in a run.
type ChoiceScenario string

// Scenarios of the measurement.
const (
	ScenarioAllWell ChoiceScenario = "AllWell"
	// ScenarioSlowBursts slows down some servers for slowBurstDuration at a
	// time, with pauses of slowBurstPause between these bursts;
	// ScenarioSlowBurstsInARow has no pauses.
	ScenarioSlowBursts       ChoiceScenario = "SlowBursts"
	ScenarioSlowBurstsInARow ChoiceScenario = "SlowBurstsInARow"
	// ScenarioStalled has one server that stops for stallDuration.
	ScenarioStalled ChoiceScenario = "Stalled"
	// ScenarioTwoKinds has quick and heavy requests, and slow bursts without
	// pauses.
	ScenarioTwoKinds ChoiceScenario = "TwoKindsInSlowBursts"
	// ScenarioFailingFast has one server that quickly answers each request with an
	// error.
	ScenarioFailingFast ChoiceScenario = "FailingFast"
	// ScenarioMisleadingReports has servers that report no load, an old load
	// or a drain, and servers that are missing from the VM list.
	ScenarioMisleadingReports ChoiceScenario = "LyingReports"
)

// ChoiceRun is the result of one policy for one set of arrivals.
type ChoiceRun struct {
	Scenario ChoiceScenario
	// Load is the rate of arrivals as a fraction of the servers' capacity.
	Load     float64
	Policy   string
	Requests int
	// P50, P99 and P999 are percentiles of the latency of the requests that did
	// not fail, in milliseconds.
	P50  float64
	P99  float64
	P999 float64
	// Added99 is the 99th percentile, over the same requests, of the latency minus
	// the request's service time at full speed, in milliseconds.
	Added99 float64
	// Failures is the number of requests that failed or timed out.
	Failures int
	// Probes is the number of load probes sent.
	Probes int
}

// ChoiceResult is the result of the measurement "choice".
type ChoiceResult struct {
	Seed uint64
	Runs []ChoiceRun
}

// Choice compares the policies of package choice, simulated in virtual time.
func Choice(seed uint64) ChoiceResult {
	r := ChoiceResult{Seed: seed}
	var cases []choiceCase
	for _, c := range []ChoiceScenario{ScenarioAllWell, ScenarioSlowBursts, ScenarioSlowBurstsInARow, ScenarioTwoKinds, ScenarioStalled, ScenarioFailingFast, ScenarioMisleadingReports} {
		for _, l := range []float64{0.5, 0.7, 0.85} {
			for _, p := range choicePolicies() {
				cases = append(cases, choiceCase{seed: seed, scenario: c, load: l, policy: p})
			}
		}
	}
	r.Runs = make([]ChoiceRun, len(cases))
	runParallel(len(cases), func(i int) { r.Runs[i] = cases[i].run() })
	return r
}

// maxParallelRuns is the number of simulations that run concurrently.
const maxParallelRuns = 4

// runParallel calls f for 0 to n-1 on maxParallelRuns goroutines.
func runParallel(n int, f func(i int)) {
	var w sync.WaitGroup
	next := make(chan int)
	for range maxParallelRuns {
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

// namedPolicy is a policy of package choice; the policy is nil for the oracle.
type namedPolicy struct {
	name   string
	policy choice.Policy
}

// choicePolicies returns the compared policies. choiceTargets relies on their
// order: the baselines, Informed, Oracle.
func choicePolicies() []namedPolicy {
	return []namedPolicy{
		{"Random", choice.Random{}},
		{"RoundRobin", choice.RoundRobin{}},
		{"LeastOfTwo", choice.LeastOfTwo{}},
		{"Informed", choice.NewInformed()},
		{"Oracle", nil},
	}
}

// choiceCase is a combination of scenario, load and policy to simulate.
type choiceCase struct {
	seed     uint64
	scenario ChoiceScenario
	load     float64
	policy   namedPolicy
}

// choiceSimulation is the state of a simulation of entry VMs that choose among
// backend servers.
type choiceSimulation struct {
	sim     *sim
	servers []*simServer
	byName  map[netip.AddrPort]*simServer
	sets    []*choice.Set // one for each entry VM; empty with the oracle
	oracle  *oracle       // nil except in runs of the oracle
	results *latencySamples
	probes  int
}

func (j choiceCase) run() ChoiceRun {
	b := newChoiceSimulation(j.seed, j.policy.policy, choiceServers, j.scenario == ScenarioMisleadingReports)
	switch j.scenario {
	case ScenarioAllWell:
	case ScenarioSlowBursts:
		b.scheduleSlowBursts(j.seed, slowBurstPause)
	case ScenarioSlowBurstsInARow, ScenarioTwoKinds:
		b.scheduleSlowBursts(j.seed, 0)
	case ScenarioFailingFast:
		b.servers[5].failing = true
	case ScenarioStalled:
		b.sim.after(stallStart, func() { b.setSpeed([]int{5}, stallSpeed) })
		b.sim.after(stallStart+stallDuration, func() { b.setSpeed([]int{5}, 1) })
	case ScenarioMisleadingReports:
		b.servers[1].reportMode, b.servers[6].reportMode = reportsIdle, reportsIdle
		b.servers[2].reportMode, b.servers[7].reportMode = reportsStale, reportsStale
		b.servers[3].reportMode = reportsDraining
	}
	as := poissonArrivals(j.seed, choiceServers, j.load)
	if j.scenario == ScenarioTwoKinds {
		as = assignKinds(as, j.seed)
	}
	for _, a := range as {
		b.sim.after(a.at, func() { b.sendRequest(a) })
	}
	b.sendProbes(newRand(j.seed, 4))
	b.sim.run(choiceDuration + time.Minute)
	return ChoiceRun{
		Scenario: j.scenario,
		Load:     j.load,
		Policy:   j.policy.name,
		Requests: b.results.requests,
		P50:      milliseconds(b.results.total.quantile(0.5)),
		P99:      milliseconds(b.results.total.quantile(0.99)),
		P999:     milliseconds(b.results.total.quantile(0.999)),
		Added99:  milliseconds(b.results.added.quantile(0.99)),
		Failures: b.results.failures,
		Probes:   b.probes,
	}
}

// newChoiceSimulation returns a simulation of the oracle if p is nil. If
// someMissing is set, the VM list lacks two of the servers.
func newChoiceSimulation(seed uint64, p choice.Policy, servers int, someMissing bool) *choiceSimulation {
	b := &choiceSimulation{sim: &sim{}, byName: map[netip.AddrPort]*simServer{}, results: &latencySamples{}}
	var ss []choice.Server
	for i := range servers {
		v := &simServer{
			sim: b.sim, address: serverAddress(i), centre: i % choiceDataCentres,
			slots: slotsPerServer, speed: 1,
		}
		b.servers = append(b.servers, v)
		b.byName[v.address] = v
		ss = append(ss, choice.Server{
			Address:    v.address,
			DataCentre: string(rune('a' + v.centre)),
			Missing:    someMissing && (i == 4 || i == 9),
		})
	}
	if p == nil {
		b.oracle = &oracle{servers: b.servers, rand: newRand(seed, 3)}
		return b
	}
	for i := range choiceVMs {
		l := &choice.EqualShare{SingleBucket: true, Rand: newRand(seed, uint64(300+i))}
		l.Set(fleetProbeRate, choiceVMs)
		s := &choice.Set{Policy: p, Rand: newRand(seed, uint64(100+i)), Probes: l}
		s.Update(epoch, choice.Config{
			Slots: slotsPerServer, ColdFor: 10 * time.Second, VMs: choiceVMs, Probeable: true,
		}, ss)
		b.sets = append(b.sets, s)
	}
	return b
}

// sendProbes sends the load probes that are due at each VM, and schedules itself
// again.
func (b *choiceSimulation) sendProbes(r *rand.Rand) {
	for _, s := range b.sets {
		if a, ok := s.NextProbe(b.sim.time()); ok {
			b.probes++
			v := b.byName[a]
			b.sim.after(2*crossCentreDelay, func() {
				r := v.report()
				s.RecordProbe(b.sim.time(), a, &r)
			})
		}
	}
	if b.sim.now < choiceDuration {
		b.sim.after(probeInterval/2+time.Duration(r.Int64N(int64(probeInterval))), func() { b.sendProbes(r) })
	}
}

// scheduleSlowBursts schedules slow bursts of random servers for the whole run,
// separated by the pause.
func (b *choiceSimulation) scheduleSlowBursts(seed uint64, pause time.Duration) {
	r := newRand(seed, 2)
	n := 0
	for t := time.Duration(0); t < choiceDuration; t += slowBurstDuration + pause {
		n++
		vs := r.Perm(choiceServers)[:2]
		if n%groupBurstPeriod == 0 {
			f := r.IntN(choiceServers / 4)
			vs = []int{4 * f, 4*f + 1, 4*f + 2, 4*f + 3}
		}
		b.sim.after(t, func() { b.setSpeed(vs, slowSpeed) })
		b.sim.after(t+slowBurstDuration-1, func() { b.setSpeed(vs, 1) })
	}
}

// setSpeed sets the speed of the servers with the given indexes.
func (b *choiceSimulation) setSpeed(vs []int, f float64) {
	for _, i := range vs {
		b.servers[i].setSpeed(f)
	}
}

// networkDelay returns the delay one way between two data centres.
func networkDelay(a, b int) time.Duration {
	if a == b {
		return sameCentreDelay
	}
	return crossCentreDelay
}
