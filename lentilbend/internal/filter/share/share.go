// Package share shares out an overloaded service among workspaces by weight.
package share

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/fair"

	"lentilbend.example/lentilbend/internal/exchange"
)

// openWeight is the weight of requests without a row: those of open routes.
const openWeight = 1.0

// Filter lets a request wait for its turn, or refuses it when the service is
// overloaded. The route and key must be known before it. Set the exported
// fields before use.
type Filter struct {
	// Gate returns the gate of a service, or nil when there is none.
	Gate func(service string) *fair.Gate

	waited atomic.Uint64
	left   atomic.Uint64
}

// waiter receives one verdict of a gate.
type waiter struct {
	verdicts chan fair.Decision
	done     func(fair.Decision)
}

// waiters holds those that no gate will call: of requests that did not wait.
var waiters = sync.Pool{New: func() any {
	w := &waiter{verdicts: make(chan fair.Decision, 1)}
	w.done = func(v fair.Decision) { w.verdicts <- v }
	return w
}}

// Filter passes x on when it may run.
func (f *Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	g := f.Gate(x.Service.Name)
	if g == nil {
		next.Serve(x)
		return
	}
	w := waiters.Get().(*waiter)
	q := request(x)
	q.Notify = w.done
	t, v := g.Enter(time.Now(), q)
	if _, ok := v.(fair.Waiting); ok {
		f.waited.Add(1)
		v = f.wait(x, g, t, w.verdicts)
	} else {
		waiters.Put(w)
	}
	switch v := v.(type) {
	case fair.Admitted:
		defer func() { g.Leave(time.Now(), t) }()
		next.Serve(x)
	case fair.Refused:
		refuse(x, v)
	case fair.Waiting:
	}
}

// wait returns what becomes of a request that waits. It is Waiting when the
// caller went away.
func (f *Filter) wait(x *exchange.Exchange, g *fair.Gate, t *fair.Ticket, done <-chan fair.Decision) fair.Decision {
	select {
	case v := <-done:
		return v
	case <-x.Request.Context().Done():
		f.left.Add(1)
		g.Leave(time.Now(), t)
		refuse(x, fair.Refused{})
		return fair.Waiting{}
	}
}

func request(x *exchange.Exchange) fair.Request {
	q := fair.Request{Weight: openWeight, Deadline: x.Deadline}
	if x.Workspace != nil {
		q.Workspace = x.Workspace.Name
	}
	if x.Row != nil {
		q.Weight = x.Row.Weight
	}
	return q
}

func refuse(x *exchange.Exchange, r fair.Refused) {
	x.Refuse(exchange.Refusal{
		Status:     http.StatusServiceUnavailable,
		Run:        exchange.NotRun,
		Cause:      exchange.CauseOverload,
		Reason:     "The service is overloaded.",
		RetryAfter: r.RetryAfter,
	})
}

var (
	waitedTotal = prometheus.NewDesc("lentilbend_share_waited_total",
		"Requests that waited for their turn.", nil, nil)
	leftTotal = prometheus.NewDesc("lentilbend_share_left_total",
		"Requests whose caller went away while they waited.", nil, nil)
)

// Describe sends the descriptions of the metrics.
func (f *Filter) Describe(c chan<- *prometheus.Desc) {
	c <- waitedTotal
	c <- leftTotal
}

// Collect sends the metrics.
func (f *Filter) Collect(c chan<- prometheus.Metric) {
	c <- prometheus.MustNewConstMetric(waitedTotal, prometheus.CounterValue, float64(f.waited.Load()))
	c <- prometheus.MustNewConstMetric(leftTotal, prometheus.CounterValue, float64(f.left.Load()))
}
