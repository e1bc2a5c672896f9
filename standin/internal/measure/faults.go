package measure

import (
	"context"
	"time"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/history"
	"lentilbend.example/standin/internal/load"
)

// Sizes of the faults measurement.
const (
	faultsEntries = 4
	faultsRate    = 600
	faultsSeconds = 28
)

func init() {
	register(Measurement{
		Name: "faults",
		Text: "calls that ran twice, ran though refused as not run, got a wrong or a cut answer, while connections go silent, processes pause and restart, and answers are cut",
		Run:  measureFaults,
	})
}

// faultsResult counts what must not happen, over all faults and for each.
type faultsResult struct {
	Calls         int
	NonIdempotent int
	ExecutedTwice int
	NotRunButRan  int
	MixedUp       int
	CutUnnoticed  int
	Faults        []faultCounts
}

// faultCounts are the counts during one kind of fault.
type faultCounts struct {
	Fault         string
	Calls         int
	NonIdempotent int
	Served        int
	// Unknown are calls whose fate the caller does not know.
	Unknown       int
	ExecutedTwice int
	NotRunButRan  int
	MixedUp       int
	CutUnnoticed  int
	Refusals      []load.Refusal `toml:",omitempty"`
}

// Targets are zero for all that must not happen.
func (r *faultsResult) Targets() []Target {
	return []Target{
		AtMost("ExecutedTwice", "calls", 0, float64(r.ExecutedTwice)),
		AtMost("NotRunButRan", "calls", 0, float64(r.NotRunButRan)),
		AtMost("MixedUp", "calls", 0, float64(r.MixedUp)),
		AtMost("CutUnnoticed", "calls", 0, float64(r.CutUnnoticed)),
	}
}

// faultKind brings one kind of fault about, again and again, until ctx ends.
type faultKind struct {
	name string
	run  func(ctx context.Context, f *fleet.Fleet) error
}

var faultKinds = []faultKind{
	{"silent connections", silentConnections},
	{"pauses", pauses},
	{"restarts", restarts},
	{"cut answers", cutAnswers},
}

// measureFaults runs each kind of fault in turn under the same load.
func measureFaults(ctx context.Context, o Options) (any, error) {
	s := o.Seconds
	if s == 0 {
		s = faultsSeconds
	}
	part := time.Duration(s) * time.Second / time.Duration(len(faultKinds))
	r := &faultsResult{}
	for _, k := range faultKinds {
		c, err := measureFault(ctx, o, k, part)
		if err != nil {
			return nil, err
		}
		r.add(c)
	}
	return r, nil
}

func measureFault(ctx context.Context, o Options, k faultKind, part time.Duration) (faultCounts, error) {
	f := &fleet.Fleet{Bin: o.Bin, Deployment: fleet.SmallDeployment(faultsEntries), Seed: o.Seed}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return faultCounts{}, err
	}
	g := f.NewGenerator()
	g.Rate, g.Duration, g.Timeout = faultsRate, part, 10*time.Second
	during, cancel := context.WithTimeout(ctx, part)
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- k.run(during, f) }()
	l, err := g.Run(ctx)
	if err != nil {
		return faultCounts{}, err
	}
	if err := <-failed; err != nil {
		return faultCounts{}, err
	}
	c, err := countFaults(k.name, f.History())
	c.Refusals = l.Refusals
	return c, err
}

func countFaults(name string, h *history.History) (faultCounts, error) {
	c := faultCounts{Fault: name, Calls: len(h.Calls)}
	for i := range h.Calls {
		c.add(&h.Calls[i])
	}
	twice, err := h.FindViolations("AtMostOnce")
	if err != nil {
		return c, err
	}
	ran, err := h.FindViolations("NotRunIsTrue")
	if err != nil {
		return c, err
	}
	c.ExecutedTwice, c.NotRunButRan = len(twice), len(ran)
	return c, nil
}

func (c *faultCounts) add(e *history.Call) {
	if !e.Idempotent {
		c.NonIdempotent++
	}
	if e.Served() {
		c.Served++
	}
	switch o := e.Outcome.(type) {
	case history.Answered:
		if o.Status >= 400 {
			return
		}
		if !o.Whole {
			c.CutUnnoticed++
		} else if o.ID != e.ID || o.BodyDigest != e.BodyDigest {
			c.MixedUp++
		}
	case history.Refused:
		if !o.NotRun {
			c.Unknown++
		}
	case history.Cut, history.TimedOut, history.Failed:
		c.Unknown++
	}
}

func (r *faultsResult) add(c faultCounts) {
	r.Faults = append(r.Faults, c)
	r.Calls += c.Calls
	r.NonIdempotent += c.NonIdempotent
	r.ExecutedTwice += c.ExecutedTwice
	r.NotRunButRan += c.NotRunButRan
	r.MixedUp += c.MixedUp
	r.CutUnnoticed += c.CutUnnoticed
}

// every calls f about each interval until ctx ends.
func every(ctx context.Context, d time.Duration, f func(i int) error) error {
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(d):
		}
		if err := f(i); err != nil {
			return err
		}
	}
}

// silentConnections makes the open connections of one server after the other
// silent.
func silentConnections(ctx context.Context, f *fleet.Fleet) error {
	return every(ctx, 200*time.Millisecond, func(i int) error {
		f.Backends[i%len(f.Backends)].SetMode(backend.Blackhole{})
		return nil
	})
}

// pauses stops one entry VM after the other for a second.
func pauses(ctx context.Context, f *fleet.Fleet) error {
	return every(ctx, 200*time.Millisecond, func(i int) error {
		e := f.Entries[i%len(f.Entries)]
		if err := e.Pause(); err != nil {
			return err
		}
		time.Sleep(time.Second)
		return e.Resume()
	})
}

// restarts ends one entry VM after the other without notice, and starts it
// again until it is ready.
func restarts(ctx context.Context, f *fleet.Fleet) error {
	return every(ctx, 500*time.Millisecond, func(i int) error {
		e := f.Entries[i%len(f.Entries)]
		if err := e.Kill(); err != nil {
			return err
		}
		if err := e.Start(); err != nil {
			return err
		}
		return f.WaitReady(context.WithoutCancel(ctx))
	})
}

// cutAnswers lets a third of the servers cut answers.
func cutAnswers(ctx context.Context, f *fleet.Fleet) error {
	for i, b := range f.Backends {
		if i%3 == 0 {
			b.SetMode(backend.Cut{Ratio: 0.5})
		}
	}
	<-ctx.Done()
	return nil
}
