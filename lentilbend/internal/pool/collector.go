package pool

import "github.com/prometheus/client_golang/prometheus"

// Descriptions of the pools' metrics.
var (
	connectionsDesc = prometheus.NewDesc("lentilbend_backend_connections",
		"Connections to backend servers by state.", []string{"state"}, nil)
	connectionEventsDesc = prometheus.NewDesc("lentilbend_backend_connection_events_total",
		"What happened to connections to backend servers.", []string{"event"}, nil)
)

// Collector exports the totals over all pools of a set as Prometheus metrics.
// Set the exported fields before use.
type Collector struct {
	Set *Set
}

// Describe sends the descriptions.
func (*Collector) Describe(c chan<- *prometheus.Desc) {
	c <- connectionsDesc
	c <- connectionEventsDesc
}

// Collect sends the current values.
func (l *Collector) Collect(c chan<- prometheus.Metric) {
	var t State
	for _, s := range l.Set.States() {
		t.add(s)
	}
	gauge := func(n int, state string) {
		c <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(n), state)
	}
	gauge(t.Idle, "idle")
	gauge(t.Busy, "busy")
	gauge(t.Opening, "opening")
	gauge(t.InDoubt, "doubtful")
	count := func(n uint64, event string) {
		c <- prometheus.MustNewConstMetric(connectionEventsDesc, prometheus.CounterValue, float64(n), event)
	}
	d := l.Set.removedPoolCounts()
	count(t.Opened+d.opened, "opened")
	count(t.OpenFailed+d.openFailed, "open-failed")
	count(t.ClosedIdle+d.closedIdle, "closed-idle")
	count(t.Silent+d.silent, "silent")
	count(t.Condemned+d.suspectsClosed, "condemned")
	count(t.Lifted+d.suspectsRestored, "lifted")
}

// add adds the numbers of o.
func (s *State) add(o State) {
	s.Idle += o.Idle
	s.Busy += o.Busy
	s.Opening += o.Opening
	s.InDoubt += o.InDoubt
	s.Opened += o.Opened
	s.OpenFailed += o.OpenFailed
	s.ClosedIdle += o.ClosedIdle
	s.Silent += o.Silent
	s.Condemned += o.Condemned
	s.Lifted += o.Lifted
}
