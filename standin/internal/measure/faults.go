package measure

import (
	"context"
	"time"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/history"
	"lentilbend.example/standin/internal/load"
)

// Parameters of the measurement "faults".
const (
	faultsVMs            = 4
	faultsRate           = 600 // calls a second
	defaultFaultsSeconds = 28
)

func init() {
	register(Measurement{
		Name: "faults",
		Text: "calls that ran twice, ran although a refusal said that they did not, or got a wrong or an incomplete answer, while connections go silent, processes pause and restart, and servers send incomplete answers",
		Run:  measureFaults,
	})
}

// faultsResult is the result of the measurement "faults": the sums of the counts of
// all kinds of faults, and those of each kind.
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
	// Unknown is the number of calls of which the caller does not know whether
	// they ran.
	Unknown int
	// ExecutedTwice is the number of non-idempotent calls that ran more than once.
	ExecutedTwice int
	// NotRunButRan is the number of calls that ran although a refusal said that
	// they did not.
	NotRunButRan int
	// MixedUp is the number of complete answers whose ID or body digest is not that
	// of the call.
	MixedUp int
	// CutUnnoticed is the number of incomplete answers that looked complete to the
	// caller.
	CutUnnoticed int
	Refusals     []load.Refusal `toml:",omitempty"`
}

// Targets bounds all violations at zero.
func (r *faultsResult) Targets() []Target {
	return []Target{
		AtMost("ExecutedTwice", "calls", 0, float64(r.ExecutedTwice)),
		AtMost("NotRunButRan", "calls", 0, float64(r.NotRunButRan)),
		AtMost("MixedUp", "calls", 0, float64(r.MixedUp)),
		AtMost("CutUnnoticed", "calls", 0, float64(r.CutUnnoticed)),
	}
}

// faultKind is a kind of fault. Its run causes the fault repeatedly until ctx ends.
type faultKind struct {
	name string
	run  func(ctx context.Context, f *fleet.Fleet) error
}

var faultKinds = []faultKind{
	{"silent connections", silenceConnections},
	{"pauses", pauseVMs},
	{"restarts", restartVMs},
	{"cut answers", truncateAnswers},
}

// measureFaults runs each kind of fault in turn under the same load.
func measureFaults(ctx context.Context, o Options) (any, error) {
	s := o.Seconds
	if s == 0 {
		s = defaultFaultsSeconds
	}
	duration := time.Duration(s) * time.Second / time.Duration(len(faultKinds))
	r := &faultsResult{}
	for _, k := range faultKinds {
		c, err := measureFault(ctx, o, k, duration)
		if err != nil {
			return nil, err
		}
		r.add(c)
	}
	return r, nil
}

func measureFault(ctx context.Context, o Options, k faultKind, duration time.Duration) (faultCounts, error) {
	f := &fleet.Fleet{Bin: o.Bin, Deployment: fleet.SmallDeployment(faultsVMs), Seed: o.Seed}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return faultCounts{}, err
	}
	g := f.NewGenerator()
	g.Rate, g.Duration, g.Timeout = faultsRate, duration, 10*time.Second
	during, cancel := context.WithTimeout(ctx, duration)
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

// repeat calls f until ctx ends or f fails, with a pause of d before each call.
func repeat(ctx context.Context, d time.Duration, f func(i int) error) error {
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

// silenceConnections makes the open connections of one server after the other
// silent: they stay open but carry no more data.
func silenceConnections(ctx context.Context, f *fleet.Fleet) error {
	return repeat(ctx, 200*time.Millisecond, func(i int) error {
		f.Backends[i%len(f.Backends)].SetMode(backend.Blackhole{})
		return nil
	})
}

// pauseVMs pauses the process of one entry VM after the other for a second.
func pauseVMs(ctx context.Context, f *fleet.Fleet) error {
	return repeat(ctx, 200*time.Millisecond, func(i int) error {
		e := f.Entries[i%len(f.Entries)]
		if err := e.Pause(); err != nil {
			return err
		}
		time.Sleep(time.Second)
		return e.Resume()
	})
}

// restartVMs kills one entry VM after the other, restarts it and waits until it is
// ready.
func restartVMs(ctx context.Context, f *fleet.Fleet) error {
	return repeat(ctx, 500*time.Millisecond, func(i int) error {
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

// truncateAnswers makes a third of the servers abort every second answer, on
// average, halfway through the body.
func truncateAnswers(ctx context.Context, f *fleet.Fleet) error {
	for i, b := range f.Backends {
		if i%3 == 0 {
			b.SetMode(backend.Cut{Ratio: 0.5})
		}
	}
	<-ctx.Done()
	return nil
}
