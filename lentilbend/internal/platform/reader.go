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

// Times of the reads.
const (
	watchWait  = 10 * time.Second
	watchGap   = 100 * time.Millisecond
	watchCheck = time.Second
	leastRetry = 500 * time.Millisecond
	mostRetry  = 8 * time.Second
)

// Budget of the reads of one VM, over all its loops.
const (
	readsPerSecond = 2
	readsAtOnce    = 10
)

// Reader keeps the table and the VM list up to date. A few VMs watch; all poll
// at long intervals. Set the exported fields before Run.
type Reader struct {
	Client *Client
	Store  *store.Store
	List   *List
	Plan   Plan
	Logger log.Logger
	// Members returns the entry VMs that answer.
	Members func() []netip.AddrPort
	// OnList is called with each list read and when the read was sent.
	OnList func(sent time.Time, a *platformpb.VmsAnswer)

	budget *rate.Limiter

	mu     sync.Mutex
	status Status
}

// Status is what a reader knows of the platform.
type Status struct {
	Watching bool
	// Behind says that the platform answered an older revision than one that
	// it gave before, so that its next new revision is read whole.
	Behind bool
	// LastRead is when a read last succeeded.
	LastRead time.Time
	Failures uint64
	Reads    uint64
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	r.budget = rate.NewLimiter(readsPerSecond, readsAtOnce)
	var g sync.WaitGroup
	g.Go(func() { r.watch(ctx) })
	g.Go(func() { r.poll(ctx) })
	g.Wait()
	return nil
}

func (r *Reader) watch(ctx context.Context) {
	rnd := newRand()
	b := Backoff{Least: leastRetry, Most: mostRetry}
	for ctx.Err() == nil {
		w := r.Plan.Watches(r.Members())
		r.setWatching(w)
		if !w {
			timer.Sleep(ctx, Jitter(watchCheck, rnd))
			continue
		}
		if !r.values(ctx, watchWait) {
			timer.Sleep(ctx, b.Next(rnd))
			continue
		}
		b.Reset()
		timer.Sleep(ctx, watchGap)
	}
}

func (r *Reader) poll(ctx context.Context) {
	rnd := newRand()
	b := Backoff{Least: leastRetry, Most: mostRetry}
	for ctx.Err() == nil {
		if !r.vms(ctx) || !r.values(ctx, 0) {
			timer.Sleep(ctx, b.Next(rnd))
			continue
		}
		b.Reset()
		n := len(r.Members()) + 1
		timer.Sleep(ctx, Jitter(r.Plan.PollInterval(n), rnd))
	}
}

// values reads what is new and tells whether the platform answered.
func (r *Reader) values(ctx context.Context, wait time.Duration) bool {
	since := r.Store.Newest()
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
		r.setBehind(a.GetRevision() <= r.Store.Newest())
	}
	r.Store.ApplyPlatform(since, a)
	return true
}

// Resync reads all values, after a peer showed others at the same revision.
func (r *Reader) Resync(ctx context.Context) {
	if a, ok := r.readValues(ctx, 0, 0); ok {
		r.Store.ApplyPlatform(0, a)
	}
}

func (r *Reader) readValues(ctx context.Context, since uint64, wait time.Duration) (*platformpb.ValuesAnswer, bool) {
	if r.budget.Wait(ctx) != nil {
		return nil, false
	}
	a, err := r.Client.Values(ctx, since, wait)
	return a, r.note(ctx, err)
}

func (r *Reader) vms(ctx context.Context) bool {
	if r.budget.Wait(ctx) != nil {
		return false
	}
	sent := time.Now()
	a, err := r.Client.VMs(ctx)
	if !r.note(ctx, err) {
		return false
	}
	r.List.Apply(a)
	if r.OnList != nil {
		r.OnList(sent, a)
	}
	return true
}

// note records how a read ended.
func (r *Reader) note(ctx context.Context, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.status.LastRead = time.Now()
		return true
	}
	if ctx.Err() == nil {
		r.status.Failures++
		_ = level.Warn(r.Logger).Log("msg", "Read failed.", "err", err)
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
		_ = level.Warn(r.Logger).Log("msg", "Platform answers an older revision.")
	}
	r.status.Behind = b
}

func (r *Reader) isBehind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.Behind
}

// Status returns what the reader knows of the platform.
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
