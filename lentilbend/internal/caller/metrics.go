package caller

import (
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Labels of requests that never reached a route or that were cut.
const (
	noLabel     = ""
	classAbort  = "aborted"
	causeOthers = "other"
)

// Metrics counts what became of requests. Use NewMetrics.
type Metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	added    prometheus.Histogram

	// series keeps the counters found, so that a request takes no lock.
	series sync.Map
	causes sync.Map
}

// seriesKey names one counter of requests.
type seriesKey struct {
	service, kind string
	class         int
}

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lentilbend_requests_total",
			Help: "Requests by service, kind and class of status; aborted means cut.",
		}, []string{"service", "kind", "class"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lentilbend_refusals_total",
			Help: "Refused requests by cause and by whether they may have run.",
		}, []string{"cause", "run"}),
		added: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lentilbend_added_seconds",
			Help: "Time from the request's header read to the answer's head passed on, without the wait for callers' bodies and backend servers.",
			Buckets: []float64{
				50e-6, 100e-6, 200e-6, 400e-6, 700e-6, 1e-3, 1.4e-3, 2e-3, 4e-3, 10e-3, 50e-3, 250e-3, 1,
			},
		}),
	}
	r.MustRegister(m.requests, m.refusals, m.added)
	return m
}

// ended counts a request.
func (m *Metrics) ended(x *exchange.Exchange) {
	m.counter(x).Inc()
	if x.Refused != nil {
		m.refusal(x.Refused).Inc()
	}
	if !x.HeaderSentAt.IsZero() {
		m.added.Observe(max(0, x.HeaderSentAt.Sub(x.Received)-x.WaitTime).Seconds())
	}
}

func (m *Metrics) counter(x *exchange.Exchange) prometheus.Counter {
	k := seriesKey{class: x.Status / 100}
	if x.Aborted || x.Status == 0 {
		k.class = 0
	}
	if x.Route != nil {
		k.service, k.kind = x.Route.Service, x.Route.Kind
	}
	if x.Service != nil {
		// A route may be split over several services.
		k.service = x.Service.Name
	}
	if c, ok := m.series.Load(k); ok {
		return c.(prometheus.Counter)
	}
	c := m.requests.WithLabelValues(k.service, k.kind, class(k.class))
	m.series.Store(k, c)
	return c
}

// class returns the label of a class of status.
func class(n int) string {
	if n == 0 {
		return classAbort
	}
	return strconv.Itoa(n) + "xx"
}

func (m *Metrics) refusal(f *exchange.Refusal) prometheus.Counter {
	type key struct {
		cause exchange.Cause
		run   exchange.Run
	}
	k := key{f.Cause, f.Run}
	if c, ok := m.causes.Load(k); ok {
		return c.(prometheus.Counter)
	}
	cause := string(f.Cause)
	if cause == noLabel {
		cause = causeOthers
	}
	c := m.refusals.WithLabelValues(cause, string(f.Run))
	m.causes.Store(k, c)
	return c
}
