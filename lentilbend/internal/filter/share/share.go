// Package share divides an overloaded service among workspaces by weight. Requests
// are admitted by the service's gate; see package fair.
package share

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/admission"
	"lentilbend.example/internal/fair"

	"lentilbend.example/lentilbend/internal/exchange"
)

// defaultWeight is the weight of requests without a row: those of open routes, and
// all requests in an open fleet, whose table has no rows.
const defaultWeight = 1.0

// Filter queues a request until the gate admits it, or refuses it when the service
// is overloaded. It must come after the route and key filters. Set the exported
// fields before use.
type Filter struct {
	// Gate returns the gate of a service, or nil if there is none.
	Gate func(service string) *fair.Gate
	// Admission returns the gate that admits the requests of a service by priority
	// instead, or nil if there is none. The field may be nil.
	Admission func(service string) *admission.Gate
	// RetryAfter returns the time until the service of a refused request is expected
	// to have free capacity, or false if it is not known. The field may be nil.
	RetryAfter func(now time.Time, x *exchange.Exchange) (time.Duration, bool)

	waited      atomic.Uint64
	callersGone atomic.Uint64
}

// waiter receives the decision of a gate on one queued request.
type waiter struct {
	decisions chan fair.Decision
	notify    func(fair.Decision)
}

// waiters are reused only after requests that were not queued, since a gate may
// still notify the others.
var waiters = sync.Pool{New: func() any {
	w := &waiter{decisions: make(chan fair.Decision, 1)}
	w.notify = func(v fair.Decision) { w.decisions <- v }
	return w
}}

// Filter passes x on when the gate admits it.
func (f *Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	if f.Admission != nil {
		if g := f.Admission(x.Service.Name); g != nil && f.admit(x, g, next) {
			return
		}
	}
	g := f.Gate(x.Service.Name)
	if g == nil {
		next.Serve(x)
		return
	}
	w := waiters.Get().(*waiter)
	q := newGateRequest(x)
	q.Notify = w.notify
	t, v := g.Enter(time.Now(), q)
	if _, ok := v.(fair.Waiting); ok {
		f.waited.Add(1)
		v = f.wait(x, g, t, w.decisions)
	} else {
		waiters.Put(w)
	}
	switch v := v.(type) {
	case fair.Admitted:
		defer func() { g.Leave(time.Now(), t) }()
		next.Serve(x)
	case fair.Refused:
		if f.RetryAfter != nil {
			if d, ok := f.RetryAfter(time.Now(), x); ok {
				v.RetryAfter = d
			}
		}
		refuse(x, v)
	case fair.Waiting:
	}
}

// wait returns the gate's decision on a queued request. If the caller goes away
// first, it withdraws and refuses the request and returns Waiting.
func (f *Filter) wait(x *exchange.Exchange, g *fair.Gate, t *fair.Ticket, decisions <-chan fair.Decision) fair.Decision {
	select {
	case v := <-decisions:
		return v
	case <-x.Request.Context().Done():
		f.callersGone.Add(1)
		g.Leave(time.Now(), t)
		refuse(x, fair.Refused{})
		return fair.Waiting{}
	}
}

// newGateRequest returns the gate's description of x.
func newGateRequest(x *exchange.Exchange) fair.Request {
	q := fair.Request{Weight: defaultWeight, Deadline: x.Deadline}
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
	c <- prometheus.MustNewConstMetric(leftTotal, prometheus.CounterValue, float64(f.callersGone.Load()))
}
