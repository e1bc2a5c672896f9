package backend

import (
	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/retry"
)

// newBudgetDesc returns the description of a metric of the fleet's retry budget.
func newBudgetDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("lentilbend_retry_budget_"+name, help, append([]string{"service"}, labels...), nil)
}

var (
	budgetHeldDesc     = newBudgetDesc("held", "Unused retries that this VM may use.")
	budgetPooledDesc   = newBudgetDesc("pooled", "Unused retries that this VM holds as a coordinator.")
	budgetReturnedDesc = newBudgetDesc("returned_total", "Unused retries given to a coordinator.")
	budgetReceivedDesc = newBudgetDesc("received_total", "Retries got from a coordinator.")
	budgetGrantedDesc  = newBudgetDesc("granted_total", "Retries granted to VMs as a coordinator.")
	budgetDeniedDesc   = newBudgetDesc("denied_total", "Denied retries by reason.", "reason")
)

// describeFleetBudget describes the metrics of the fleet's retry budget.
func describeFleetBudget(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{budgetHeldDesc, budgetPooledDesc, budgetReturnedDesc, budgetReceivedDesc, budgetGrantedDesc, budgetDeniedDesc} {
		c <- d
	}
}

// collectFleetBudget sends the metrics of the fleet's retry budget.
func collectFleetBudget(c chan<- prometheus.Metric, states []retry.State) {
	send := func(d *prometheus.Desc, t prometheus.ValueType, x float64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, t, x, labels...)
	}
	for _, s := range states {
		send(budgetHeldDesc, prometheus.GaugeValue, s.Held, s.Service)
		send(budgetPooledDesc, prometheus.GaugeValue, s.Pooled, s.Service)
		send(budgetReturnedDesc, prometheus.CounterValue, s.ReturnedTotal, s.Service)
		send(budgetReceivedDesc, prometheus.CounterValue, s.ReceivedTotal, s.Service)
		send(budgetGrantedDesc, prometheus.CounterValue, s.PoolGrantedTotal, s.Service)
		send(budgetDeniedDesc, prometheus.CounterValue, float64(s.Denied.Empty), s.Service, "empty")
		send(budgetDeniedDesc, prometheus.CounterValue, float64(s.Denied.Reserve), s.Service, "reserve")
		send(budgetDeniedDesc, prometheus.CounterValue, float64(s.Denied.Hedge), s.Service, "hedge")
	}
}
