package choice

import (
	"net/netip"
	"time"
)

// Dump is the state of a Set.
type Dump struct {
	Service string
	// UsualLatency is the median, LateLatency the 90th percentile.
	UsualLatency time.Duration
	LateLatency  time.Duration
	// MeanRequests is the mean number of requests at a server, by the load
	// reports.
	MeanRequests float64
	// NoServer counts requests for which no server was available.
	NoServer uint64
	// LeastBad counts requests given to a suspect server since no other one could
	// get them.
	LeastBad uint64
	// AllSuspect counts evaluations of the servers in which the best one, or
	// more than half of them, were ejected or otherwise avoided.
	AllSuspect uint64
	// Saturated counts requests that no server could answer in time.
	Saturated uint64
	// NewsDropped counts state updates that were dropped since too many were
	// pending.
	NewsDropped uint64
	// Probes counts the probes that ended.
	Probes uint64
	// Subset is the number of servers in the subset that this VM uses, 0 if it uses
	// all. GrownSubsets counts how often the subset grew.
	Subset       int
	GrownSubsets uint64
	Servers      []ServerDump
}

// ServerDump is the state of one server in a Set.
type ServerDump struct {
	Address    netip.AddrPort
	DataCentre string
	// Distance is how much longer answers take than from the nearest data
	// centre.
	Distance time.Duration
	Out      bool
	Leaving  bool
	Missing  bool
	// InSubset means that this VM uses the server while no other one is needed.
	InSubset bool
	Draining bool
	// Suspended means that the server is ejected after failures.
	Suspended bool
	// Phase is Warm, Doubt (suspect), Cold or Ramp (slow start). Part is the
	// fraction of an equal share of the requests in slow start, else 1.
	Phase    string
	Part     float64
	InFlight int
	// Slowness is the recent latency relative to the expected one; 1 when
	// answers take as long as expected.
	Slowness float64
	// Bias is added to the reported number of requests.
	Bias float64
	// Requests is the number of requests that the server reported, ReportAge
	// the age of that report.
	Requests  int
	ReportAge time.Duration
	Chosen    uint64
	// ColdTaken counts requests sent with a token of the cold allowance.
	ColdTaken uint64
	Sheds     uint64
	Failures  uint64
	// PauseLeft is how much longer the server wants no requests from this VM.
	PauseLeft time.Duration
}

// Usable reports whether the server gets requests without restriction.
func (d ServerDump) Usable() bool {
	return !d.Out && !d.Leaving && !d.Draining && !d.Suspended && d.PauseLeft == 0 && d.Phase == phaseWarm.String()
}

// Dump returns the state.
func (s *Set) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{
		Service:      s.Service,
		UsualLatency: s.baseline.median,
		LateLatency:  s.baseline.p90,
		MeanRequests: s.meanRequests.value,
		NoServer:     s.noServer,
		LeastBad:     s.leastBad,
		AllSuspect:   s.allSuspect,
		Saturated:    s.saturated,
		NewsDropped:  s.updates.dropped,
		Probes:       s.probes,
		GrownSubsets: s.subset.grown,
	}
	for _, v := range s.servers {
		d.Servers = append(d.Servers, s.dumpServer(v))
	}
	if s.probesInTurn() {
		d.Subset = s.subset.size()
		for _, i := range s.subset.order[:d.Subset] {
			d.Servers[i].InSubset = true
		}
	}
	return d
}

func (s *Set) dumpServer(v *server) ServerDump {
	d := ServerDump{
		Address:    v.address,
		DataCentre: v.dataCentre.name,
		Distance:   v.dataCentre.distance,
		Out:        v.out,
		Leaving:    v.leaving || v.notices.leaving,
		Missing:    v.missing,
		Draining:   v.draining(s.now),
		Suspended:  v.health.ejected(s.now),
		Phase:      v.coldStart.phase.String(),
		Part:       1,
		InFlight:   v.calls.count,
		Slowness:   v.slowness,
		Bias:       v.bias,
		Requests:   v.report.Running + v.report.Queued,
		Chosen:     v.chosen,
		ColdTaken:  v.coldTaken,
		Sheds:      v.sheds,
		Failures:   v.failures,
		PauseLeft:  max(0, v.notices.pausedUntil.Sub(s.now)),
	}
	if v.coldStart.phase == phaseSlowStart {
		d.Part = v.coldStart.fraction
	}
	if !v.reportedAt.IsZero() {
		d.ReportAge = s.now.Sub(v.reportedAt)
	}
	return d
}

// String returns the phase's name in dumps.
func (p phase) String() string {
	switch p {
	case phaseWarm:
		return "Warm"
	case phaseSuspect:
		return "Doubt"
	case phaseCold:
		return "Cold"
	case phaseSlowStart:
		return "Ramp"
	}
	return "Unknown"
}
