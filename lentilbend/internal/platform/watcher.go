package platform

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/platformpb"
	"lentilbend.example/internal/timer"

	"lentilbend.example/lentilbend/internal/store"
)

// Times of a watcher. A change must be in force on all VMs within 2 s of its
// writing, also when all watchers lose the platform at once.
const (
	// changesWait is how long one wait for changes lasts.
	changesWait = 800 * time.Millisecond
	// changesGap lets changes that come together be read together.
	changesGap = 150 * time.Millisecond
	// coveredFor is how old the newest proof may be that a peer reads the
	// platform: one wait, a gap and the answer's way.
	coveredFor = 1250 * time.Millisecond
	// coveredCheck is the time between looks at that proof.
	coveredCheck = 100 * time.Millisecond
	// relayFor is how long a process that just began waits for the values of
	// others before it reads itself. Callers may be waiting for it.
	relayFor = 100 * time.Millisecond
)

// Bounds of the time between reads that fail. The reads of VMs that are no
// coordinators are spread so that the fleet sends about takeoverRate a second.
const (
	failedLeast  = 150 * time.Millisecond
	failedMost   = 1200 * time.Millisecond
	takeoverRate = 8.0
	// firstMost bounds the wait before a first read, since a VM may be the only
	// one that nobody tells.
	firstMost = 300 * time.Millisecond
)

// Source reads a platform that keeps all values under one revision.
type Source interface {
	// All reads every value.
	All(ctx context.Context) (*platformpb.ValuesAnswer, error)
	// Changes waits for the changes after a revision.
	Changes(ctx context.Context, after uint64, wait time.Duration) (*platformpb.ValuesAnswer, error)
	// Calls returns how many calls were made.
	Calls() uint64
}

// Watcher keeps the table up to date on a platform that lists no VMs. A few VMs
// wait for changes; the other VMs learn them from these, and read
// themselves only while no one that they hear can. Set the exported fields
// before Run.
type Watcher struct {
	Source Source
	Store  *store.Store
	Logger log.Logger
	// Forgotten is the error of Changes that asks for a read of all values.
	Forgotten func(error) bool
	// Reads tells whether this VM is one of those that are to read.
	Reads func() bool
	// OnRead is called after each read that succeeded.
	OnRead func()
	// Covered returns since when a peer's reads are known to hold here; false
	// when there is no such peer.
	Covered func() (time.Duration, bool)
	// Began is when the process began.
	Began time.Time
	// VMs returns how many VMs are heard, this one included.
	VMs func() int

	cursor  uint64
	backoff Backoff
	// forgotten says that the history after cursor is gone.
	forgotten bool
	lost      bool
	lostAt    time.Time

	read     atomic.Pointer[time.Time]
	reading  atomic.Bool
	failures atomic.Uint64
}

// Run reads until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	rnd := newRand()
	w.backoff = Backoff{Least: failedLeast, Most: failedMost}
	covered := true
	for ctx.Err() == nil {
		if w.covered() {
			covered = true
			w.reading.Store(false)
			timer.Sleep(ctx, coveredCheck/2)
			continue
		}
		if covered && !w.Reads() && w.Store.Table() != nil {
			// One of many is soon enough the first, and covers the others.
			covered = false
			timer.Sleep(ctx, min(w.spread(rnd), firstMost))
			continue
		}
		covered = false
		ok, changed := w.step(ctx)
		if ok {
			w.backoff.Reset()
			w.OnRead()
		}
		if changed {
			timer.Sleep(ctx, changesGap)
		}
		if ok {
			continue
		}
		timer.Sleep(ctx, w.pause(rnd))
	}
	return nil
}

// covered tells whether this VM may leave the reading to others.
func (w *Watcher) covered() bool {
	if w.Store.Table() == nil {
		// Peers may bring the values, which costs the platform nothing.
		return !w.Reads() && time.Since(w.Began) < relayFor
	}
	if w.Reads() {
		return false
	}
	d, ok := w.Covered()
	return ok && d < coveredFor
}

// pause returns how long to wait after a failed read.
func (w *Watcher) pause(rnd *rand.Rand) time.Duration {
	d := w.backoff.Next(rnd)
	if w.Reads() || w.Store.Table() == nil {
		return d
	}
	return d + w.spread(rnd)
}

// spread returns a random time within which the VMs that are heard send
// takeoverRate reads a second.
func (w *Watcher) spread(rnd *rand.Rand) time.Duration {
	return time.Duration(rnd.Float64() * float64(w.VMs()) / takeoverRate * float64(time.Second))
}

// step makes one read and tells whether it succeeded and brought anything.
func (w *Watcher) step(ctx context.Context) (ok, changed bool) {
	w.reading.Store(true)
	sent := time.Now()
	var a *platformpb.ValuesAnswer
	var err error
	w.cursor = max(w.cursor, w.Store.Accepted().Revision)
	whole := w.cursor == 0 || w.forgotten
	if whole {
		a, err = w.Source.All(ctx)
	} else {
		a, err = w.Source.Changes(ctx, w.cursor, changesWait)
	}
	if err != nil {
		w.failed(ctx, err)
		return false, false
	}
	w.regained(sent)
	if whole {
		w.Store.ApplyPlatform(0, a)
	} else if len(a.GetValues()) > 0 {
		w.Store.ApplyChanges(a)
	}
	w.forgotten = w.forgotten && !whole
	w.cursor = max(w.cursor, a.GetRevision())
	w.read.Store(&sent)
	if !whole {
		now := time.Now()
		w.read.Store(&now)
	}
	return true, len(a.GetValues()) > 0
}

func (w *Watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.failures.Add(1)
	if w.Forgotten(err) {
		_ = level.Info(w.Logger).Log("msg", "Platform dropped its history, all values are read.", "revision", w.cursor)
		w.forgotten = true
		return
	}
	if !w.lost {
		w.lost, w.lostAt = true, time.Now()
		_ = level.Warn(w.Logger).Log("msg", "Platform lost.", "revision", w.cursor, "err", err)
	}
	w.reading.Store(false)
}

func (w *Watcher) regained(sent time.Time) {
	if !w.lost {
		return
	}
	w.lost = false
	_ = level.Info(w.Logger).Log("msg", "Platform is back.", "after", sent.Sub(w.lostAt), "revision", w.cursor)
}

// ReadAge returns how long ago this VM last read the platform to its newest
// revision; false when it does not read.
func (w *Watcher) ReadAge(now time.Time) (time.Duration, bool) {
	t := w.read.Load()
	if t == nil || !w.reading.Load() {
		return 0, false
	}
	return now.Sub(*t), true
}

// WatcherState is what a watcher shows of itself.
type WatcherState struct {
	// Reading says that this VM reads the platform itself.
	Reading  bool
	LastRead time.Time
	Calls    uint64
	Failures uint64
}

// Dump returns the watcher's state.
func (w *Watcher) Dump() any {
	s := WatcherState{Reading: w.reading.Load(), Calls: w.Source.Calls(), Failures: w.failures.Load()}
	if t := w.read.Load(); t != nil {
		s.LastRead = *t
	}
	return s
}

// Register adds the watcher's metrics.
func (w *Watcher) Register(m prometheus.Registerer) {
	m.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lentilbend_platform_reads_total",
			Help: "Reads sent to the platform.",
		}, func() float64 { return float64(w.Source.Calls()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lentilbend_platform_read_failures_total",
			Help: "Reads of the platform that failed.",
		}, func() float64 { return float64(w.failures.Load()) }),
	)
}
