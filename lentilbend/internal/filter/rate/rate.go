// Package rate lets a request pass as far as its row's rate, burst and limit
// over all entry VMs allow.
package rate

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/limit"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/limiter"
)

// Causes of refusals.
const (
	CauseNoRow   exchange.Cause = "no-row"
	CauseRate    exchange.Cause = "rate"
	CauseRunning exchange.Cause = "running"
	CauseUnready exchange.Cause = "limit-unready"
)

// unknownWait is the wait told to a caller when the limit cannot tell one.
const unknownWait = time.Second

// Limits are the fleet-wide limits.
type Limits interface {
	// Take calls done once, with Granted or Refused.
	Take(now time.Time, k limit.Key, deadline time.Time, done func(limit.Answer))
	// Return gives back a unit.
	Return(now time.Time, k limit.Key, g limit.Granted)
}

// Filter refuses requests beyond their row. The route and key must be known
// before it; requests of open routes without a workspace pass. Set the exported
// fields before use.
type Filter struct {
	Limits Limits

	noRow   atomic.Uint64
	rate    atomic.Uint64
	running atomic.Uint64
	unready atomic.Uint64
}

// Filter takes a token and a unit of the row, and gives the unit back when next
// has served x.
func (f *Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	if x.Workspace == nil {
		next.Serve(x)
		return
	}
	if x.Row == nil {
		f.noRow.Add(1)
		x.Refuse(exchange.Refusal{
			Status: http.StatusForbidden,
			Run:    exchange.NotRun,
			Cause:  CauseNoRow,
			Reason: "The workspace has no row in this service.",
		})
		return
	}
	k := limiter.RateKey(x.Service.Name, x.Workspace.Name)
	if r, ok := f.take(x, k).(limit.Refused); ok {
		f.count(&f.rate, r)
		refuse(x, r, CauseRate, "The workspace is past its rate in this service.")
		return
	}
	k = limiter.RunningKey(x.Service.Name, x.Workspace.Name)
	switch a := f.take(x, k).(type) {
	case limit.Refused:
		f.count(&f.running, a)
		refuse(x, a, CauseRunning, "The workspace has as many requests running as it may in this service.")
	case limit.Granted:
		defer func() { f.Limits.Return(time.Now(), k, a) }()
		next.Serve(x)
	}
}

// waiter receives one answer of a limit.
type waiter struct {
	answers chan limit.Answer
	done    func(limit.Answer)
}

// waiters are reused: a limit calls done once, and take always receives.
var waiters = sync.Pool{New: func() any {
	w := &waiter{answers: make(chan limit.Answer, 1)}
	w.done = func(a limit.Answer) { w.answers <- a }
	return w
}}

// take waits for the answer of the limit.
func (f *Filter) take(x *exchange.Exchange, k limit.Key) limit.Answer {
	w := waiters.Get().(*waiter)
	defer waiters.Put(w)
	f.Limits.Take(time.Now(), k, x.Deadline, w.done)
	return <-w.answers
}

// count counts a refusal by its cause.
func (f *Filter) count(n *atomic.Uint64, r limit.Refused) {
	if r.Unready {
		n = &f.unready
	}
	n.Add(1)
}

func refuse(x *exchange.Exchange, r limit.Refused, cause exchange.Cause, reason string) {
	if r.RetryAfter <= 0 {
		r.RetryAfter = unknownWait
	}
	status := http.StatusTooManyRequests
	if r.Unready {
		status, cause = http.StatusServiceUnavailable, CauseUnready
		reason = "No VM that holds a part of the workspace's limits could be asked."
	}
	x.Refuse(exchange.Refusal{
		Status:     status,
		Run:        exchange.NotRun,
		Cause:      cause,
		Reason:     reason,
		RetryAfter: r.RetryAfter,
	})
}

var refusedTotal = prometheus.NewDesc("lentilbend_limit_refused_total",
	"Requests refused by fleet-wide limits, by cause.", []string{"cause"}, nil)

// Describe sends the descriptions of the metrics.
func (f *Filter) Describe(c chan<- *prometheus.Desc) {
	c <- refusedTotal
}

// Collect sends the metrics.
func (f *Filter) Collect(c chan<- prometheus.Metric) {
	send := func(n *atomic.Uint64, cause exchange.Cause) {
		c <- prometheus.MustNewConstMetric(refusedTotal, prometheus.CounterValue, float64(n.Load()), string(cause))
	}
	send(&f.noRow, CauseNoRow)
	send(&f.rate, CauseRate)
	send(&f.running, CauseRunning)
	send(&f.unready, CauseUnready)
}
