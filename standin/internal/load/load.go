// Package load generates calls at times that do not depend on the answers.
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

// Kind is one kind of request in the schedule.
type Kind struct {
	Name string
	// Service is what the kind's route leads to.
	Service string `document:"optional"`
	Method  string
	Path    string
	// Share is how often the kind comes, relative to the others.
	Share      float64
	Idempotent bool `document:"optional"`
	Open       bool `document:"optional"`
	// BodySize and AnswerSize are in bytes.
	BodySize   int `document:"optional"`
	AnswerSize int `document:"optional"`
}

// Workspace sends a share of the calls with its key.
type Workspace struct {
	Name string
	// KeyName names the key in a history; Name if empty.
	KeyName string `document:"optional"`
	Key     string
	// Share is how often the workspace calls, relative to the others.
	Share float64
}

// Entry is where callers reach an entry VM and where its readiness is read.
type Entry struct {
	Caller   netip.AddrPort
	Operator netip.AddrPort `document:"optional"`
}

// Generator sends calls. Set the exported fields before Run.
type Generator struct {
	Entries    []Entry
	Kinds      []Kind
	Workspaces []Workspace
	// Rate is in calls a second, with exponential times between them.
	Rate float64
	// For is how long calls are started.
	For time.Duration
	// Timeout is how long a caller waits for an answer.
	Timeout time.Duration
	// Balance is how often the platform's balancer looks at the readiness of
	// the entry VMs; 0 means never.
	Balance time.Duration
	Seed    uint64
	// Prefix goes before the number of a call in its identity.
	Prefix string
	// Recorder takes each call; it may be nil.
	Recorder *history.Recorder

	client   http.Client
	balancer balancer
	result   *collector
}

// arrival is one call that is due.
type arrival struct {
	number    int
	due       time.Time
	kind      *Kind
	workspace *Workspace
}

// Run sends the calls and waits for their ends.
func (g *Generator) Run(ctx context.Context) (*Result, error) {
	if len(g.Entries) == 0 || len(g.Kinds) == 0 || len(g.Workspaces) == 0 || !(g.Rate > 0) {
		return nil, fmt.Errorf("load: needs entries, kinds, workspaces and a rate")
	}
	g.prepare()
	defer g.client.CloseIdleConnections()
	b, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.balancer.run(b, g.Balance)
	start := time.Now()
	g.result = newCollector(start, g.Kinds, g.Workspaces)
	var w sync.WaitGroup
	g.arrivals(ctx, start, func(a arrival) {
		w.Go(func() { g.call(ctx, a) })
	})
	w.Wait()
	return g.result.finish(time.Since(start)), nil
}

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

// arrivals calls send at the due time of each arrival.
func (g *Generator) arrivals(ctx context.Context, start time.Time, send func(arrival)) {
	r := rand.New(rand.NewPCG(g.Seed, 1))
	k := newPicker(g.Kinds, func(k *Kind) float64 { return k.Share })
	w := newPicker(g.Workspaces, func(w *Workspace) float64 { return w.Share })
	due := start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.ExpFloat64() / g.Rate * float64(time.Second)))
		if due.Sub(start) > g.For || ctx.Err() != nil {
			return
		}
		sleepUntil(due)
		send(arrival{number: n, due: due, kind: k.pick(r), workspace: w.pick(r)})
	}
}

// sleepUntil sleeps in the kernel, whose timer is finer than the runtime's.
func sleepUntil(t time.Time) {
	d := time.Until(t)
	if d <= 0 {
		return
	}
	s := unix.NsecToTimespec(int64(d))
	_ = unix.Nanosleep(&s, nil)
}

// picker draws values by their shares.
type picker[T any] struct {
	all  []T
	sums []float64
}

func newPicker[T any](all []T, share func(*T) float64) *picker[T] {
	p := &picker[T]{all: all}
	s := 0.0
	for i := range all {
		s += share(&all[i])
		p.sums = append(p.sums, s)
	}
	return p
}

func (p *picker[T]) pick(r *rand.Rand) *T {
	x := r.Float64() * p.sums[len(p.sums)-1]
	for i, s := range p.sums {
		if x < s {
			return &p.all[i]
		}
	}
	return &p.all[len(p.all)-1]
}
