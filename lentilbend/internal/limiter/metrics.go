package limiter

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Register registers the limiter's metrics.
func (l *Limiter) Register(r prometheus.Registerer) {
	r.MustRegister(
		counter("lentilbend_limit_messages_total", "Messages of limits to other VMs.", &l.messages),
		counter("lentilbend_limit_messages_unsent_total", "Messages of limits for which there was no stream.", &l.unsent),
		counter("lentilbend_limit_pauses_total", "Times that loans and tokens were dropped after a pause.", &l.pauses),
	)
}

func counter(name, help string, n *atomic.Uint64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
		func() float64 { return float64(n.Load()) })
}
