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

// Parameters of the measurement "config".
const (
	configVMs            = 16
	editsPerPhase        = 5
	revisionPollInterval = 20 * time.Millisecond
	// maxPropagationTime is the stated bound on the time until an edit is in
	// force on all VMs.
	maxPropagationTime = 10 * time.Second
	// editTimeout is the time after which an edit counts as never in force.
	editTimeout = 2 * maxPropagationTime
	// withdrawalCallRate is in calls a second.
	withdrawalCallRate = 320
	// maxPlatformReadRate is the stated bound on the reads a second of all VMs
	// together: 2 % of what the platform can answer.
	maxPlatformReadRate = 40
)

func init() {
	register(Measurement{
		Name: "config",
		Text: "time from an edit of the table until it is in force on all 16 VMs, with the platform up, and down or stale for a third of the VMs; last call served with a withdrawn key; platform reads",
		Run:  measureConfig,
	})
}

// configResult is the result of the measurement "config". Times are in
// milliseconds.
type configResult struct {
	EntryVMs int
	Phases   []configPhase
	// LastWithdrawn is the time from the withdrawal of a key until the start of
	// the last call that was served with it.
	LastWithdrawn float64
	// WithdrawnCall is the number of calls with the key after its withdrawal.
	WithdrawnCall int
	// ReadsPerSecond is the rate of platform reads by all VMs together.
	ReadsPerSecond float64
}

// configPhase is the result for one state of the platform.
type configPhase struct {
	Platform string
	Edits    int
	// InForce summarizes the times until an edit was in force on all VMs. For an
	// edit counted by Never, it includes the time until the wait ended.
	InForce load.Latency
	// Never is the number of edits that were not in force on all VMs within
	// editTimeout; the first of them ends the phase.
	Never int
}

// Targets returns the bounds that the users stated.
func (r *configResult) Targets() []Target {
	var ts []Target
	for _, p := range r.Phases {
		ts = append(ts,
			AtMost(p.Platform+".InForce.Max", "ms", float64(maxPropagationTime.Milliseconds()), p.InForce.Max),
			AtMost(p.Platform+".Never", "edits", 0, float64(p.Never)))
	}
	return append(ts,
		AtMost("LastWithdrawn", "ms", float64(history.MaxWithdrawalDelay.Milliseconds()), r.LastWithdrawn),
		AtMost("ReadsPerSecond", "reads/s", maxPlatformReadRate, r.ReadsPerSecond))
}

func measureConfig(ctx context.Context, o Options) (any, error) {
	f := &fleet.Fleet{Bin: o.Bin, Deployment: fleet.SmallDeployment(configVMs), Seed: o.Seed, Environment: []string{"GOMAXPROCS=2"}}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	r := &configResult{EntryVMs: configVMs}
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
		p, err := measureConfigPhase(ctx, f, m.name)
		if err != nil {
			return nil, err
		}
		r.Phases = append(r.Phases, p)
	}
	r.ReadsPerSecond = float64(f.Platform.Reads()-reads) / time.Since(begin).Seconds()
	f.Platform.SetMode(platform.Normal{})
	return r, r.measureWithdrawal(ctx, f)
}

// measureConfigPhase publishes edits and waits for each to be in force on all VMs.
func measureConfigPhase(ctx context.Context, f *fleet.Fleet, name string) (configPhase, error) {
	p := configPhase{Platform: name}
	h := load.NewHistogram()
	for i := range editsPerPhase {
		// The rate differs from that of all earlier edits.
		f.Deployment.Services[0].Rows[0].Rate = float64(1000 + i + 100*len(name))
		p.Edits++
		b := time.Now()
		n := f.Publish()
		inForce := waitInForce(ctx, f, n)
		_ = h.RecordValue(int64(time.Since(b)))
		if !inForce {
			p.Never++
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	p.InForce = load.Percentiles(h)
	return p, ctx.Err()
}

// waitInForce waits until the revision is in force on all VMs. It returns false
// if this takes longer than editTimeout.
func waitInForce(ctx context.Context, f *fleet.Fleet, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, e := range f.Entries {
		w.Go(func() {
			for ctx.Err() == nil {
				n, err := e.Metric(ctx, fleet.RevisionMetric)
				if err == nil && uint64(n) >= revision {
					return
				}
				time.Sleep(revisionPollInterval)
			}
		})
	}
	w.Wait()
	return ctx.Err() == nil
}

// measureWithdrawal withdraws a workspace's key under load and finds the last call
// that was still served with it.
func (r *configResult) measureWithdrawal(ctx context.Context, f *fleet.Fleet) error {
	g := f.NewGenerator()
	g.Workspaces = g.Workspaces[:1]
	g.Rate, g.Duration, g.Prefix = withdrawalCallRate, history.MaxWithdrawalDelay+2*time.Second, "withdrawn-"
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
