package platform

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"lentilbend.example/internal/platformpb"
	"lentilbend.example/internal/timer"

	"lentilbend.example/lentilbend/internal/store"
)

const (
	// maxLongPollWait is the longest time that the platform delays its answer to
	// a long poll while there are no changes.
	maxLongPollWait = 10 * time.Second
	// longPollDelay is the time from the answer to a long poll to the next one.
	longPollDelay = 100 * time.Millisecond
	// longPollerCheckInterval is the mean time after which a VM checks again
	// whether it is to read by long polling.
	longPollerCheckInterval = time.Second
	// Bounds of the backoff after failed reads.
	readerMinBackoff = 500 * time.Millisecond
	readerMaxBackoff = 8 * time.Second
)

// Rate limit of all reads of one VM.
const (
	readRate  = 2 // per second
	readBurst = 10
)

// Reader keeps the table and the VM list up to date. A few VMs read the values
// by long polling; all VMs poll values and VM list at longer intervals. Set the
// exported fields before Run.
type Reader struct {
	Client *Client
	Store  *store.Store
	List   *ListStore
	Plan   Plan
	Logger log.Logger
	// Members returns the other entry VMs that answer.
	Members func() []netip.AddrPort
	// OnList is called with each VM list that was read and the time at which
	// the read was sent. It may be nil.
	OnList func(sent time.Time, a *platformpb.VmsAnswer)

	limiter *rate.Limiter

	mu     sync.Mutex
	status Status
}

// Status is the state of a reader.
type Status struct {
	// Watching reports that this VM reads by long polling.
	Watching bool
	// Behind reports that the platform answered with an older revision than
	// before, as after it was restored to an older state. All values are read
	// once it answers with a newer revision than the newest known.
	Behind bool
	// LastRead is the time of the last successful read.
	LastRead time.Time
	// Failures and Reads count failed reads and all reads.
	Failures uint64
	Reads    uint64
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	r.limiter = rate.NewLimiter(readRate, readBurst)
	var g sync.WaitGroup
	g.Go(func() { r.runLongPoll(ctx) })
	g.Go(func() { r.runPoll(ctx) })
	g.Wait()
	return nil
}

func (r *Reader) runLongPoll(ctx context.Context) {
	rnd := newRand()
	b := Backoff{Min: readerMinBackoff, Max: readerMaxBackoff}
	for ctx.Err() == nil {
		w := r.Plan.IsLongPoller(r.Members())
		r.setWatching(w)
		if !w {
			timer.Sleep(ctx, Jitter(longPollerCheckInterval, rnd))
			continue
		}
		if !r.updateValues(ctx, maxLongPollWait) {
			timer.Sleep(ctx, b.Next(rnd))
			continue
		}
		b.Reset()
		timer.Sleep(ctx, longPollDelay)
	}
}

func (r *Reader) runPoll(ctx context.Context) {
	rnd := newRand()
	b := Backoff{Min: readerMinBackoff, Max: readerMaxBackoff}
	for ctx.Err() == nil {
		if !r.updateList(ctx) || !r.updateValues(ctx, 0) {
			timer.Sleep(ctx, b.Next(rnd))
			continue
		}
		b.Reset()
		n := len(r.Members()) + 1
		timer.Sleep(ctx, Jitter(r.Plan.PollInterval(n), rnd))
	}
}

// updateValues reads the values changed after the newest known revision and
// reports whether the platform answered.
func (r *Reader) updateValues(ctx context.Context, wait time.Duration) bool {
	since := r.Store.NewestRevision()
	a, ok := r.readValues(ctx, since, wait)
	if !ok {
		return false
	}
	if a.GetRevision() < since {
		r.setBehind(true)
		return true
	}
	if a.GetRevision() == since {
		return true
	}
	if r.isBehind() {
		since = 0
		if a, ok = r.readValues(ctx, since, 0); !ok {
			return false
		}
		r.setBehind(a.GetRevision() <= r.Store.NewestRevision())
	}
	r.Store.ApplyPlatform(since, a)
	return true
}

// Resync reads all values. It is called when a peer holds other values of the
// same revision.
func (r *Reader) Resync(ctx context.Context) {
	if a, ok := r.readValues(ctx, 0, 0); ok {
		r.Store.ApplyPlatform(0, a)
	}
}

func (r *Reader) readValues(ctx context.Context, since uint64, wait time.Duration) (*platformpb.ValuesAnswer, bool) {
	if r.limiter.Wait(ctx) != nil {
		return nil, false
	}
	a, err := r.Client.Values(ctx, since, wait)
	return a, r.recordResult(ctx, err)
}

func (r *Reader) updateList(ctx context.Context) bool {
	if r.limiter.Wait(ctx) != nil {
		return false
	}
	sent := time.Now()
	a, err := r.Client.VMs(ctx)
	if !r.recordResult(ctx, err) {
		return false
	}
	r.List.Apply(a)
	if r.OnList != nil {
		r.OnList(sent, a)
	}
	return true
}

// recordResult records the result of a read and reports whether it succeeded. It
// does not count a read that ctx ended as a failure.
func (r *Reader) recordResult(ctx context.Context, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.status.LastRead = time.Now()
		return true
	}
	if ctx.Err() == nil {
		r.status.Failures++
		_ = level.Warn(r.Logger).Log("msg", "Platform read failed.", "err", err)
	}
	return false
}

func (r *Reader) setWatching(w bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Watching = w
}

func (r *Reader) setBehind(b bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b && !r.status.Behind {
		_ = level.Warn(r.Logger).Log("msg", "Platform answered with an older revision than before.")
	}
	r.status.Behind = b
}

func (r *Reader) isBehind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.Behind
}

// Status returns the reader's state.
func (r *Reader) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Reads = r.Client.Reads()
	return s
}

// Dump returns the status.
func (r *Reader) Dump() any {
	return r.Status()
}

// Register adds the reader's metrics.
func (r *Reader) Register(m prometheus.Registerer) {
	m.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lentilbend_platform_reads_total",
			Help: "Reads sent to the platform.",
		}, func() float64 { return float64(r.Client.Reads()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lentilbend_platform_read_failures_total",
			Help: "Reads of the platform that failed.",
		}, func() float64 { return float64(r.Status().Failures) }),
	)
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
