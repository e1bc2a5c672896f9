package chooser

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/admission"
	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/fair"
)

// maxServersWithMetrics bounds the number of servers that metrics are exported
// for, over all services.
const maxServersWithMetrics = 1024

var (
	chosenTotal     = serverDesc("chosen_total", "Requests given to the backend server.")
	failedTotal     = serverDesc("failures_total", "Requests that failed at the backend server.")
	shedTotal       = serverDesc("sheds_total", "Requests that the backend server did not start.")
	coldTotal       = serverDesc("cold_total", "Requests given to the backend server by its cold allowance.")
	inFlight        = serverDesc("in_flight", "Requests in flight to the backend server.")
	usable          = serverDesc("usable", "1 when the backend server gets work without bounds, else 0.")
	noServerTotal   = serviceDesc("no_server_total", "Requests for which no backend server might be chosen.")
	allSuspectTotal = serviceDesc("all_suspect_total", "Requests for which most backend servers looked bad.")
	saturatedTotal  = serviceDesc("saturated_total", "Requests that no backend server could answer in time.")
	probesTotal     = serviceDesc("probes_total", "Probes of backend servers that ended.")
	subsetSize      = serviceDesc("subset", "Backend servers that this VM uses while no other one is needed; 0 if it uses all.")
	grownTotal      = serviceDesc("grown_subsets_total", "How often the subset grew since its servers were busy or slow.")

	gateLimit    = serviceDesc("limit", "Requests that may run at once from this VM, as learned.")
	gateRunning  = serviceDesc("running", "Requests admitted and not ended.")
	gateWaiting  = serviceDesc("waiting", "Requests that wait for their turn.")
	gatePressure = serviceDesc("pressure", "1 when the backend servers are as full as they should be.")
	gateRefused  = serviceDesc("overload_refusals_total", "Requests refused because of overload.")
)

func serviceDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("lentilbend_service_"+name, help, []string{"service"}, nil)
}

func serverDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("lentilbend_server_"+name, help, []string{"service", "server"}, nil)
}

// Describe sends the descriptions of the metrics.
func (s *Services) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		chosenTotal, failedTotal, shedTotal, coldTotal, inFlight, usable, noServerTotal, allSuspectTotal, saturatedTotal,
		probesTotal, subsetSize, grownTotal,
		gateLimit, gateRunning, gateWaiting, gatePressure, gateRefused,
	} {
		c <- d
	}
}

// Collect sends the metrics of all services.
func (s *Services) Collect(c chan<- prometheus.Metric) {
	n := 0
	for _, d := range s.dumps() {
		sendCounter(c, noServerTotal, d.Choice.NoServer, d.Service)
		sendCounter(c, allSuspectTotal, d.Choice.AllSuspect, d.Service)
		sendCounter(c, saturatedTotal, d.Choice.Saturated, d.Service)
		sendCounter(c, probesTotal, d.Choice.Probes, d.Service)
		sendGauge(c, subsetSize, float64(d.Choice.Subset), d.Service)
		sendCounter(c, grownTotal, d.Choice.GrownSubsets, d.Service)
		collectGate(c, d.Service, d.Share)
		for _, v := range d.Choice.Servers {
			if n++; n <= maxServersWithMetrics {
				collectServer(c, d.Service, v)
			}
		}
	}
}

func collectGate(c chan<- prometheus.Metric, service string, d fair.Dump) {
	sendGauge(c, gateLimit, d.Limit, service)
	sendGauge(c, gateRunning, float64(d.Running), service)
	sendGauge(c, gateWaiting, float64(d.Waiting), service)
	sendGauge(c, gatePressure, d.Pressure, service)
	sendCounter(c, gateRefused, d.Refused, service)
}

func collectServer(c chan<- prometheus.Metric, service string, v choice.ServerDump) {
	ls := []string{service, v.Address.String()}
	sendCounter(c, chosenTotal, v.Chosen, ls...)
	sendCounter(c, failedTotal, v.Failures, ls...)
	sendCounter(c, shedTotal, v.Sheds, ls...)
	sendCounter(c, coldTotal, v.ColdTaken, ls...)
	sendGauge(c, inFlight, float64(v.InFlight), ls...)
	u := 0.0
	if v.Usable() {
		u = 1
	}
	sendGauge(c, usable, u, ls...)
}

func sendCounter(c chan<- prometheus.Metric, d *prometheus.Desc, n uint64, ls ...string) {
	c <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), ls...)
}

func sendGauge(c chan<- prometheus.Metric, d *prometheus.Desc, v float64, ls ...string) {
	c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, ls...)
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Service string
	Choice  choice.Dump
	Share   fair.Dump
	// Admission is the state of admission by priority, or nil.
	Admission *admission.Dump `json:",omitempty"`
}

// Dump returns the state of all services, a []ServiceDump.
func (s *Services) Dump() any {
	return s.dumps()
}

func (s *Services) dumps() []ServiceDump {
	var ds []ServiceDump
	s.each(func(n string, v *service) {
		d := ServiceDump{Service: n, Choice: v.set.Dump(), Share: v.gate.Dump()}
		if s.Admission(n) != nil {
			a := v.admission.Dump()
			d.Admission = &a
		}
		ds = append(ds, d)
	})
	slices.SortFunc(ds, func(a, b ServiceDump) int { return cmp.Compare(a.Service, b.Service) })
	return ds
}
