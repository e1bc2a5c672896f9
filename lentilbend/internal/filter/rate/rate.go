// Package rate enforces the limits of a workspace in a service, which apply to the
// whole fleet of entry VMs: the rate with its burst, and the number of running
// requests. A row of the table sets them.
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

// defaultRetryAfter is the Retry-After of refusals for which the limit gives no time.
const defaultRetryAfter = time.Second

// Limits are the fleet-wide limits; see limit.Fleet.
type Limits interface {
	// Take requests a token or permit. It calls done once, with Granted or
	// Refused.
	Take(now time.Time, k limit.Key, deadline time.Time, done func(limit.Answer))
	// Return gives back a permit.
	Return(now time.Time, k limit.Key, g limit.Granted)
}

// Filter refuses requests that exceed the limits of their row. It must come after
// the route and key filters. Requests of open routes without a workspace pass. Set
// the exported fields before use.
type Filter struct {
	Limits Limits

	// Refusals by cause.
	noRow   atomic.Uint64
	rate    atomic.Uint64
	running atomic.Uint64
	unready atomic.Uint64
}

// Filter takes a token and a permit of the row, and returns the permit when next
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

// waiter receives the answer of a limit to one call of Take.
type waiter struct {
	answers chan limit.Answer
	notify  func(limit.Answer)
}

// waiters are reused. This is safe because Take calls done once and take always
// receives the answer.
var waiters = sync.Pool{New: func() any {
	w := &waiter{answers: make(chan limit.Answer, 1)}
	w.notify = func(a limit.Answer) { w.answers <- a }
	return w
}}

// take requests a token or permit and waits for the answer.
func (f *Filter) take(x *exchange.Exchange, k limit.Key) limit.Answer {
	w := waiters.Get().(*waiter)
	defer waiters.Put(w)
	f.Limits.Take(time.Now(), k, x.Deadline, w.notify)
	return <-w.answers
}

// count increments n, or the counter of unready limits if that is the cause of the
// refusal.
func (f *Filter) count(n *atomic.Uint64, r limit.Refused) {
	if r.Unready {
		n = &f.unready
	}
	n.Add(1)
}

func refuse(x *exchange.Exchange, r limit.Refused, cause exchange.Cause, reason string) {
	if r.RetryAfter <= 0 {
		r.RetryAfter = defaultRetryAfter
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
