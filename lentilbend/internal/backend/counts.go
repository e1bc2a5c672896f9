package backend

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/retry"

	"lentilbend.example/lentilbend/internal/pool"
)

var (
	retriesDesc = prometheus.NewDesc("lentilbend_retries_total",
		"Further attempts by how the one before ended.", []string{"after"}, nil)
	abortsDesc = prometheus.NewDesc("lentilbend_aborts_total",
		"Answers that were cut visibly, by who ended them.", []string{"by"}, nil)
)

// counters are totals since the start of the process.
type counters struct {
	notSent, shed, broken, rerouted atomic.Uint64
	truncated, callersGone          atomic.Uint64
}

// addRetry counts a retry after an attempt that ended with r.
func (c *counters) addRetry(r result) {
	switch r.(type) {
	case notSent:
		c.notSent.Add(1)
	case shed:
		c.shed.Add(1)
	case broken:
		c.broken.Add(1)
	case rerouted:
		c.rerouted.Add(1)
	}
}

// addAbort counts an exchange that was aborted with r.
func (c *counters) addAbort(r result) {
	switch r.(type) {
	case truncated:
		c.truncated.Add(1)
	case callerGone:
		c.callersGone.Add(1)
	}
}

// Describe implements prometheus.Collector.
func (*Forwarder) Describe(c chan<- *prometheus.Desc) {
	c <- retriesDesc
	c <- abortsDesc
	describeFleetBudget(c)
}

// Collect implements prometheus.Collector.
func (f *Forwarder) Collect(c chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, n *atomic.Uint64, label string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n.Load()), label)
	}
	send(retriesDesc, &f.counters.notSent, "not-sent")
	send(retriesDesc, &f.counters.shed, "shed")
	send(retriesDesc, &f.counters.broken, "broken")
	send(retriesDesc, &f.counters.rerouted, "silent")
	send(abortsDesc, &f.counters.truncated, "backend")
	send(abortsDesc, &f.counters.callersGone, "caller")
	if f.FleetBudget != nil {
		collectFleetBudget(c, f.FleetBudget.States(f.now()))
	}
}

// State is the forwarder's state as returned by Dump.
type State struct {
	Retries RetryState
	// CutAnswers counts answers that broke off after a part was passed on.
	CutAnswers uint64
	// CallersGone counts callers that went away before their answer ended.
	CallersGone uint64
	Budgets     []BudgetState
	// FleetBudgets are the budgets over all VMs together, if there is one.
	FleetBudgets []retry.State `json:",omitempty"`
	Pools        []pool.State
}

// RetryState counts retries by how the previous attempt ended. Silent counts
// those of rerouted requests.
type RetryState struct {
	NotSent, Shed, Broken, Silent uint64
}

// BudgetState is the retry budget of one service.
type BudgetState struct {
	Service string
	// Left is how many retries the budget currently allows.
	Left float64
}

// Dump returns the forwarder's State.
func (f *Forwarder) Dump() any {
	s := State{
		Retries: RetryState{
			NotSent: f.counters.notSent.Load(),
			Shed:    f.counters.shed.Load(),
			Broken:  f.counters.broken.Load(),
			Silent:  f.counters.rerouted.Load(),
		},
		CutAnswers:  f.counters.truncated.Load(),
		CallersGone: f.counters.callersGone.Load(),
		Pools:       f.Pools.States(),
	}
	f.budgets.m.Range(func(k, v any) bool {
		b := BudgetState{Service: k.(string), Left: float64(v.(*budget).balance.Load()) / retryCost}
		s.Budgets = append(s.Budgets, b)
		return true
	})
	if f.FleetBudget != nil {
		s.FleetBudgets = f.FleetBudget.States(f.now())
	}
	for _, b := range s.FleetBudgets {
		s.Budgets = append(s.Budgets, BudgetState{Service: b.Service, Left: b.Held})
	}
	slices.SortFunc(s.Budgets, func(a, b BudgetState) int { return strings.Compare(a.Service, b.Service) })
	return s
}
