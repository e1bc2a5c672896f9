package platform

import (
	"context"
	"errors"
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

// These times are chosen so that a change is in force on all VMs within 2 s of
// being written, also when all designated readers lose the platform at once.
const (
	// maxChangesWait is the longest time that one call of Source.Changes waits.
	maxChangesWait = 800 * time.Millisecond
	// changeBatchDelay is the delay after a read that returned changes, so that
	// changes written shortly after each other are read together. Each change is
	// sent to all VMs, so that it grows by changeBatchDelayPerVM for each VM beyond
	// the first smallFleetSize, up to maxChangeBatchDelay.
	changeBatchDelay      = 150 * time.Millisecond
	changeBatchDelayPerVM = time.Millisecond
	smallFleetSize        = 100
	maxChangeBatchDelay   = 350 * time.Millisecond
	// maxPeerReadAge bounds the age of the newest known read of a peer; above
	// it, this VM reads the platform itself. It is the sum of maxChangesWait,
	// changeBatchDelay and the time for the peer's announcement of the read to
	// arrive. After a longer batch delay, the next call waits for less.
	maxPeerReadAge = 1250 * time.Millisecond
	// peerReadCheckPeriod is twice the interval between checks of that age.
	peerReadCheckPeriod = 100 * time.Millisecond
)

const (
	// Bounds of the backoff after failed reads.
	watcherMinBackoff = 150 * time.Millisecond
	watcherMaxBackoff = 1200 * time.Millisecond
	// takeoverReadRate is the target rate, per second, of the reads of all VMs
	// that are not designated readers while no peer is known to read. The reads are
	// spread over takeoverPeriod accordingly.
	takeoverReadRate = 8.0
	// maxFirstReadDelay bounds the random delay before such a VM's first read after
	// it relied on peers, since it may be the only one that receives no
	// announcements.
	maxFirstReadDelay = 300 * time.Millisecond
)

// Source reads a platform that counts one revision over all values, and may count eras.
type Source interface {
	// All reads every value.
	All(ctx context.Context) (*platformpb.ValuesAnswer, error)
	// Changes returns the changes after a revision. While there are none, it
	// waits for up to wait.
	Changes(ctx context.Context, after uint64, wait time.Duration) (*platformpb.ValuesAnswer, error)
	// Calls returns the number of calls made.
	Calls() uint64
}

// Watcher keeps the table up to date on a platform that has no VM list. A few
// VMs, the designated readers, wait for changes. The other VMs receive the
// changes from peers, and read the platform themselves only while no peer is
// known to read it. Set the exported fields before Run.
type Watcher struct {
	Source Source
	Store  *store.Store
	Logger log.Logger
	// IsHistoryDropped reports whether an error of Source.Changes means that the
	// platform no longer has the changes after the revision asked for, so that
	// all values must be read.
	IsHistoryDropped func(error) bool
	// IsReader reports whether this VM is a designated reader.
	IsReader func() bool
	// OnRead is called after each successful read.
	OnRead func()
	// PeerReadAge returns how long ago a peer last read the platform to a
	// revision that is accepted here; false when no such read is known.
	PeerReadAge func() (time.Duration, bool)
	// ProcessStart is the time at which the process started. For InitialWait after
	// it, a VM that is not a designated reader waits for values from peers before it
	// reads the platform itself.
	ProcessStart time.Time
	InitialWait  time.Duration
	// AloneWait replaces InitialWait, if it is set, while HasPeer returns false: then
	// no peer can send a table.
	AloneWait time.Duration
	HasPeer   func() bool
	// LiveVMCount returns the number of live entry VMs, this one included.
	LiveVMCount func() int

	// cursor is the version up to which the platform was read.
	cursor  store.Version
	backoff Backoff
	// batched says that the last read returned changes, so that a batch delay preceded
	// the next one.
	batched bool
	// readsAll reports that the next read is one of all values, since the platform no
	// longer has the changes after cursor or is of another era.
	readsAll         bool
	unreachable      bool
	unreachableSince time.Time

	lastRead  atomic.Pointer[time.Time]
	reading   atomic.Bool
	failures  atomic.Uint64
	takeovers atomic.Uint64
	pauses    atomic.Uint64
}

// Run reads until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	rnd := newRand()
	w.backoff = Backoff{Min: watcherMinBackoff, Max: watcherMaxBackoff}
	reliedOnPeers := true
	for ctx.Err() == nil {
		if w.canRelyOnPeers() {
			reliedOnPeers = true
			w.reading.Store(false)
			timer.Sleep(ctx, w.checkPeriod())
			continue
		}
		if reliedOnPeers && !w.IsReader() && w.Store.Table() != nil {
			// The VM with the shortest random delay reads first and announces
			// its read, so that most others need not read.
			reliedOnPeers = false
			timer.Sleep(ctx, min(time.Duration(rnd.Float64()*float64(w.takeoverPeriod())), maxFirstReadDelay))
			if !w.canRelyOnPeers() {
				w.recordTakeover()
			}
			continue
		}
		reliedOnPeers = false
		ok, changed := w.readOnce(ctx)
		if ok {
			w.backoff.Reset()
			w.OnRead()
		}
		if changed {
			timer.Sleep(ctx, w.batchDelay())
		}
		if ok {
			continue
		}
		reliedOnPeers = w.waitToRetry(ctx, rnd)
	}
	return nil
}

// batchDelay returns the delay after a read that returned changes.
func (w *Watcher) batchDelay() time.Duration {
	n := max(0, w.LiveVMCount()-smallFleetSize)
	return min(changeBatchDelay+time.Duration(n)*changeBatchDelayPerVM, maxChangeBatchDelay)
}

// checkPeriod returns the time between checks of whether this VM can rely on peers.
func (w *Watcher) checkPeriod() time.Duration {
	if w.Store.Table() == nil && w.AloneWait > 0 {
		return min(w.AloneWait, peerReadCheckPeriod) / 2
	}
	return peerReadCheckPeriod / 2
}

// changesWait returns how long the next call of Source.Changes waits.
func (w *Watcher) changesWait() time.Duration {
	if w.batched {
		return maxChangesWait + changeBatchDelay - w.batchDelay()
	}
	return maxChangesWait
}

// canRelyOnPeers reports whether this VM need not read the platform itself.
func (w *Watcher) canRelyOnPeers() bool {
	if w.IsReader() {
		return false
	}
	if w.Store.Table() == nil && time.Since(w.ProcessStart) < w.initialWait() {
		return true
	}
	d, ok := w.PeerReadAge()
	return ok && d < maxPeerReadAge
}

// initialWait returns how long after the start of the process this VM waits for its first
// table from peers.
func (w *Watcher) initialWait() time.Duration {
	if w.AloneWait > 0 && !w.HasPeer() {
		return w.AloneWait
	}
	return w.InitialWait
}

// waitToRetry waits after a failed read until the backoff has passed, and unless
// this VM is a designated reader also its random part of takeoverPeriod. Both are
// evaluated anew during the wait: this VM may become a reader or lose its peers. It
// returns early, and true, once this VM can rely on peers.
func (w *Watcher) waitToRetry(ctx context.Context, rnd *rand.Rand) bool {
	failedAt := time.Now()
	backoff := w.backoff.Next(rnd)
	part := rnd.Float64()
	for timer.Sleep(ctx, peerReadCheckPeriod/2) {
		if w.canRelyOnPeers() {
			return true
		}
		d := backoff
		if !w.IsReader() && w.Store.Table() != nil {
			d += time.Duration(part * float64(w.takeoverPeriod()))
		}
		if time.Since(failedAt) >= d {
			break
		}
	}
	return false
}

// takeoverPeriod returns the time in which all live VMs send one read each at
// takeoverReadRate.
func (w *Watcher) takeoverPeriod() time.Duration {
	return time.Duration(float64(w.LiveVMCount()) / takeoverReadRate * float64(time.Second))
}

// readOnce reads the platform once. It reports whether the read succeeded and
// whether it returned values.
func (w *Watcher) readOnce(ctx context.Context) (ok, changed bool) {
	w.reading.Store(true)
	sent, pauses := time.Now(), w.pauses.Load()
	w.advance(w.Store.Accepted())
	a, full, err := w.read(ctx)
	if err == nil && !full && a.GetEra() != w.cursor.Era {
		// The changes are not complete, since the cursor is of another era.
		w.readsAll = true
		sent = time.Now()
		a, full, err = w.read(ctx)
	}
	if err == nil && a.GetEra() < max(w.cursor.Era, w.Store.Newest().Era) {
		err = errOldEra
	}
	if err != nil {
		w.recordFailure(ctx, err)
		return false, false
	}
	w.recordRecovery(sent)
	if full {
		w.Store.ApplyPlatform(0, a)
	} else if len(a.GetValues()) > 0 {
		w.Store.ApplyChanges(a)
	}
	w.readsAll = w.readsAll && !full
	w.advance(store.Version{Era: a.GetEra(), Revision: a.GetRevision()})
	asOf := sent
	if !full {
		// Changes may have waited before it answered. A longer time was spent under
		// way.
		asOf = sent.Add(min(time.Since(sent), w.changesWait()))
	}
	if pauses == w.pauses.Load() {
		w.lastRead.Store(&asOf)
	}
	w.batched = len(a.GetValues()) > 0 || full && a.GetEra() > 0
	return true, w.batched
}

// errOldEra means that the platform answered with values from before it was restored.
var errOldEra = errors.New("platform: answer is of an earlier era")

// read reads the changes after the cursor, or all values if it must. It reads all values
// at once if the platform does not have the cursor's revision, as after a restore.
func (w *Watcher) read(ctx context.Context) (a *platformpb.ValuesAnswer, full bool, err error) {
	if w.cursor.Revision != 0 && !w.readsAll {
		a, err = w.Source.Changes(ctx, w.cursor.Revision, w.changesWait())
		if err == nil || !w.IsHistoryDropped(err) {
			return a, false, err
		}
		_ = level.Info(w.Logger).Log("msg", "Platform no longer has the changes after the last read; reading all values.", "revision", w.cursor.Revision, "era", w.cursor.Era)
		w.readsAll = true
	}
	a, err = w.Source.All(ctx)
	return a, true, err
}

// advance sets the cursor to a later version.
func (w *Watcher) advance(v store.Version) {
	if v.Compare(w.cursor) > 0 {
		w.cursor = v
	}
}

// recordTakeover records that this VM starts to read since no peer is known to.
func (w *Watcher) recordTakeover() {
	w.takeovers.Add(1)
	age, known := w.PeerReadAge()
	_ = level.Debug(w.Logger).Log("msg", "No peer is known to read the platform; reading it.", "revision", w.Store.Accepted().Revision, "known", known, "age", age)
}

func (w *Watcher) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.failures.Add(1)
	if !w.unreachable {
		w.unreachable, w.unreachableSince = true, time.Now()
		_ = level.Warn(w.Logger).Log("msg", "Platform lost.", "revision", w.cursor.Revision, "err", err)
	}
	w.reading.Store(false)
}

func (w *Watcher) recordRecovery(sent time.Time) {
	if !w.unreachable {
		return
	}
	w.unreachable = false
	_ = level.Info(w.Logger).Log("msg", "Platform is back.", "after", sent.Sub(w.unreachableSince), "revision", w.cursor.Revision)
}

// ReadAge returns how long before now this VM last read the platform to its
// newest revision; false while it does not read the platform itself.
func (w *Watcher) ReadAge(now time.Time) (time.Duration, bool) {
	t := w.lastRead.Load()
	if t == nil || !w.reading.Load() {
		return 0, false
	}
	return now.Sub(*t), true
}

// DiscardReads forgets the last read and that in progress after a pause of this VM,
// since its clock may not have counted the pause.
func (w *Watcher) DiscardReads() {
	w.pauses.Add(1)
	w.lastRead.Store(nil)
}

// WatcherState is the dump of a watcher.
type WatcherState struct {
	// Reading reports that this VM reads the platform itself.
	Reading bool
	// LastRead is the time as of which the last successful read is valid.
	LastRead time.Time
	// Era is that of the newest values known.
	Era uint64
	// Calls and Failures count the calls of Source and the failed reads.
	Calls    uint64
	Failures uint64
	// Takeovers counts how often this VM started to read because no peer was known
	// to.
	Takeovers uint64
}

// Dump returns the watcher's state.
func (w *Watcher) Dump() any {
	s := WatcherState{Reading: w.reading.Load(), Era: w.Store.Newest().Era, Calls: w.Source.Calls(), Failures: w.failures.Load(), Takeovers: w.takeovers.Load()}
	if t := w.lastRead.Load(); t != nil {
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
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_platform_era",
			Help: "Era of the newest values known; it increases when the platform is restored from a copy.",
		}, func() float64 { return float64(w.Store.Newest().Era) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lentilbend_platform_takeovers_total",
			Help: "Times that this VM started to read the platform because no peer was known to.",
		}, func() float64 { return float64(w.takeovers.Load()) }),
	)
}
