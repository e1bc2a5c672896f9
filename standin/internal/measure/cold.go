package measure

import (
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/limit/virtual"
	"lentilbend.example/internal/load"
)

// Parameters of the measurement "cold".
const (
	coldDuration = 20 * time.Second
	coldLoad     = 0.6
	// coldRate and coldBurst are what a cold server bears, in requests a second
	// and requests.
	coldRate          = 20.0
	coldBurst         = 4.0
	coldStartDuration = 5 * time.Second
	// coldSpeed is the speed of a cold server; the normal speed is 1.
	coldSpeed = 0.3
	// coldEventTime is when the server crashes, turns cold or is added.
	coldEventTime   = 4 * time.Second
	restartDowntime = time.Second
	// fullLoadWindow is the interval in which completed requests are counted to
	// find when the server bears its full load.
	fullLoadWindow = 200 * time.Millisecond
	// coldServer is the index of the server that turns cold.
	coldServer      = 3
	coldMaxAttempts = 3
	// The server counts as bearing its full load once it completes at least
	// fullLoadRatio times as many requests as the other servers on average.
	fullLoadRatio = 0.8
)

// ColdRun is the result of one policy and cold start allowance for one set of
// arrivals.
type ColdRun struct {
	// Scenario is Restart (the server refuses connections for a second before it
	// is cold), NoWarning (it turns cold without a restart) or New (it is added
	// to the table).
	Scenario string
	// Way is LeastOfTwo, or Informed with the cold start allowance split equally
	// among the VMs (InformedEqualParts), kept in one exact token bucket
	// (InformedOneBucket) or kept by the fleet-wide limit (InformedFleetLimit).
	Way string
	// Given is the number of requests that the server got while it was cold.
	Given int
	// Beyond is the number of these that exceeded the rate and burst that the
	// server bears.
	Beyond int
	// FullAfter is the time from the end of the cold start until the server
	// bore its full load, in milliseconds; 0 if it never did.
	FullAfter float64
	Requests  int
	// Failures is the number of requests that failed after any retries of
	// refused connections.
	Failures int
	// P99 is the 99th percentile of the latency, in milliseconds.
	P99 float64
}

// ColdResult is the result of the measurement "cold".
type ColdResult struct {
	Seed uint64
	Runs []ColdRun
}

// Cold measures how many requests a server gets in its cold start, simulated in
// virtual time.
func Cold(seed uint64) ColdResult {
	r := ColdResult{Seed: seed}
	var bs []*coldSimulation
	for _, s := range []string{"Restart", "NoWarning", "New"} {
		for _, w := range []string{"LeastOfTwo", "InformedEqualParts", "InformedOneBucket", "InformedFleetLimit"} {
			bs = append(bs, &coldSimulation{seed: seed, scenario: s, variant: w})
		}
	}
	r.Runs = make([]ColdRun, len(bs))
	runParallel(len(bs), func(i int) { r.Runs[i] = bs[i].run() })
	return r
}

// coldSimulation is the state of a simulation in which one server turns cold.
type coldSimulation struct {
	seed     uint64
	scenario string
	variant  string // ColdRun.Way

	choiceSimulation
	checker       *virtual.Checker
	warmAt        time.Duration
	fullLoadAfter time.Duration // since warmAt; 0 until the server bears its full load
	lastCompleted []int         // requests completed at the last check, by server
}

func (b *coldSimulation) run() ColdRun {
	var p choice.Policy = choice.NewInformed()
	if b.variant == "LeastOfTwo" {
		p = choice.LeastOfTwo{}
	}
	b.choiceSimulation = *newChoiceSimulation(b.seed, p, choiceServers, false)
	exact := exactAllowance{}
	b.checker = newColdChecker()
	var fleet []fleetAllowance
	if b.variant == "InformedFleetLimit" {
		fleet = b.newFleetAllowances()
	}
	for i, s := range b.sets {
		s.Cold = exact
		if fleet != nil {
			s.Cold = fleet[i]
		}
		if b.variant == "InformedEqualParts" {
			l := &choice.EqualShare{Rand: newRand(b.seed, uint64(300+i))}
			l.Set(coldRate, choiceVMs)
			s.Cold = l
		}
	}
	b.lastCompleted = make([]int, choiceServers)
	b.scheduleColdStart()
	for _, a := range poissonArrivals(b.seed, choiceServers, coldLoad) {
		b.sim.after(a.at, func() { b.attempt(a, nil) })
	}
	b.gossip()
	b.checkFullLoad()
	b.sim.run(coldDuration + time.Minute)
	return b.result()
}

// scheduleColdStart schedules the events that make the server cold and warm again.
func (b *coldSimulation) scheduleColdStart() {
	v := b.servers[coldServer]
	up := coldEventTime
	switch b.scenario {
	case "Restart":
		up += restartDowntime
		b.sim.after(coldEventTime, v.crash)
	case "NoWarning":
	case "New":
		b.updateServers(false, 0)
		b.sim.after(up, func() { b.updateServers(true, b.sim.now) })
	}
	b.warmAt = up + coldStartDuration
	b.sim.after(up, func() {
		v.down = false
		v.cold = true
		v.setSpeed(coldSpeed)
	})
	b.sim.after(b.warmAt, func() {
		v.cold = false
		v.setSpeed(1)
	})
}

// updateServers gives the sets the list of servers with or without the cold
// server. At the start of the simulation (now is 0) it replaces the sets, so that
// the server is unknown to them until it is added.
func (b *coldSimulation) updateServers(included bool, now time.Duration) {
	for i, s := range b.sets {
		var ss []choice.Server
		for j, v := range b.servers {
			if included || j != coldServer {
				ss = append(ss, choice.Server{Address: v.address, DataCentre: string(rune('a' + v.centre))})
			}
		}
		if now == 0 {
			*s = choice.Set{Policy: s.Policy, Cold: s.Cold, Rand: newRand(b.seed, uint64(200+i))}
		}
		s.Update(epoch.Add(now), choice.Config{Slots: slotsPerServer, ColdFor: coldStartDuration, VMs: choiceVMs}, ss)
	}
}

// gossipInterval is the time between checks for state updates to send.
const gossipInterval = time.Millisecond

// gossip sends the state updates of each VM to the others.
func (b *coldSimulation) gossip() {
	for i, s := range b.sets {
		us := s.TakeUpdates(b.sim.time())
		if len(us) == 0 {
			continue
		}
		b.sim.after(crossCentreDelay, func() {
			for j, o := range b.sets {
				if j != i {
					o.ApplyUpdates(b.sim.time(), serverAddress(1000+i), us)
				}
			}
		})
	}
	if b.sim.now < coldDuration {
		b.sim.after(gossipInterval, b.gossip)
	}
}

// checkFullLoad records when the server bears its full load again.
func (b *coldSimulation) checkFullLoad() {
	if b.sim.now > b.warmAt+fullLoadWindow && b.fullLoadAfter == 0 {
		sum := 0
		for i, v := range b.servers {
			if i != coldServer {
				sum += v.completed - b.lastCompleted[i]
			}
		}
		mean := float64(sum) / (choiceServers - 1)
		if float64(b.servers[coldServer].completed-b.lastCompleted[coldServer]) >= fullLoadRatio*mean {
			b.fullLoadAfter = b.sim.now - b.warmAt
		}
	}
	for i, v := range b.servers {
		b.lastCompleted[i] = v.completed
	}
	if b.sim.now < coldDuration {
		b.sim.after(fullLoadWindow, b.checkFullLoad)
	}
}

// attempt sends a request to a server other than those tried before. If the
// connection is refused, it retries on another server.
func (b *coldSimulation) attempt(a arrival, tried []netip.AddrPort) {
	c, ok := b.sets[a.vm].Choose(b.sim.time(), a.kind, tried)
	if !ok {
		b.results.add(a, 0, false)
		return
	}
	v := b.byName[c.Server()]
	d := networkDelay(a.vm%choiceDataCentres, v.centre)
	sent := b.sim.now
	j := &simRequest{remaining: a.work}
	j.onEnd = func(ok bool, r load.Report) {
		b.sim.after(d, func() {
			if !ok {
				c.End(b.sim.time(), choice.Failed{})
				b.results.add(a, 0, false)
				return
			}
			c.End(b.sim.time(), choice.Answered{Status: 200, Load: &r, FirstByte: b.sim.now - sent})
			b.results.add(a, b.sim.now-a.at, true)
		})
	}
	b.sim.after(d, func() {
		if v.down {
			b.sim.after(d, func() { b.retryRefused(a, c, tried) })
			return
		}
		b.countCold(v)
		v.receive(j)
	})
}

// retryRefused handles a refused connection. The request did not run, so it is
// retried on another server, with coldMaxAttempts attempts in total.
func (b *coldSimulation) retryRefused(a arrival, c choice.Call, tried []netip.AddrPort) {
	c.End(b.sim.time(), choice.Failed{})
	if len(tried)+1 >= coldMaxAttempts {
		b.results.add(a, 0, false)
		return
	}
	b.attempt(a, append(slices.Clone(tried), c.Server()))
}

// countCold counts a request that arrives at a server, if the server is cold.
func (b *coldSimulation) countCold(v *simServer) {
	if !v.cold {
		return
	}
	b.checker.RecordUse(b.sim.now)
}

func (b *coldSimulation) result() ColdRun {
	return ColdRun{
		Scenario:  b.scenario,
		Way:       b.variant,
		Given:     b.checker.Uses,
		Beyond:    b.checker.Violations,
		FullAfter: milliseconds(b.fullLoadAfter),
		Requests:  b.results.requests,
		Failures:  b.results.failures,
		P99:       milliseconds(b.results.total.quantile(0.99)),
	}
}
