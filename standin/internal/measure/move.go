package measure

import (
	"context"
	"time"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/load"
)

// Sizes of the move measurement.
const (
	moveLoad        = 0.6
	moveServed      = 0.99
	moveServiceTime = 40 * time.Millisecond
	// moveGrace is after how long a data centre that is out gets no new work.
	moveGrace   = 3 * time.Second
	moveSeconds = 17
)

// moveCold is what the returning servers bear; they come back cold.
var moveCold = backend.Cold{Rate: 20, Burst: 4, Duration: 4 * time.Second}

func init() {
	register(Measurement{
		Name: "move",
		Text: "service while a data centre is taken out and comes back cold, at 60 % load and today's sizes",
		Run:  measureMove,
	})
}

// moveResult holds one move for each deployment.
type moveResult struct {
	Moves []move
}

// move is what one data centre's leaving and return did.
type move struct {
	Deployment string
	// Rate is in calls a second, all over the run.
	Rate   float64
	Calls  uint64
	Served float64
	// NewWorkAfter3s counts the calls that began in the data centre later than
	// three seconds after it was taken out.
	NewWorkAfter3s int
	// LastNewWork is when the last call began there, in seconds after the
	// data centre was taken out.
	LastNewWork float64
	// LongestBelow99 is the longest time, in seconds, in which less than 99 %
	// of the calls of one kind or workspace were served.
	LongestBelow99 int
	WorstOf        string
	WorstServed    load.CallStats
	// ColdBeyond counts calls beyond what the returning servers bear.
	ColdBeyond            uint64
	Before, During, After load.Latency
}

// Targets are those for both deployments.
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
		s = moveSeconds
	}
	total := time.Duration(s) * time.Second
	g := f.NewGenerator()
	g.Rate, g.Duration, g.Timeout = moveLoad*d.Capacity(), total, 10*time.Second
	c := d.DataCentres[1]
	times := make(chan [2]time.Time, 1)
	failed := make(chan error, 1)
	go func() {
		t, err := moveCentre(f, c, total)
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
	m.work(f, c, t)
	m.below(l)
	m.latencies(l, t)
	return m, nil
}

// moveCentre takes a data centre out after a quarter of the time and back in
// after two thirds, and returns when.
func moveCentre(f *fleet.Fleet, centre string, total time.Duration) ([2]time.Time, error) {
	var t [2]time.Time
	time.Sleep(total / 4)
	t[0] = time.Now()
	if err := f.SetDataCentreOut(centre, true); err != nil {
		return t, err
	}
	time.Sleep(total*2/3 - total/4)
	for _, b := range f.Backends {
		if b.DataCentre == centre {
			b.SetMode(moveCold)
		}
	}
	t[1] = time.Now()
	return t, f.SetDataCentreOut(centre, false)
}

// work looks at what began in the data centre while it was out.
func (m *move) work(f *fleet.Fleet, centre string, t [2]time.Time) {
	h := f.History()
	inside := map[string]bool{}
	for _, b := range f.Backends {
		if b.DataCentre == centre {
			inside[b.Address.String()] = true
			m.ColdBeyond += b.Counts().ColdBeyond
		}
	}
	for _, e := range h.Executions {
		if inside[e.Server.String()] && e.Start.After(t[0]) && e.Start.Before(t[1]) {
			m.LastNewWork = max(m.LastNewWork, e.Start.Sub(t[0]).Seconds())
			if e.Start.After(t[0].Add(moveGrace)) {
				m.NewWorkAfter3s++
			}
		}
	}
}

// below finds the kind or workspace that was below its share for longest.
func (m *move) below(l *load.Result) {
	for _, n := range append(append([]load.CallStats(nil), l.Kinds...), l.Workspaces...) {
		if d := longestBelow(l, n.Name); m.WorstOf == "" || d > m.LongestBelow99 {
			m.LongestBelow99, m.WorstOf, m.WorstServed = d, n.Name, n
		}
	}
}

func longestBelow(l *load.Result, name string) int {
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
		if float64(s.Served) >= moveServed*float64(s.Calls) {
			run = 0
		}
		longest = max(longest, run)
	}
	return longest
}

// latencies sums up the time before, while and after the data centre was out.
func (m *move) latencies(l *load.Result, t [2]time.Time) {
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
