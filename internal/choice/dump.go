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
	// MeanRequests is the usual number of requests at a server.
	MeanRequests float64
	// NoServer counts requests without any server.
	NoServer uint64
	// AllSuspect counts requests for which most or all servers looked bad.
	AllSuspect  uint64
	NewsDropped uint64
	Servers     []ServerDump
}

// ServerDump is the state of one server in a Set.
type ServerDump struct {
	Address    netip.AddrPort
	DataCentre string
	Distance   time.Duration
	Out        bool
	Leaving    bool
	Missing    bool
	Draining   bool
	Suspended  bool
	// Phase is Warm, Doubt, Cold or Ramp; Part is the part in the ramp.
	Phase    string
	Part     float64
	InFlight int
	// Slowness is 1 when answers take as long as usual.
	Slowness float64
	// Bias is added to the number that the server reports.
	Bias float64
	// Requests is the number that the server reported, ReportAge its age.
	Requests  int
	ReportAge time.Duration
	Chosen    uint64
	ColdTaken uint64
	Sheds     uint64
	Failures  uint64
}

// Usable says whether the server gets work without bounds.
func (d ServerDump) Usable() bool {
	return !d.Out && !d.Leaving && !d.Draining && !d.Suspended && d.Phase == phaseWarm.String()
}

// Dump returns the state.
func (s *Set) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{
		Service:      s.Service,
		UsualLatency: s.usual.median,
		LateLatency:  s.usual.late,
		MeanRequests: s.mean.value,
		NoServer:     s.none,
		AllSuspect:   s.panics,
		NewsDropped:  s.news.dropped,
	}
	for _, v := range s.servers {
		d.Servers = append(d.Servers, s.dump(v))
	}
	return d
}

func (s *Set) dump(v *server) ServerDump {
	d := ServerDump{
		Address:    v.address,
		DataCentre: v.centre.name,
		Distance:   v.centre.distance,
		Out:        v.out,
		Leaving:    v.leaving,
		Missing:    v.missing,
		Draining:   v.drains(s.now),
		Suspended:  v.health.suspended(s.now),
		Phase:      v.start.phase.String(),
		Part:       1,
		InFlight:   v.calls.count,
		Slowness:   v.slow,
		Bias:       v.bias,
		Requests:   v.report.Running + v.report.Queued,
		Chosen:     v.chosen,
		ColdTaken:  v.coldTaken,
		Sheds:      v.sheds,
		Failures:   v.failures,
	}
	if v.start.phase == phaseRamp {
		d.Part = v.start.part
	}
	if !v.reported.IsZero() {
		d.ReportAge = s.now.Sub(v.reported)
	}
	return d
}

// String returns the phase's name in dumps.
func (p phase) String() string {
	switch p {
	case phaseWarm:
		return "Warm"
	case phaseDoubt:
		return "Doubt"
	case phaseCold:
		return "Cold"
	case phaseRamp:
		return "Ramp"
	}
	return "Unknown"
}
