package backend

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/lentilbend/internal/pool"
)

// Descriptions of the metrics.
var (
	retriesDesc = prometheus.NewDesc("lentilbend_retries_total",
		"Further attempts by how the one before ended.", []string{"after"}, nil)
	abortsDesc = prometheus.NewDesc("lentilbend_aborts_total",
		"Answers that were cut visibly, by who ended them.", []string{"by"}, nil)
)

// counts are totals since the start.
type counts struct {
	notSent, shed, broken, abandoned atomic.Uint64
	cuts, callersGone                atomic.Uint64
}

func (c *counts) retried(r result) {
	switch r.(type) {
	case notSent:
		c.notSent.Add(1)
	case shed:
		c.shed.Add(1)
	case broken:
		c.broken.Add(1)
	case abandoned:
		c.abandoned.Add(1)
	}
}

func (c *counts) aborted(r result) {
	switch r.(type) {
	case cut:
		c.cuts.Add(1)
	case gone:
		c.callersGone.Add(1)
	}
}

// Describe sends the descriptions of the metrics.
func (*Forwarder) Describe(c chan<- *prometheus.Desc) {
	c <- retriesDesc
	c <- abortsDesc
}

// Collect sends the current values.
func (f *Forwarder) Collect(c chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, n *atomic.Uint64, label string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n.Load()), label)
	}
	send(retriesDesc, &f.counts.notSent, "not-sent")
	send(retriesDesc, &f.counts.shed, "shed")
	send(retriesDesc, &f.counts.broken, "broken")
	send(retriesDesc, &f.counts.abandoned, "silent")
	send(abortsDesc, &f.counts.cuts, "backend")
	send(abortsDesc, &f.counts.callersGone, "caller")
}

// State is what the forwarder shows of itself.
type State struct {
	Retries RetryState
	// CutAnswers broke off after a part was passed on.
	CutAnswers uint64
	// CallersGone went away before their answer ended.
	CallersGone uint64
	Budgets     []BudgetState
	Pools       []pool.State
}

// RetryState counts further attempts by how the one before ended.
type RetryState struct {
	NotSent, Shed, Broken, Silent uint64
}

// BudgetState is the retry budget of one service.
type BudgetState struct {
	Service string
	// Left is how many retries may follow at once.
	Left float64
}

// Dump returns the forwarder's State.
func (f *Forwarder) Dump() any {
	s := State{
		Retries: RetryState{
			NotSent: f.counts.notSent.Load(),
			Shed:    f.counts.shed.Load(),
			Broken:  f.counts.broken.Load(),
			Silent:  f.counts.abandoned.Load(),
		},
		CutAnswers:  f.counts.cuts.Load(),
		CallersGone: f.counts.callersGone.Load(),
		Pools:       f.Pools.States(),
	}
	f.budgets.m.Range(func(k, v any) bool {
		b := BudgetState{Service: k.(string), Left: float64(v.(*budget).left.Load()) / retryCost}
		s.Budgets = append(s.Budgets, b)
		return true
	})
	slices.SortFunc(s.Budgets, func(a, b BudgetState) int { return strings.Compare(a.Service, b.Service) })
	return s
}
