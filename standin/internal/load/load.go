// Package load is an open-loop load generator: it starts calls at scheduled
// times, whether or not earlier calls have been answered.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"lentilbend.example/standin/internal/history"
)

// Kind is one kind of request.
type Kind struct {
	Name string
	// Service is the service that the kind's route leads to.
	Service string `document:"optional"`
	Method  string
	Path    string
	// Share is the frequency of the kind relative to the other kinds.
	Share      float64
	Idempotent bool `document:"optional"`
	// Open is set when the route needs no key.
	Open bool `document:"optional"`
	// BodySize is the size of the request body and AnswerSize that of the
	// answer asked for, in bytes.
	BodySize   int `document:"optional"`
	AnswerSize int `document:"optional"`
}

// Workspace is one sender of calls.
type Workspace struct {
	Name string
	// KeyName names the key in a history; Name if empty.
	KeyName string `document:"optional"`
	// Key is sent with each call; none if empty.
	Key string
	// Share is the frequency of the workspace's calls relative to the other
	// workspaces.
	Share float64
}

// Entry holds the addresses of an entry VM.
type Entry struct {
	// Caller is the address for callers.
	Caller netip.AddrPort
	// Operator is the address that answers readiness checks.
	Operator netip.AddrPort `document:"optional"`
}

// Generator sends calls. Set the exported fields before Run.
type Generator struct {
	Entries    []Entry
	Kinds      []Kind
	Workspaces []Workspace
	// Rate is in calls a second. The times between calls are exponentially
	// distributed.
	Rate float64
	// Duration is how long new calls are started.
	Duration time.Duration
	// Timeout is how long a caller waits for an answer; 0 means 30 seconds.
	Timeout time.Duration
	// ReadinessInterval is the time between the readiness checks of the
	// balancer; 0 means that it uses all entry VMs without checks.
	ReadinessInterval time.Duration
	// Seed makes the schedule of the calls repeatable.
	Seed uint64
	// Prefix precedes the number of a call in its ID.
	Prefix string
	// Recorder records each call; it may be nil.
	Recorder *history.Recorder

	client   http.Client
	balancer balancer
	result   *collector
}

// arrival is one scheduled call.
type arrival struct {
	number    int
	due       time.Time
	kind      *Kind
	workspace *Workspace
}

// Run sends the calls and returns when all have ended.
func (g *Generator) Run(ctx context.Context) (*Result, error) {
	if len(g.Entries) == 0 || len(g.Kinds) == 0 || len(g.Workspaces) == 0 || !(g.Rate > 0) {
		return nil, fmt.Errorf("load: entries, kinds, workspaces and a positive rate are required")
	}
	g.prepare()
	defer g.client.CloseIdleConnections()
	balancerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.balancer.run(balancerCtx, g.ReadinessInterval)
	start := time.Now()
	g.result = newCollector(start, g.Kinds, g.Workspaces)
	var w sync.WaitGroup
	g.schedule(ctx, start, func(a arrival) {
		w.Go(func() { g.call(ctx, a) })
	})
	w.Wait()
	return g.result.finish(time.Since(start)), nil
}

// prepare sets the default timeout and creates the HTTP client and the balancer.
func (g *Generator) prepare() {
	if g.Timeout == 0 {
		g.Timeout = 30 * time.Second
	}
	g.client.Transport = &http.Transport{
		MaxIdleConnsPerHost: 4096,
		DisableCompression:  true,
	}
	g.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	g.balancer = balancer{entries: g.Entries}
}

// schedule calls send at the due time of each arrival.
func (g *Generator) schedule(ctx context.Context, start time.Time, send func(arrival)) {
	r := rand.New(rand.NewPCG(g.Seed, 1))
	k := newWeightedPicker(g.Kinds, func(k *Kind) float64 { return k.Share })
	w := newWeightedPicker(g.Workspaces, func(w *Workspace) float64 { return w.Share })
	due := start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.ExpFloat64() / g.Rate * float64(time.Second)))
		if due.Sub(start) > g.Duration || ctx.Err() != nil {
			return
		}
		sleepUntil(due)
		send(arrival{number: n, due: due, kind: k.pick(r), workspace: w.pick(r)})
	}
}

// sleepUntil uses a system call, since the kernel's timers are finer than those
// of the Go runtime.
func sleepUntil(t time.Time) {
	d := time.Until(t)
	if d <= 0 {
		return
	}
	s := unix.NsecToTimespec(int64(d))
	_ = unix.Nanosleep(&s, nil)
}

// weightedPicker draws random items with probabilities in proportion to their
// weights.
type weightedPicker[T any] struct {
	items []T
	// cumulative holds the sums of the weights up to and including each item.
	cumulative []float64
}

func newWeightedPicker[T any](items []T, weight func(*T) float64) *weightedPicker[T] {
	p := &weightedPicker[T]{items: items}
	s := 0.0
	for i := range items {
		s += weight(&items[i])
		p.cumulative = append(p.cumulative, s)
	}
	return p
}

func (p *weightedPicker[T]) pick(r *rand.Rand) *T {
	x := r.Float64() * p.cumulative[len(p.cumulative)-1]
	for i, s := range p.cumulative {
		if x < s {
			return &p.items[i]
		}
	}
	return &p.items[len(p.items)-1]
}
