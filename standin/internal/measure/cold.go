package measure

import (
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/limit/virtual"
	"lentilbend.example/internal/load"
)

// Sizes of the measurement "cold".
const (
	coldLength  = 20 * time.Second
	coldLoad    = 0.6
	coldRate    = 20.0
	coldBurst   = 4.0
	coldFor     = 5 * time.Second
	coldSpeed   = 0.3
	coldAt      = 4 * time.Second
	coldDown    = time.Second
	coldWindow  = 200 * time.Millisecond
	coldVictim  = 3
	coldRetries = 3
	// coldFull is the part of the other servers' mean at which a server
	// carries its full part.
	coldFull = 0.8
)

// ColdRun is one way of choosing over one set of arrivals.
type ColdRun struct {
	// Scenario is Restart (down for a second, connections refused), NoWarning
	// (turns cold between two requests) or New (a server added to the table).
	Scenario string
	// Way is LeastOfTwo, or Informed with each VM's equal part of the
	// allowance, with one exact bucket for all, or with the fleet-wide limit.
	Way string
	// Given are the requests that the server got while it was cold.
	Given int
	// Beyond are those of them beyond ColdRate and ColdBurst.
	Beyond int
	// FullAfter is the time from the end of the cold start until the server
	// carries its full part, in milliseconds; 0 when it did not.
	FullAfter float64
	Requests  int
	// Failures are requests that failed after retries of refused ones.
	Failures int
	// P99 is the 99th percentile of the latency, in milliseconds.
	P99 float64
}

// ColdResult holds every run.
type ColdResult struct {
	Seed uint64
	Runs []ColdRun
}

// Cold measures what a server in cold start gets, in virtual time.
func Cold(seed uint64) ColdResult {
	r := ColdResult{Seed: seed}
	var bs []*coldBench
	for _, s := range []string{"Restart", "NoWarning", "New"} {
		for _, w := range []string{"LeastOfTwo", "InformedEqualParts", "InformedOneBucket", "InformedFleetLimit"} {
			bs = append(bs, &coldBench{seed: seed, scenario: s, way: w})
		}
	}
	r.Runs = make([]ColdRun, len(bs))
	parallel(len(bs), func(i int) { r.Runs[i] = bs[i].run() })
	return r
}

// coldBench is the state of a run.
type coldBench struct {
	seed     uint64
	scenario string
	way      string

	choiceBench
	meter  *virtual.Checker
	warmAt time.Duration
	full   time.Duration
	counts []int
}

func (b *coldBench) run() ColdRun {
	var p choice.Policy = choice.NewInformed()
	if b.way == "LeastOfTwo" {
		p = choice.LeastOfTwo{}
	}
	b.choiceBench = *newChoiceBench(b.seed, p, choiceServers, false)
	one := oneBucket{}
	b.meter = newColdMeter()
	var fleet []fleetAllowance
	if b.way == "InformedFleetLimit" {
		fleet = b.limits()
	}
	for i, s := range b.sets {
		s.Cold = one
		if fleet != nil {
			s.Cold = fleet[i]
		}
		if b.way == "InformedEqualParts" {
			l := &choice.EqualShare{Rand: newRand(b.seed, uint64(300+i))}
			l.Set(coldRate, choiceVMs)
			s.Cold = l
		}
	}
	b.counts = make([]int, choiceServers)
	b.script()
	for _, a := range arrivals(b.seed, choiceServers, coldLoad) {
		b.sim.after(a.at, func() { b.try(a, nil) })
	}
	b.news()
	b.watch()
	b.sim.run(coldLength + time.Minute)
	return b.result()
}

// script makes the server turn cold and warm again.
func (b *coldBench) script() {
	v := b.servers[coldVictim]
	up := coldAt
	switch b.scenario {
	case "Restart":
		up += coldDown
		b.sim.after(coldAt, v.crash)
	case "NoWarning":
	case "New":
		b.update(false, 0)
		b.sim.after(up, func() { b.update(true, b.sim.now) })
	}
	b.warmAt = up + coldFor
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

// update gives the sets the table with or without the server.
func (b *coldBench) update(with bool, now time.Duration) {
	for i, s := range b.sets {
		var ss []choice.Server
		for j, v := range b.servers {
			if with || j != coldVictim {
				ss = append(ss, choice.Server{Address: v.address, DataCentre: string(rune('a' + v.centre))})
			}
		}
		if now == 0 {
			*s = choice.Set{Policy: s.Policy, Cold: s.Cold, Rand: newRand(b.seed, uint64(200+i))}
		}
		s.Update(epoch.Add(now), choice.Config{Slots: choiceSlots, ColdFor: coldFor, VMs: choiceVMs}, ss)
	}
}

// newsEvery is the time between two looks at the news of the VMs.
const newsEvery = time.Millisecond

// news carries the news between the VMs.
func (b *coldBench) news() {
	for i, s := range b.sets {
		ns := s.TakeUpdates(b.sim.time())
		if len(ns) == 0 {
			continue
		}
		b.sim.after(farDelay, func() {
			for j, o := range b.sets {
				if j != i {
					o.ApplyUpdates(b.sim.time(), serverAddress(1000+i), ns)
				}
			}
		})
	}
	if b.sim.now < coldLength {
		b.sim.after(newsEvery, b.news)
	}
}

// watch notes when the server carries its full part again.
func (b *coldBench) watch() {
	if b.sim.now > b.warmAt+coldWindow && b.full == 0 {
		sum := 0
		for i, v := range b.servers {
			if i != coldVictim {
				sum += v.done - b.counts[i]
			}
		}
		mean := float64(sum) / (choiceServers - 1)
		if float64(b.servers[coldVictim].done-b.counts[coldVictim]) >= coldFull*mean {
			b.full = b.sim.now - b.warmAt
		}
	}
	for i, v := range b.servers {
		b.counts[i] = v.done
	}
	if b.sim.now < coldLength {
		b.sim.after(coldWindow, b.watch)
	}
}

// try sends a request, and again elsewhere when the connection is refused.
func (b *coldBench) try(a arrival, tried []netip.AddrPort) {
	c, ok := b.sets[a.vm].Choose(b.sim.time(), a.kind, tried)
	if !ok {
		b.results.add(a, 0, false)
		return
	}
	v := b.byName[c.Server()]
	d := delay(a.vm%choiceCentres, v.centre)
	sent := b.sim.now
	j := &simJob{left: a.work}
	j.end = func(ok bool, r load.Report) {
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
			b.sim.after(d, func() { b.again(a, c, tried) })
			return
		}
		b.note(v)
		v.arrive(j)
	})
}

// again takes a refused connection: the request did not run.
func (b *coldBench) again(a arrival, c choice.Call, tried []netip.AddrPort) {
	c.End(b.sim.time(), choice.Failed{})
	if len(tried)+1 >= coldRetries {
		b.results.add(a, 0, false)
		return
	}
	b.try(a, append(slices.Clone(tried), c.Server()))
}

// note counts what the cold server gets.
func (b *coldBench) note(v *simServer) {
	if !v.cold {
		return
	}
	b.meter.RecordUse(b.sim.now)
}

func (b *coldBench) result() ColdRun {
	return ColdRun{
		Scenario:  b.scenario,
		Way:       b.way,
		Given:     b.meter.Uses,
		Beyond:    b.meter.Violations,
		FullAfter: milliseconds(b.full),
		Requests:  b.results.requests,
		Failures:  b.results.failures,
		P99:       milliseconds(b.results.whole.quantile(0.99)),
	}
}
