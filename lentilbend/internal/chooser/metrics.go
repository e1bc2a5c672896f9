package chooser

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/choice"
)

// serversMost bounds the servers that metrics are given for.
const serversMost = 1024

var (
	chosenTotal = describe("chosen_total", "Requests given to the backend server.")
	failedTotal = describe("failures_total", "Requests that failed at the backend server.")
	shedTotal   = describe("sheds_total", "Requests that the backend server did not start.")
	coldTotal   = describe("cold_total", "Requests given to the backend server by its cold allowance.")
	inFlight    = describe("in_flight", "Requests in flight to the backend server.")
	usable      = describe("usable", "1 when the backend server gets work without bounds, else 0.")
	noServer    = prometheus.NewDesc("lentilbend_service_no_server_total",
		"Requests for which no backend server might be chosen.", []string{"service"}, nil)
	allSuspect = prometheus.NewDesc("lentilbend_service_all_suspect_total",
		"Requests for which every backend server looked bad.", []string{"service"}, nil)
)

func describe(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("lentilbend_server_"+name, help, []string{"service", "server"}, nil)
}

// Describe sends the descriptions of the metrics.
func (s *Services) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		chosenTotal, failedTotal, shedTotal, coldTotal, inFlight, usable, noServer, allSuspect,
	} {
		c <- d
	}
}

// Collect sends the metrics of all services.
func (s *Services) Collect(c chan<- prometheus.Metric) {
	n := 0
	for _, d := range s.dumps() {
		count(c, noServer, d.NoServer, d.Service)
		count(c, allSuspect, d.AllSuspect, d.Service)
		for _, v := range d.Servers {
			if n++; n <= serversMost {
				collect(c, d.Service, v)
			}
		}
	}
}

func collect(c chan<- prometheus.Metric, service string, v choice.ServerDump) {
	ls := []string{service, v.Address.String()}
	count(c, chosenTotal, v.Chosen, ls...)
	count(c, failedTotal, v.Failures, ls...)
	count(c, shedTotal, v.Sheds, ls...)
	count(c, coldTotal, v.ColdTaken, ls...)
	gauge(c, inFlight, float64(v.InFlight), ls...)
	u := 0.0
	if v.Usable() {
		u = 1
	}
	gauge(c, usable, u, ls...)
}

func count(c chan<- prometheus.Metric, d *prometheus.Desc, n uint64, ls ...string) {
	c <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), ls...)
}

func gauge(c chan<- prometheus.Metric, d *prometheus.Desc, v float64, ls ...string) {
	c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, ls...)
}

// Dump returns the state of all services.
func (s *Services) Dump() any {
	return s.dumps()
}

func (s *Services) dumps() []choice.Dump {
	var ds []choice.Dump
	s.each(func(_ string, v *service) { ds = append(ds, v.set.Dump()) })
	slices.SortFunc(ds, func(a, b choice.Dump) int { return cmp.Compare(a.Service, b.Service) })
	return ds
}
