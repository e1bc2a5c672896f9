package measure

import (
	"context"
	"fmt"
	"time"
)

// Parameters of the measurement "uneven". The servers, their slow quarter and the
// requests are those of docs/design/heavy-load.md.
const (
	unevenSlots    = 4
	unevenSlowPart = 0.25
	unevenSlowPace = 7.0
	// unevenSlowPeriod is the time after which the slow servers are selected anew.
	unevenSlowPeriod = 500 * time.Millisecond
	// unevenMinRTT and unevenMaxRTT bound the round trip to a server.
	unevenMinRTT = time.Millisecond
	unevenMaxRTT = 2 * time.Millisecond
	// unevenWorkSpread is the log-normal spread of the work of a kind of request.
	// A part unevenLongPart of the requests takes unevenLongFactor times longer.
	unevenWorkSpread = 0.3
	unevenLongPart   = 0.03
	unevenLongFactor = 7.0
	// unevenIdleTime is how long an idle connection to a server is kept.
	unevenIdleTime = 10 * time.Second
	// unevenCheckInterval is the time between checks of a request in flight.
	unevenCheckInterval = 60 * time.Millisecond
	unevenMaxAttempts   = 3
	// unevenRetryRatio and unevenRetrySlack are the retry budget of the fleet, of
	// which the VMs may use the part unevenBudgetPart.
	unevenRetryRatio = 0.2
	unevenRetrySlack = 170.0
	unevenBudgetPart = 0.8
	// unevenWarmup is longer than unevenIdleTime, so that the connections of the
	// measured part are those of a fleet that has run for a while.
	unevenWarmup   = 12 * time.Second
	unevenMeasured = 10 * time.Second
)

// Bounds of the measurement "uneven": the share of responses within the objective
// relative to a chooser with a full view, and probes and new connections a request.
const (
	minUnevenFullViewRatio = 0.95
	maxUnevenProbes        = 1.0
	maxUnevenConnections   = 0.4
)

// UnevenWay is how the entry VMs choose among servers of uneven speed.
type UnevenWay string

const (
	// UnevenAtOnce probes up to three candidates at once before a choice, and the
	// server of each request in flight every unevenCheckInterval.
	UnevenAtOnce UnevenWay = "AtOnce"
	// UnevenInTurn uses a subset of the servers, probes them one after the other, and
	// probes the server of a request in flight only after an unusual time.
	UnevenInTurn UnevenWay = "InTurn"
	// UnevenFullView sees the state of all servers at any time without probes, but
	// not the work of a request.
	UnevenFullView UnevenWay = "FullView"
)

// unevenKind is a kind of request.
type unevenKind struct {
	name       string
	share      float64
	work       time.Duration // mean at the usual pace
	objective  time.Duration
	deadline   time.Duration
	idempotent bool
}

// unevenKinds are lookups, writes and queries of both deployments.
var unevenKinds = []unevenKind{
	{"lookup", 0.35, 120 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, true},
	{"write", 0.15, 150 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, false},
	{"read", 0.25, 220 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second, true},
	{"update", 0.10, 290 * time.Millisecond, 800 * time.Millisecond, 4 * time.Second, false},
	{"query", 0.15, 290 * time.Millisecond, 800 * time.Millisecond, 4 * time.Second, true},
}

// UnevenRun is the result of one way for one fleet and load.
type UnevenRun struct {
	VMs, Servers int
	// Load is the rate of arrivals as a fraction of the servers' capacity, of which
	// the slow ones have a seventh.
	Load     float64
	Way      UnevenWay
	Requests int
	// InTime is the share of requests with a response within the objective.
	InTime float64
	// Refused is the share of requests without a response.
	Refused float64
	// Probes, Connections and Reroutes are those of a request on average.
	Probes      float64
	Connections float64
	Reroutes    float64
}

// UnevenResult is the result of the measurement "uneven".
type UnevenResult struct {
	Seed uint64
	Runs []UnevenRun
}

// unevenFleet is a number of VMs and servers.
type unevenFleet struct{ vms, servers int }

// unevenFleets are the fleets measured. Two have few servers for their VMs.
var unevenFleets = []unevenFleet{{14, 24}, {104, 172}, {104, 14}, {208, 103}, {208, 51}, {1000, 500}}

// unevenLoads are the loads measured: that of the deployments without disturbances,
// a high one and an overload.
var unevenLoads = []float64{0.25, 0.6, 1.3}

// unevenWays are the ways measured. The last one is the reference.
var unevenWays = []UnevenWay{UnevenAtOnce, UnevenInTurn, UnevenFullView}

// Uneven compares ways to choose among servers of uneven speed in virtual time.
func Uneven(seed uint64) UnevenResult {
	r := UnevenResult{Seed: seed}
	var cases []*unevenSimulation
	for _, f := range unevenFleets {
		for _, l := range unevenLoads {
			for _, w := range unevenWays {
				cases = append(cases, newUnevenSimulation(seed, f, l, w))
			}
		}
	}
	r.Runs = make([]UnevenRun, len(cases))
	runParallel(len(cases), func(i int) {
		r.Runs[i] = cases[i].run()
		cases[i] = nil
	})
	return r
}

func init() {
	register(Measurement{
		Name: "uneven",
		Text: "choice among servers of 4 slots of which a quarter is 7 times slower, selected anew every 500 ms, in virtual time",
		Run:  func(_ context.Context, o Options) (any, error) { return Uneven(o.Seed), nil },
	})
}

// fewServers reports whether the fleet has less than three quarters of a slot for each
// VM. Such servers are probed at once.
func (f unevenFleet) fewServers() bool {
	return 4*f.servers*unevenSlots < 3*f.vms
}

// Targets compares UnevenInTurn with the bounds, except in overload and with few
// servers.
func (r UnevenResult) Targets() []Target {
	var ts []Target
	for i, x := range r.Runs {
		if x.Way != UnevenInTurn || x.Load >= 1 || (unevenFleet{x.VMs, x.Servers}).fewServers() {
			continue
		}
		at := fmt.Sprintf("%dVMs.%dServers.%.0f%%", x.VMs, x.Servers, 100*x.Load)
		// AtMost needs an upper bound, hence the part missing to the full view.
		ts = append(ts,
			AtMost(at+".MissingToFullView", "of the share in time", 1-minUnevenFullViewRatio, 1-x.InTime/r.Runs[i+1].InTime),
			AtMost(at+".Probes", "per request", maxUnevenProbes, x.Probes),
			AtMost(at+".Connections", "per request", maxUnevenConnections, x.Connections))
	}
	return ts
}
