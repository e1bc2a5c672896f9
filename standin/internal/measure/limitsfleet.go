package measure

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lentilbend.example/internal/limit/virtual"

	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/history"
	"lentilbend.example/standin/internal/load"
)

// Parameters of the measurement "limits-fleet".
const (
	limitsFleetVMs             = 16
	limitsFleetSteadySeconds   = 15
	limitsFleetOverloadSeconds = 6
	limitsFleetSettleTime      = 6 * time.Second
)

// limitsFleetRates are the rate limits of the workspaces, in requests a second.
var limitsFleetRates = []float64{4, 40, 400}

func init() {
	register(Measurement{
		Name: "limits-fleet",
		Text: "fleet-wide rate limits over 16 entry VMs as processes on loopback; one exact token bucket replays the same arrivals",
		Run:  measureLimitsFleet,
	})
}

// limitsFleetResult is the result of the measurement "limits-fleet": one run for
// each load.
type limitsFleetResult struct {
	Runs []limitsFleetRun
}

// limitsFleetRun is the result at one load.
type limitsFleetRun struct {
	// Load is the ratio of the arrival rate to the limits.
	Load  float64
	Calls uint64
	// OverAdmitted is the number of intervals in which the backend servers ran
	// more of a workspace's requests than its rate and burst allow.
	OverAdmitted int
	Workspaces   []limitsFleetRow
	// Unready is the number of calls refused with a status other than 429.
	Unready uint64
}

// limitsFleetRow is the result for one workspace.
type limitsFleetRow struct {
	Rate             float64
	Calls            int
	Refused          int
	RefusedByExact   int
	WrongfulRefusals int
	// Percent relates the wrongful refusals to the requests that the exact bucket
	// admits.
	Percent float64
	// P50 and P99 are percentiles of the latency of served calls, in milliseconds.
	P50, P99 float64
}

// Targets compares the results with the stated bounds.
func (r *limitsFleetResult) Targets() []Target {
	over, worst := 0, 0.0
	for _, u := range r.Runs {
		over += u.OverAdmitted
		for _, w := range u.Workspaces {
			if u.Load == wrongfulBoundLoad {
				worst = max(worst, w.Percent)
			}
		}
	}
	return []Target{
		AtMost("OverAdmitted", "intervals", 0, float64(over)),
		AtMost("worst workspace at 90 %", "%", maxWrongfulPercent, worst),
	}
}

func measureLimitsFleet(ctx context.Context, o Options) (any, error) {
	r := &limitsFleetResult{}
	for _, l := range []float64{wrongfulBoundLoad, 3} {
		u, err := measureLimitsFleetLoad(ctx, o, l)
		if err != nil {
			return nil, err
		}
		r.Runs = append(r.Runs, u)
	}
	return r, nil
}

func limitsFleetDeployment() fleet.Deployment {
	d := fleet.SmallDeployment(limitsFleetVMs)
	d.Services = d.Services[:1]
	s := &d.Services[0]
	s.Routes = s.Routes[:1]
	s.Slots, s.ServiceTime = 100, time.Millisecond
	d.Workspaces, s.Rows = nil, nil
	d.AddWorkspaces(len(limitsFleetRates), func(*fleet.Service, float64) fleet.Row { return fleet.Row{Weight: 1} })
	for i, x := range limitsFleetRates {
		d.Workspaces[i].Share = x
		r := &s.Rows[i]
		r.Rate, r.Burst, r.Limit = x, limitsBurstSeconds*x, 1000
	}
	return d
}

func measureLimitsFleetLoad(ctx context.Context, o Options, factor float64) (limitsFleetRun, error) {
	f := &fleet.Fleet{Bin: o.Bin, Deployment: limitsFleetDeployment(), Seed: o.Seed, Environment: []string{"GOMAXPROCS=2"}}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return limitsFleetRun{}, err
	}
	if err := f.WaitServing(ctx); err != nil {
		return limitsFleetRun{}, err
	}
	time.Sleep(limitsFleetSettleTime)
	g := f.NewGenerator()
	g.ReadinessInterval = 0
	g.Duration = limitsFleetSteadySeconds * time.Second
	if factor > 1 {
		g.Duration = limitsFleetOverloadSeconds * time.Second
	}
	for _, x := range limitsFleetRates {
		g.Rate += factor * x
	}
	a, err := g.Run(ctx)
	if err != nil {
		return limitsFleetRun{}, err
	}
	h := f.History()
	vs, err := h.FindViolations("WithinRateAndBurst")
	if err != nil {
		return limitsFleetRun{}, fmt.Errorf("measure: %w", err)
	}
	r := limitsFleetRun{Load: factor, Calls: a.Total.Calls, Unready: a.Total.Refused, OverAdmitted: len(vs)}
	for i, x := range limitsFleetRates {
		w := compareWithExact(h, f.Deployment.Workspaces[i].Name, x)
		l := a.Workspaces[slices.IndexFunc(a.Workspaces, hasName(f.Deployment.Workspaces[i].Name))]
		w.P50, w.P99 = l.Latency.P50, l.Latency.P99
		r.Workspaces = append(r.Workspaces, w)
	}
	return r, nil
}

// compareWithExact compares the refusals of a workspace's calls with those of one
// exact token bucket that receives the same calls.
func compareWithExact(h *history.History, name string, rate float64) limitsFleetRow {
	r := limitsFleetRow{Rate: rate}
	var cs []history.Call
	for _, c := range h.Calls {
		if c.Workspace == name {
			cs = append(cs, c)
		}
	}
	slices.SortFunc(cs, func(a, b history.Call) int { return a.Start.Compare(b.Start) })
	b := virtual.Checker{Rate: rate, Burst: limitsBurstSeconds * rate}
	for _, c := range cs {
		r.Calls++
		if !b.TryTake(c.Start.Sub(cs[0].Start)) {
			r.RefusedByExact++
		}
		if o, ok := c.Outcome.(history.Refused); ok && o.Status == http.StatusTooManyRequests {
			r.Refused++
		}
	}
	r.WrongfulRefusals = max(0, r.Refused-r.RefusedByExact)
	if n := r.Calls - r.RefusedByExact; n > 0 {
		r.Percent = 100 * float64(r.WrongfulRefusals) / float64(n)
	}
	return r
}

// hasName returns a function that reports whether a CallStats has the name.
func hasName(name string) func(load.CallStats) bool {
	return func(l load.CallStats) bool { return l.Name == name }
}
