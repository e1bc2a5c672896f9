package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/member"
)

// Register registers the membership's metrics.
func (f *Fleet) Register(r prometheus.Registerer) {
	r.MustRegister(
		f.shareGauge("lentilbend_members", "VMs counted, this one included.",
			func(s member.Share) float64 { return float64(s.Count) }),
		f.shareGauge("lentilbend_members_running", "VMs counted for limits on running requests.",
			func(s member.Share) float64 { return float64(s.RunningCount) }),
		f.shareGauge("lentilbend_share_usable", "1 while the own part of rates may be used.",
			func(s member.Share) float64 { return boolValue(s.Usable) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_members_answering", Help: "Other VMs that answer.",
		}, func() float64 { return float64(len(f.AnsweringPeers())) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lentilbend_share_losses_total", Help: "Times that the own part could no longer be used.",
		}, func() float64 { return float64(f.shareLosses.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lentilbend_pauses_total", Help: "Pauses of the process.",
		}, func() float64 { return float64(f.pauses.Load()) }),
	)
}

func (f *Fleet) shareGauge(name, help string, value func(member.Share) float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
		return value(f.Share(time.Now()))
	})
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
