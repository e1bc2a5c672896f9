package measure

import (
	"context"
	"fmt"
	"time"
)

// Bounds that the users stated.
const (
	wrongfulBound = 0.1
	wrongfulLoad  = 0.9
)

func init() {
	register(Measurement{
		Name: "limits",
		Text: "fleet-wide rates over 16 entry VMs in virtual time with the product's membership and limits, " +
			"beside a static 1/N split and an owner without leases; one exact bucket replays the same arrivals",
		Run: measureLimits,
	})
}

// limitsResult holds one entry for each load and each fault.
type limitsResult struct {
	Calm   []limitsRun
	Faults []limitsRun
}

// limitsRun is one run of all mechanisms on the same arrivals.
type limitsRun struct {
	Name    string
	Load    float64
	Seconds float64
	Ours    mechanismResult
	// Static gives each of the 16 VMs one part in 16, for good.
	Static mechanismResult
	// Owner asks the VM that the receiving VM takes for the owner, which starts
	// with a full bucket.
	Owner mechanismResult
	// AskedPerCall is how many calls in 100 waited for the home; WaitP99 is how
	// long the slowest of 100 that waited did, in milliseconds.
	AskedPerCall float64
	WaitP99      float64
	// MessagesPerNode and BytesPerNode are of limits, sent by one VM each
	// second; the bytes are without frames.
	MessagesPerNode float64
	BytesPerNode    float64
	// BackAfter is how long after the fault began the wrongful refusals of all
	// workspaces together were last above the target, in seconds, by windows of
	// five seconds.
	BackAfter float64 `toml:",omitempty"`
}

// mechanismResult is what a mechanism did.
type mechanismResult struct {
	// OverAdmitted counts requests beyond Rate*t + Burst over any interval.
	OverAdmitted int
	// WrongfulRefusals counts refusals beyond those of one exact bucket;
	// Percent is of the requests that it admits, Worst the worst workspace's.
	WrongfulRefusals int
	Percent          float64
	Worst            float64
	WorstRate        float64
}

// Targets compares the figures of this product with the stated bounds.
func (r *limitsResult) Targets() []Target {
	over := 0
	var ts []Target
	for _, c := range append(append([]limitsRun{}, r.Calm...), r.Faults...) {
		over += c.Ours.OverAdmitted
	}
	for _, c := range r.Calm {
		if c.Load == wrongfulLoad {
			ts = append(ts, AtMost(c.Name+" at 90 %: Ours.Worst", "%", wrongfulBound, c.Ours.Worst))
		}
	}
	return append(ts, AtMost("OverAdmitted", "requests", 0, float64(over)))
}

// limitsCalm are the rates measured by themselves and how long, in seconds of
// virtual time.
var limitsCalm = []struct {
	rate    float64
	seconds int
}{{4, 6000}, {40, 1000}, {400, 200}, {4000, 60}}

// Times of a run with a fault, in virtual time.
const (
	faultSeconds = 240
	warmSeconds  = 60
)

// limitsFaults are the faults, from the time at which they begin.
var limitsFaults = []struct {
	name  string
	start func(s *limitsSim)
}{
	{"a VM crashes and is replaced after 10 s", (*limitsSim).crashOne},
	{"all VMs restart one by one, as planned, 10 s apart", (*limitsSim).rollingRestarts},
	{"a data centre is cut from the others for 60 s", (*limitsSim).cutCentre},
	{"a VM is paused for 30 s", (*limitsSim).pauseOne},
	{"a VM is suspended for 30 s, its clock too", (*limitsSim).suspendOne},
	{"the VM list is frozen, a newcomer joins", (*limitsSim).frozenList},
	{"the platform is down from start to end, a VM crashes", (*limitsSim).platformDown},
}

func measureLimits(ctx context.Context, o Options) (any, error) {
	r := &limitsResult{}
	for _, c := range limitsCalm {
		for _, l := range []float64{0.5, wrongfulLoad, 1, 3} {
			s := newLimitsSim(int64(o.Seed), l, c.rate)
			s.run(ctx, time.Duration(c.seconds)*time.Second)
			r.Calm = append(r.Calm, s.result(fmt.Sprintf("calm, %.0f/s", c.rate), l))
		}
	}
	for _, f := range limitsFaults {
		s := newLimitsSim(int64(o.Seed), wrongfulLoad, limitsRates...)
		s.world.At(warmSeconds*time.Second, func() { s.faultAt = s.world.Now(); f.start(s) })
		s.run(ctx, faultSeconds*time.Second)
		r.Faults = append(r.Faults, s.result(f.name, wrongfulLoad))
	}
	return r, ctx.Err()
}
