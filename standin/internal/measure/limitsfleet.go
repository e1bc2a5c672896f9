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

// Sizes of the measurement with processes.
const (
	limitsEntries     = 16
	limitsCalmSeconds = 15
	limitsHighSeconds = 6
	limitsSettle      = 6 * time.Second
)

// limitsFleetRates are the rates of the workspaces, in requests a second.
var limitsFleetRates = []float64{4, 40, 400}

func init() {
	register(Measurement{
		Name: "limits-fleet",
		Text: "fleet-wide rates over 16 entry VMs as processes on loopback; one exact bucket replays the same arrivals",
		Run:  measureLimitsFleet,
	})
}

// limitsFleetResult holds one run for each load.
type limitsFleetResult struct {
	Runs []limitsFleetRun
}

// limitsFleetRun is what the fleet did at one load.
type limitsFleetRun struct {
	Load  float64
	Calls uint64
	// OverAdmitted counts intervals in which backend servers ran more of a
	// workspace's requests than its rate and burst.
	OverAdmitted int
	Workspaces   []limitsFleetRow
	Unready      uint64
}

// limitsFleetRow is one workspace. Percent is of the requests that the exact
// bucket admits.
type limitsFleetRow struct {
	Rate             float64
	Calls            int
	Refused          int
	RefusedByExact   int
	WrongfulRefusals int
	Percent          float64
	// P50 and P99 are of the served calls, in milliseconds.
	P50, P99 float64
}

// Targets compares with the stated bounds.
func (r *limitsFleetResult) Targets() []Target {
	over, worst := 0, 0.0
	for _, u := range r.Runs {
		over += u.OverAdmitted
		for _, w := range u.Workspaces {
			if u.Load == wrongfulLoad {
				worst = max(worst, w.Percent)
			}
		}
	}
	return []Target{
		AtMost("OverAdmitted", "intervals", 0, float64(over)),
		AtMost("worst workspace at 90 %", "%", wrongfulBound, worst),
	}
}

func measureLimitsFleet(ctx context.Context, o Options) (any, error) {
	r := &limitsFleetResult{}
	for _, l := range []float64{wrongfulLoad, 3} {
		u, err := limitsFleetOnce(ctx, o, l)
		if err != nil {
			return nil, err
		}
		r.Runs = append(r.Runs, u)
	}
	return r, nil
}

func limitsDeployment() fleet.Deployment {
	d := fleet.SmallDeployment(limitsEntries)
	d.Services = d.Services[:1]
	s := &d.Services[0]
	s.Routes = s.Routes[:1]
	s.Slots, s.ServiceTime = 100, time.Millisecond
	d.Workspaces, s.Rows = nil, nil
	d.AddWorkspaces(len(limitsFleetRates), func(*fleet.Service, float64) fleet.Row { return fleet.Row{Weight: 1} })
	for i, x := range limitsFleetRates {
		d.Workspaces[i].Share = x
		r := &s.Rows[i]
		r.Rate, r.Burst, r.Limit = x, limitsBurst*x, 1000
	}
	return d
}

func limitsFleetOnce(ctx context.Context, o Options, factor float64) (limitsFleetRun, error) {
	f := &fleet.Fleet{Bin: o.Bin, Deployment: limitsDeployment(), Seed: o.Seed, Environment: []string{"GOMAXPROCS=2"}}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return limitsFleetRun{}, err
	}
	if err := f.WaitServing(ctx); err != nil {
		return limitsFleetRun{}, err
	}
	time.Sleep(limitsSettle)
	g := f.NewGenerator()
	g.ReadinessInterval = 0
	g.Duration = limitsCalmSeconds * time.Second
	if factor > 1 {
		g.Duration = limitsHighSeconds * time.Second
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
		w := limitsReplay(h, f.Deployment.Workspaces[i].Name, x)
		l := a.Workspaces[slices.IndexFunc(a.Workspaces, named(f.Deployment.Workspaces[i].Name))]
		w.P50, w.P99 = l.Latency.P50, l.Latency.P99
		r.Workspaces = append(r.Workspaces, w)
	}
	return r, nil
}

// limitsReplay runs the calls of a workspace through one exact bucket.
func limitsReplay(h *history.History, name string, rate float64) limitsFleetRow {
	r := limitsFleetRow{Rate: rate}
	var cs []history.Call
	for _, c := range h.Calls {
		if c.Workspace == name {
			cs = append(cs, c)
		}
	}
	slices.SortFunc(cs, func(a, b history.Call) int { return a.Start.Compare(b.Start) })
	b := virtual.Checker{Rate: rate, Burst: limitsBurst * rate}
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

// named returns whether a line is that of a workspace.
func named(name string) func(load.CallStats) bool {
	return func(l load.CallStats) bool { return l.Name == name }
}
