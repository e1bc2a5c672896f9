package caller

import (
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Labels of aborted requests and of refusals without a cause.
const (
	noCause      = ""
	classAborted = "aborted"
	causeOther   = "other"
)

// Metrics counts requests and refusals. Use NewMetrics.
type Metrics struct {
	requests     *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	refused      *prometheus.CounterVec
	addedLatency prometheus.Histogram

	// requestCounters and refusalCounters cache the counters by their labels,
	// which avoids the lock of the CounterVec.
	requestCounters sync.Map
	refusalCounters sync.Map
}

// requestKey identifies a counter of requests by its labels. The class is the
// first digit of the status, or 0 if the request was aborted or has no status.
type requestKey struct {
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
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lentilbend_refused_total",
			Help: "Requests refused for lack of capacity, by what was lacking and by priority, where the table sets priorities.",
		}, []string{"cause", "priority"}),
		addedLatency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lentilbend_added_seconds",
			Help: "Time from the request's header read to the answer's head passed on, without the wait for callers' bodies and backend servers.",
			Buckets: []float64{
				50e-6, 100e-6, 200e-6, 400e-6, 700e-6, 1e-3, 1.4e-3, 2e-3, 4e-3, 10e-3, 50e-3, 250e-3, 1,
			},
		}),
	}
	r.MustRegister(m.requests, m.refusals, m.refused, m.addedLatency)
	return m
}

// record counts a finished request.
func (m *Metrics) record(x *exchange.Exchange) {
	m.requestCounter(x).Inc()
	if x.Refused != nil {
		m.refusalCounter(x.Refused).Inc()
		m.countShortage(x)
	}
	if !x.HeaderSentAt.IsZero() {
		m.addedLatency.Observe(max(0, x.HeaderSentAt.Sub(x.Received)-x.WaitTime).Seconds())
	}
}

// countShortage counts a request that was refused for lack of capacity, where the table
// sets priorities.
func (m *Metrics) countShortage(x *exchange.Exchange) {
	if x.Route == nil || x.Table == nil || !x.Table.SetsPriorities() {
		return
	}
	if s := x.Refused.EffectiveShortage(); s != "" {
		m.refused.WithLabelValues(string(s), strconv.Itoa(x.Priority())).Inc()
	}
}

// requestCounter returns the counter for x.
func (m *Metrics) requestCounter(x *exchange.Exchange) prometheus.Counter {
	k := requestKey{class: x.Status / 100}
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
	if c, ok := m.requestCounters.Load(k); ok {
		return c.(prometheus.Counter)
	}
	c := m.requests.WithLabelValues(k.service, k.kind, classLabel(k.class))
	m.requestCounters.Store(k, c)
	return c
}

// classLabel returns the label for a status class, such as 2xx.
func classLabel(n int) string {
	if n == 0 {
		return classAborted
	}
	return strconv.Itoa(n) + "xx"
}

// refusalCounter returns the counter for f.
func (m *Metrics) refusalCounter(f *exchange.Refusal) prometheus.Counter {
	type refusalKey struct {
		cause exchange.Cause
		run   exchange.Run
	}
	k := refusalKey{f.Cause, f.Run}
	if c, ok := m.refusalCounters.Load(k); ok {
		return c.(prometheus.Counter)
	}
	cause := string(f.Cause)
	if cause == noCause {
		cause = causeOther
	}
	c := m.refusals.WithLabelValues(cause, string(f.Run))
	m.refusalCounters.Store(k, c)
	return c
}
