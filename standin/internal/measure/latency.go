package measure

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/load"
)

// Parameters of the measurement "latency".
const (
	latencyRate           = 10000 // calls a second
	latencyRounds         = 2
	defaultLatencySeconds = 16
	latencyCores          = 2
	// maxAddedP99 is the bound that the users stated, in milliseconds.
	maxAddedP99 = 1.4
)

func init() {
	register(Measurement{
		Name: "latency",
		Text: "latency added by one entry VM with GOMAXPROCS=2 at 10,000 calls/s, compared with calls sent straight to the backend servers in the same run",
		Run:  measureLatency,
	})
}

// latencyResult is the result of the measurement "latency". Latencies are in
// milliseconds.
type latencyResult struct {
	CallsPerSecond float64
	Cores          int
	// Straight is the latency of calls sent straight to the backend servers,
	// Through that of calls through the entry VM, and Added the difference of
	// each percentile.
	Straight load.Latency
	Through  load.Latency
	Added    load.Latency
	// NotServed and Calls count the calls through the entry VM: those that were
	// not served, and all.
	NotServed uint64
	Calls     uint64
	Refusals  []load.Refusal `toml:",omitempty"`
	// ProcessorPerCall is the entry VM's processor time per call, in microseconds.
	ProcessorPerCall float64

	straightHistogram, throughHistogram *hdrhistogram.Histogram
}

// Targets compares the added latency with the stated bound.
func (r *latencyResult) Targets() []Target {
	return []Target{AtMost("Added.P99", "ms", maxAddedP99, r.Added.P99)}
}

// Plot returns a plot of the latency by percentile.
func (r *latencyResult) Plot() Plot {
	return Plot{
		Title: "Latency by percentile",
		X:     "nines of the percentile",
		Y:     "latency (ms)",
		Lines: []Line{percentileLine("straight", r.straightHistogram), percentileLine("through an entry VM", r.throughHistogram)},
	}
}

// percentileLine returns the latency by the number of nines of the percentile,
// from 0 (the minimum) to 4 (99.99 %), in steps of a quarter; tail is 10 to the
// power of -n.
func percentileLine(name string, h *hdrhistogram.Histogram) Line {
	l := Line{Name: name}
	for n, tail := 0.0, 1.0; n <= 4; n, tail = n+0.25, tail*0.5623413 {
		ms := float64(h.ValueAtPercentile(100*(1-tail))) / float64(time.Millisecond)
		l.Points = append(l.Points, Point{X: n, Y: ms})
	}
	return l
}

// measureLatency sends the same calls straight to the backend servers and through
// the entry VM, in alternating rounds.
func measureLatency(ctx context.Context, o Options) (any, error) {
	f := latencyFleet(o)
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	s := o.Seconds
	if s == 0 {
		s = defaultLatencySeconds
	}
	duration := time.Duration(s) * time.Second / (2 * latencyRounds)
	straight, through := latencyGenerators(f, duration)
	r := &latencyResult{CallsPerSecond: latencyRate, Cores: latencyCores}
	if err := warmUp(ctx, straight, through); err != nil {
		return nil, err
	}
	var processor time.Duration
	for i := range latencyRounds {
		straight.Seed, through.Seed = o.Seed+uint64(i), o.Seed+uint64(i)
		a, err := straight.Run(ctx)
		if err != nil {
			return nil, err
		}
		before, err := f.Entries[0].CPUTime()
		if err != nil {
			return nil, err
		}
		b, err := through.Run(ctx)
		if err != nil {
			return nil, err
		}
		after, err := f.Entries[0].CPUTime()
		if err != nil {
			return nil, err
		}
		processor += after - before
		r.add(a, b)
	}
	r.summarize(processor)
	return r, nil
}

func latencyFleet(o Options) *fleet.Fleet {
	d := fleet.SmallDeployment(1)
	d.Services = d.Services[:1]
	c := &d.Services[0]
	c.Instances = 12
	c.Slots, c.Connections = 1000, 5000
	c.ServiceTime, c.ProbeRate = 0, 0
	c.Routes = c.Routes[:1]
	return &fleet.Fleet{
		Bin:         o.Bin,
		Deployment:  d,
		Seed:        o.Seed,
		Environment: []string{"GOMAXPROCS=2"},
	}
}

func latencyGenerators(f *fleet.Fleet, duration time.Duration) (straight, through *load.Generator) {
	through, straight = f.NewGenerator(), f.NewGenerator()
	straight.Entries = nil
	for _, b := range f.Backends {
		straight.Entries = append(straight.Entries, load.Entry{Caller: b.Address})
	}
	for _, g := range []*load.Generator{straight, through} {
		g.Rate, g.Duration, g.ReadinessInterval, g.Recorder = latencyRate, duration, 0, nil
	}
	return straight, through
}

// warmUp sends calls for a second with each generator, so that connections are open
// and the Go runtime has reached a steady state.
func warmUp(ctx context.Context, gs ...*load.Generator) error {
	for _, g := range gs {
		duration := g.Duration
		g.Duration = time.Second
		if _, err := g.Run(ctx); err != nil {
			return err
		}
		g.Duration = duration
	}
	return nil
}

func (r *latencyResult) add(straight, through *load.Result) {
	if r.straightHistogram == nil {
		r.straightHistogram, r.throughHistogram = load.NewHistogram(), load.NewHistogram()
	}
	for _, h := range straight.Windows {
		r.straightHistogram.Merge(h)
	}
	for _, h := range through.Windows {
		r.throughHistogram.Merge(h)
	}
	r.Calls += through.Total.Calls
	r.NotServed += through.Total.Calls - through.Total.Served
	r.Refusals = append(r.Refusals, through.Refusals...)
}

// summarize sets the figures; processor is the entry VM's processor time.
func (r *latencyResult) summarize(processor time.Duration) {
	r.Straight, r.Through = load.Percentiles(r.straightHistogram), load.Percentiles(r.throughHistogram)
	r.Added = load.Latency{
		P50:  r.Through.P50 - r.Straight.P50,
		P90:  r.Through.P90 - r.Straight.P90,
		P99:  r.Through.P99 - r.Straight.P99,
		P999: r.Through.P999 - r.Straight.P999,
		Max:  r.Through.Max - r.Straight.Max,
	}
	r.ProcessorPerCall = float64(processor.Microseconds()) / float64(r.Calls)
}
