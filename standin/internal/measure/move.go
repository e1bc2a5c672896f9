package measure

import (
	"context"
	"time"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/load"
)

// Parameters of the measurement "move".
const (
	// moveLoad is the arrival rate as a fraction of the capacity.
	moveLoad = 0.6
	// minServedRatio is the fraction of calls that must be served in each second.
	minServedRatio  = 0.99
	moveServiceTime = 40 * time.Millisecond
	// moveGracePeriod is the time from taking a data centre out of service after
	// which it must not get new requests.
	moveGracePeriod    = 3 * time.Second
	defaultMoveSeconds = 17
)

// moveColdStart is the cold start of the servers of the returning data centre.
var moveColdStart = backend.Cold{Rate: 20, Burst: 4, Duration: 4 * time.Second}

func init() {
	register(Measurement{
		Name: "move",
		Text: "calls served while a data centre is taken out of service and returns with cold servers, at 60 % load and the users' present sizes",
		Run:  measureMove,
	})
}

// moveResult is the result of the measurement "move", with one move for each
// deployment.
type moveResult struct {
	Moves []move
}

// move is the result of taking one data centre out of service and back in.
type move struct {
	Deployment string
	// Rate is the rate of calls during the whole run, in calls a second.
	Rate  float64
	Calls uint64
	// Served is the fraction of calls that were served.
	Served float64
	// NewWorkAfter3s is the number of requests that started in the data centre more
	// than moveGracePeriod (3 s) after it was taken out.
	NewWorkAfter3s int
	// LastNewWork is the time from taking the data centre out until the last
	// request started there, in seconds.
	LastNewWork float64
	// LongestBelow99 is the greatest number of consecutive seconds in each of
	// which less than 99 % of the calls of one kind or workspace were served.
	// WorstOf is the name of this kind or workspace, WorstServed its counts.
	LongestBelow99 int
	WorstOf        string
	WorstServed    load.CallStats
	// ColdBeyond is the number of requests beyond what the returning servers bear.
	ColdBeyond uint64
	// Before, During and After are the latencies before, while and after the data
	// centre was out of service.
	Before, During, After load.Latency
}

// Targets requires for each deployment that no request starts in the data centre
// later than moveGracePeriod after it was taken out.
func (r *moveResult) Targets() []Target {
	var ts []Target
	for _, m := range r.Moves {
		ts = append(ts, AtMost(m.Deployment+".NewWorkAfter3s", "calls", 0, float64(m.NewWorkAfter3s)))
	}
	return ts
}

func measureMove(ctx context.Context, o Options) (any, error) {
	r := &moveResult{}
	for _, d := range []struct {
		name       string
		deployment fleet.Deployment
	}{{"Association", fleet.AssociationDeployment()}, {"Sennik", fleet.SennikDeployment()}} {
		for i := range d.deployment.Services {
			d.deployment.Services[i].ServiceTime = moveServiceTime
		}
		m, err := measureOneMove(ctx, o, d.deployment)
		if err != nil {
			return nil, err
		}
		m.Deployment = d.name
		r.Moves = append(r.Moves, *m)
	}
	return r, nil
}

func measureOneMove(ctx context.Context, o Options, d fleet.Deployment) (*move, error) {
	f := &fleet.Fleet{Bin: o.Bin, Deployment: d, Seed: o.Seed, Environment: []string{"GOMAXPROCS=2"}}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	s := o.Seconds
	if s == 0 {
		s = defaultMoveSeconds
	}
	total := time.Duration(s) * time.Second
	g := f.NewGenerator()
	g.Rate, g.Duration, g.Timeout = moveLoad*d.Capacity(), total, 10*time.Second
	c := d.DataCentres[1]
	times := make(chan [2]time.Time, 1)
	failed := make(chan error, 1)
	go func() {
		t, err := takeOutAndReturn(f, c, total)
		times <- t
		failed <- err
	}()
	l, err := g.Run(ctx)
	if err != nil {
		return nil, err
	}
	t := <-times
	if err := <-failed; err != nil {
		return nil, err
	}
	m := &move{Rate: g.Rate, Calls: l.Total.Calls, Served: l.Total.ServedRatio()}
	m.countNewWork(f, c, t)
	m.findWorst(l)
	m.summarizeLatencies(l, t)
	return m, nil
}

// takeOutAndReturn takes a data centre out of service after a quarter of the total
// time and back in after two thirds, with cold servers. It returns the two times.
func takeOutAndReturn(f *fleet.Fleet, centre string, total time.Duration) ([2]time.Time, error) {
	var t [2]time.Time
	time.Sleep(total / 4)
	t[0] = time.Now()
	if err := f.SetDataCentreOut(centre, true); err != nil {
		return t, err
	}
	time.Sleep(total*2/3 - total/4)
	for _, b := range f.Backends {
		if b.DataCentre == centre {
			b.SetMode(moveColdStart)
		}
	}
	t[1] = time.Now()
	return t, f.SetDataCentreOut(centre, false)
}

// countNewWork counts the requests that started in the data centre while it was out
// of service, and those beyond what its cold servers bear. t holds the times of
// taking it out and back in.
func (m *move) countNewWork(f *fleet.Fleet, centre string, t [2]time.Time) {
	h := f.History()
	addresses := map[string]bool{}
	for _, b := range f.Backends {
		if b.DataCentre == centre {
			addresses[b.Address.String()] = true
			m.ColdBeyond += b.Counts().ColdBeyond
		}
	}
	for _, e := range h.Executions {
		if addresses[e.Server.String()] && e.Start.After(t[0]) && e.Start.Before(t[1]) {
			m.LastNewWork = max(m.LastNewWork, e.Start.Sub(t[0]).Seconds())
			if e.Start.After(t[0].Add(moveGracePeriod)) {
				m.NewWorkAfter3s++
			}
		}
	}
}

// findWorst finds the kind or workspace that was below minServedRatio for the longest
// time.
func (m *move) findWorst(l *load.Result) {
	for _, n := range append(append([]load.CallStats(nil), l.Kinds...), l.Workspaces...) {
		if d := longestBelowTarget(l, n.Name); m.WorstOf == "" || d > m.LongestBelow99 {
			m.LongestBelow99, m.WorstOf, m.WorstServed = d, n.Name, n
		}
	}
}

// longestBelowTarget returns the greatest number of consecutive windows in each of
// which less than minServedRatio of the calls of a kind or workspace were served.
func longestBelowTarget(l *load.Result, name string) int {
	var sums []load.WindowCount
	for _, c := range l.Cells {
		if c.Kind != name && c.Workspace != name {
			continue
		}
		for i, w := range c.Windows {
			if i == len(sums) {
				sums = append(sums, load.WindowCount{})
			}
			sums[i].Calls += w.Calls
			sums[i].Served += w.Served
		}
	}
	longest, run := 0, 0
	for _, s := range sums {
		run++
		if float64(s.Served) >= minServedRatio*float64(s.Calls) {
			run = 0
		}
		longest = max(longest, run)
	}
	return longest
}

// summarizeLatencies summarizes the latencies before, while and after the data
// centre was out of service. The windows in which it was taken out and put back
// count as during.
func (m *move) summarizeLatencies(l *load.Result, t [2]time.Time) {
	b, d, a := load.NewHistogram(), load.NewHistogram(), load.NewHistogram()
	for i, h := range l.Windows {
		w := l.Start.Add(time.Duration(i) * load.WindowLength)
		switch {
		case w.Before(t[0].Add(-load.WindowLength)):
			b.Merge(h)
		case w.Before(t[1]):
			d.Merge(h)
		default:
			a.Merge(h)
		}
	}
	m.Before, m.During, m.After = load.Percentiles(b), load.Percentiles(d), load.Percentiles(a)
}
