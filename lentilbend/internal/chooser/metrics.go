package chooser

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/fair"
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
	noServer    = describeService("no_server_total", "Requests for which no backend server might be chosen.")
	allSuspect  = describeService("all_suspect_total", "Requests for which most backend servers looked bad.")

	shareLimit    = describeService("limit", "Requests that may run at once from this VM, as learned.")
	shareRunning  = describeService("running", "Requests admitted and not ended.")
	shareWaiting  = describeService("waiting", "Requests that wait for their turn.")
	sharePressure = describeService("pressure", "1 when the backend servers are as full as they should be.")
	shareRefused  = describeService("overload_refusals_total", "Requests refused because of overload.")
)

func describeService(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("lentilbend_service_"+name, help, []string{"service"}, nil)
}

func describe(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("lentilbend_server_"+name, help, []string{"service", "server"}, nil)
}

// Describe sends the descriptions of the metrics.
func (s *Services) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		chosenTotal, failedTotal, shedTotal, coldTotal, inFlight, usable, noServer, allSuspect,
		shareLimit, shareRunning, shareWaiting, sharePressure, shareRefused,
	} {
		c <- d
	}
}

// Collect sends the metrics of all services.
func (s *Services) Collect(c chan<- prometheus.Metric) {
	n := 0
	for _, d := range s.dumps() {
		count(c, noServer, d.Choice.NoServer, d.Service)
		count(c, allSuspect, d.Choice.AllSuspect, d.Service)
		share(c, d.Service, d.Share)
		for _, v := range d.Choice.Servers {
			if n++; n <= serversMost {
				collect(c, d.Service, v)
			}
		}
	}
}

func share(c chan<- prometheus.Metric, service string, d fair.Dump) {
	gauge(c, shareLimit, d.Limit, service)
	gauge(c, shareRunning, float64(d.Running), service)
	gauge(c, shareWaiting, float64(d.Waiting), service)
	gauge(c, sharePressure, d.Pressure, service)
	count(c, shareRefused, d.Refused, service)
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

// ServiceDump is the state of one service.
type ServiceDump struct {
	Service string
	Choice  choice.Dump
	Share   fair.Dump
}

// Dump returns the state of all services, a []ServiceDump.
func (s *Services) Dump() any {
	return s.dumps()
}

func (s *Services) dumps() []ServiceDump {
	var ds []ServiceDump
	s.each(func(n string, v *service) {
		ds = append(ds, ServiceDump{Service: n, Choice: v.set.Dump(), Share: v.gate.Dump()})
	})
	slices.SortFunc(ds, func(a, b ServiceDump) int { return cmp.Compare(a.Service, b.Service) })
	return ds
}
