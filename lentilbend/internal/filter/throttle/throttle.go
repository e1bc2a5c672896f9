// Package throttle enforces the rate of a workspace, which applies to all services
// and to the whole fleet of entry VMs. An open fleet, whose VMs the platform does
// not list, uses it instead of package rate.
package throttle

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/roster"

	"lentilbend.example/lentilbend/internal/exchange"
)

// CauseRate is the cause of the filter's refusals.
const CauseRate exchange.Cause = "rate"

// retryAfter is short because some of a workspace's requests pass at any time, so a
// retry may still be answered before the request's deadline.
const retryAfter = 60 * time.Millisecond

// Filter refuses requests beyond their workspace's rate. It must come after the key
// filter. Set the exported fields before use.
type Filter struct {
	Limits *roster.Limits
	Logger log.Logger

	refused atomic.Uint64
	// alone counts the decisions made without an answer of a coordinator.
	alone atomic.Uint64
}

// Filter passes x on if it has no workspace, or one without a limit or within its
// rate.
func (f *Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	if x.Workspace == nil || x.Workspace.Rate <= 0 {
		next.Serve(x)
		return
	}
	v := f.Limits.Take(time.Now(), roster.WorkspaceHash(x.Workspace.Name))
	if v.NoCoordinator {
		f.alone.Add(1)
	}
	if v.Granted {
		next.Serve(x)
		return
	}
	f.refused.Add(1)
	_ = level.Info(f.Logger).Log("msg", "Refused over the rate.", "id", x.ID, "workspace", x.Workspace.Name,
		"part", v.AllowedRatio, "age", v.AnswerAge, "alone", v.NoCoordinator, "table", x.Table.Revision)
	x.Refuse(exchange.Refusal{
		Status:     http.StatusTooManyRequests,
		Run:        exchange.NotRun,
		Cause:      CauseRate,
		Reason:     "The workspace is past its rate.",
		RetryAfter: retryAfter,
	})
}

var (
	refusedTotal = prometheus.NewDesc("lentilbend_throttle_refused_total",
		"Requests refused beyond their workspace's rate.", nil, nil)
	aloneTotal = prometheus.NewDesc("lentilbend_throttle_alone_total",
		"Requests judged by an equal share, since no coordinator was heard.", nil, nil)
)

// Describe sends the descriptions of the metrics.
func (f *Filter) Describe(c chan<- *prometheus.Desc) {
	c <- refusedTotal
	c <- aloneTotal
}

// Collect sends the metrics.
func (f *Filter) Collect(c chan<- prometheus.Metric) {
	c <- prometheus.MustNewConstMetric(refusedTotal, prometheus.CounterValue, float64(f.refused.Load()))
	c <- prometheus.MustNewConstMetric(aloneTotal, prometheus.CounterValue, float64(f.alone.Load()))
}
