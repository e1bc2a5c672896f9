package measure

import (
	"context"
	"fmt"
	"time"
)

// Bounds that the users stated. A refusal is wrongful if a single exact token bucket
// for the whole fleet admits the request.
const (
	// maxWrongfulPercent bounds the wrongful refusals at wrongfulBoundLoad, as a
	// percentage of the requests that the exact bucket admits.
	maxWrongfulPercent = 0.1
	// wrongfulBoundLoad is the ratio of the arrival rate to the limit.
	wrongfulBoundLoad = 0.9
)

func init() {
	register(Measurement{
		Name: "limits",
		Text: "fleet-wide rate limits over 16 entry VMs in virtual time with the membership and limits of the load balancer, " +
			"compared with a static 1/N split and an owner without leases; one exact token bucket replays the same arrivals",
		Run: measureLimits,
	})
}

// limitsResult is the result of the measurement "limits". Calm holds the runs
// without faults, one for each rate and load.
type limitsResult struct {
	Calm   []limitsRun
	Faults []limitsRun
}

// limitsRun is one run of all mechanisms on the same arrivals.
type limitsRun struct {
	Name string
	// Load is the ratio of the arrival rate to the limits.
	Load float64
	// Seconds is the virtual time over which requests arrived.
	Seconds float64
	// Ours is the result of the load balancer's own mechanism, package limit.
	Ours mechanismResult
	// Static is the result of a static split: each of the 16 VMs always has one
	// sixteenth of the limit.
	Static mechanismResult
	// Owner is the result of one owner that holds the whole limit without leases;
	// see leaselessOwners.
	Owner mechanismResult
	// AskedPerCall is the percentage of calls that waited for the answer of the
	// owner; WaitP99 is the 99th percentile of their waits, in milliseconds.
	AskedPerCall float64
	WaitP99      float64
	// MessagesPerNode and BytesPerNode are the limit messages that one VM sends a
	// second, and their bytes without framing.
	MessagesPerNode float64
	BytesPerNode    float64
	// BackAfter is the recovery time: the time from the start of the fault to the
	// end of the last five-second window in which the wrongful refusals of all
	// workspaces together exceeded maxWrongfulPercent of the calls, in seconds.
	BackAfter float64 `toml:",omitempty"`
}

// mechanismResult is the result of one mechanism for the limits.
type mechanismResult struct {
	// OverAdmitted is the number of requests admitted beyond Rate*t + Burst in any
	// interval t.
	OverAdmitted int
	// WrongfulRefusals is the number of refusals beyond those of one exact bucket.
	// Percent relates them to the requests that this bucket admits. Worst is the
	// highest such percentage of one workspace, and WorstRate its rate limit.
	WrongfulRefusals int
	Percent          float64
	Worst            float64
	WorstRate        float64
}

// Targets compares the load balancer's own mechanism with the stated bounds.
func (r *limitsResult) Targets() []Target {
	over := 0
	var ts []Target
	for _, c := range append(append([]limitsRun{}, r.Calm...), r.Faults...) {
		over += c.Ours.OverAdmitted
	}
	for _, c := range r.Calm {
		if c.Load == wrongfulBoundLoad {
			ts = append(ts, AtMost(c.Name+" at 90 %: Ours.Worst", "%", maxWrongfulPercent, c.Ours.Worst))
		}
	}
	return append(ts, AtMost("OverAdmitted", "requests", 0, float64(over)))
}

// limitsSteadyRuns are the rate limits measured without faults, in requests a
// second, and the durations in seconds of virtual time.
var limitsSteadyRuns = []struct {
	rate    float64
	seconds int
}{{4, 6000}, {40, 1000}, {400, 200}, {4000, 60}}

// Virtual times of a run: the end of runs with faults, and the start of the fault.
// In all runs, requests arrive from half of faultStartSeconds on.
const (
	faultRunSeconds   = 240
	faultStartSeconds = 60
)

// limitsFaultRuns are the simulated faults; start is called when the fault begins.
var limitsFaultRuns = []struct {
	name  string
	start func(s *limitsSimulation)
}{
	{"a VM crashes and is replaced after 10 s", (*limitsSimulation).crashVM},
	{"all VMs restart one by one, as planned, 10 s apart", (*limitsSimulation).restartAll},
	{"a data centre is cut from the others for 60 s", (*limitsSimulation).partitionCentre},
	{"a VM is paused for 30 s", (*limitsSimulation).pauseVM},
	{"a VM is suspended for 30 s, its clock too", (*limitsSimulation).suspendVM},
	{"the VM list is frozen, a newcomer joins", (*limitsSimulation).freezeList},
	{"the platform is down from start to end, a VM crashes", (*limitsSimulation).failPlatform},
}

func measureLimits(ctx context.Context, o Options) (any, error) {
	r := &limitsResult{}
	for _, c := range limitsSteadyRuns {
		for _, l := range []float64{0.5, wrongfulBoundLoad, 1, 3} {
			s := newLimitsSimulation(int64(o.Seed), l, c.rate)
			s.run(ctx, time.Duration(c.seconds)*time.Second)
			r.Calm = append(r.Calm, s.result(fmt.Sprintf("calm, %.0f/s", c.rate), l))
		}
	}
	for _, f := range limitsFaultRuns {
		s := newLimitsSimulation(int64(o.Seed), wrongfulBoundLoad, faultRunRates...)
		s.world.At(faultStartSeconds*time.Second, func() { s.faultAt = s.world.Now(); f.start(s) })
		s.run(ctx, faultRunSeconds*time.Second)
		r.Faults = append(r.Faults, s.result(f.name, wrongfulBoundLoad))
	}
	return r, ctx.Err()
}
