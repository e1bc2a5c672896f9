package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/history"
	"lentilbend.example/standin/internal/load"
	"lentilbend.example/standin/internal/platform"
)

// Sizes of the configuration measurement.
const (
	configEntries = 16
	configEdits   = 5
	// configPoll is the time between looks at a VM's revision.
	configPoll = 20 * time.Millisecond
	// configBound is within which an edit must be in force everywhere.
	configBound = 10 * time.Second
	// configPatience is how long an edit is waited for.
	configPatience = 2 * configBound
	configRate     = 320
	// platformReads is how many reads a second the fleet may send, 2 % of what
	// the platform answers.
	platformReads = 40
)

func init() {
	register(Measurement{
		Name: "config",
		Text: "time from an edit until it is in force at 16 VMs, with the platform up, down for a third and stale for a third; last accepted call with a withdrawn key; reads",
		Run:  measureConfig,
	})
}

// configResult holds times in milliseconds.
type configResult struct {
	EntryVMs int
	Phases   []configPhase
	// LastWithdrawn is how long after its withdrawal a key was last accepted.
	LastWithdrawn float64
	WithdrawnCall int
	// ReadsPerSecond are the platform's reads over all VMs.
	ReadsPerSecond float64
}

// configPhase is what edits took in one state of the platform.
type configPhase struct {
	Platform string
	Edits    int
	// InForce are the times until an edit was in force everywhere; for one that
	// never was, the time that it was waited for.
	InForce load.Latency
	// Never counts the edits that were not in force everywhere in time; the
	// first of them ends the phase.
	Never int
}

// Targets are the stated bounds.
func (r *configResult) Targets() []Target {
	var ts []Target
	for _, p := range r.Phases {
		ts = append(ts,
			AtMost(p.Platform+".InForce.Max", "ms", float64(configBound.Milliseconds()), p.InForce.Max),
			AtMost(p.Platform+".Never", "edits", 0, float64(p.Never)))
	}
	return append(ts,
		AtMost("LastWithdrawn", "ms", float64(history.MaxWithdrawalDelay.Milliseconds()), r.LastWithdrawn),
		AtMost("ReadsPerSecond", "reads/s", platformReads, r.ReadsPerSecond))
}

func measureConfig(ctx context.Context, o Options) (any, error) {
	f := &fleet.Fleet{Bin: o.Bin, Deployment: fleet.SmallDeployment(configEntries), Seed: o.Seed, Environment: []string{"GOMAXPROCS=2"}}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	r := &configResult{EntryVMs: configEntries}
	begin, reads := time.Now(), f.Platform.Reads()
	for _, m := range []struct {
		name string
		mode platform.Mode
	}{{"Up", platform.Normal{}}, {"DownForAThird", platform.Down{}}, {"StaleForAThird", platform.Stale{}}} {
		f.Platform.SetMode(platform.Normal{})
		for i, a := range f.Platform.Addresses {
			if i%3 == 0 {
				f.Platform.SetReaderMode(a, m.mode)
			}
		}
		p, err := measurePhase(ctx, f, m.name)
		if err != nil {
			return nil, err
		}
		r.Phases = append(r.Phases, p)
	}
	r.ReadsPerSecond = float64(f.Platform.Reads()-reads) / time.Since(begin).Seconds()
	f.Platform.SetMode(platform.Normal{})
	return r, r.withdraw(ctx, f)
}

// measurePhase makes edits and waits for each to be in force everywhere.
func measurePhase(ctx context.Context, f *fleet.Fleet, name string) (configPhase, error) {
	p := configPhase{Platform: name}
	h := load.NewHistogram()
	for i := range configEdits {
		f.Deployment.Services[0].Rows[0].Rate = float64(1000 + i + 100*len(name))
		p.Edits++
		b := time.Now()
		n := f.Publish()
		in := inForceEverywhere(ctx, f, n)
		_ = h.RecordValue(int64(time.Since(b)))
		if !in {
			p.Never++
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	p.InForce = load.Percentiles(h)
	return p, ctx.Err()
}

// inForceEverywhere returns false when some VM does not have the revision in
// force in time.
func inForceEverywhere(ctx context.Context, f *fleet.Fleet, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, configPatience)
	defer cancel()
	var w sync.WaitGroup
	for _, e := range f.Entries {
		w.Go(func() {
			for ctx.Err() == nil {
				n, err := e.Metric(ctx, fleet.RevisionMetric)
				if err == nil && uint64(n) >= revision {
					return
				}
				time.Sleep(configPoll)
			}
		})
	}
	w.Wait()
	return ctx.Err() == nil
}

// withdraw takes a key out under load and finds when it last worked.
func (r *configResult) withdraw(ctx context.Context, f *fleet.Fleet) error {
	g := f.NewGenerator()
	g.Workspaces = g.Workspaces[:1]
	g.Rate, g.Duration, g.Prefix = configRate, history.MaxWithdrawalDelay+2*time.Second, "withdrawn-"
	failed := make(chan error, 1)
	var at time.Time
	go func() {
		time.Sleep(time.Second)
		at = time.Now()
		failed <- f.SetKeyWithdrawn(g.Workspaces[0].Name, true)
	}()
	if _, err := g.Run(ctx); err != nil {
		return err
	}
	if err := <-failed; err != nil {
		return fmt.Errorf("withdraw: %w", err)
	}
	for _, c := range f.History().Calls {
		if c.Open || !c.Start.After(at) {
			continue
		}
		r.WithdrawnCall++
		if c.Served() {
			r.LastWithdrawn = max(r.LastWithdrawn, float64(c.Start.Sub(at).Microseconds())/1000)
		}
	}
	return nil
}
