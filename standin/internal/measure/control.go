package measure

import (
	"context"
	"time"

	"lentilbend.example/standin/internal/fleet"
)

// Bounds that the users stated for one entry VM.
const (
	maxControlCore      = 2.8  // percent of one core
	maxControlMemory    = 256  // MiB
	maxControlSentBytes = 5000 // bytes a second
)

// Times of the measurement of one size: the wait after the start of the fleet, and
// the time over which the counters are compared.
const (
	controlSettleTime = 5 * time.Second
	controlSampleTime = 6 * time.Second
)

// controlSizes are the measured numbers of entry VMs and services. The last one is
// compared with the bounds.
var controlSizes = []struct{ vms, services int }{
	{4, 4}, {16, 1}, {16, 4}, {16, 16}, {32, 4}, {64, 4}, {64, 16},
}

func init() {
	register(Measurement{
		Name: "control",
		Text: "processor time, memory and peer traffic of an entry VM without calls, by numbers of entry VMs and of services with 8 workspaces each",
		Run:  measureControl,
	})
}

// controlResult is the result of the measurement "control", the cost of running an
// entry VM without any calls.
type controlResult struct {
	Sizes []controlSize
}

// controlSize is the mean over the entry VMs of a fleet of one size.
type controlSize struct {
	VMs      int
	Services int
	// Core is the processor time, in percent of one core.
	Core float64
	// Memory is the resident memory, in MiB.
	Memory float64
	// SentBytes and ReceivedBytes are the bytes a second on streams between entry
	// VMs, including HTTP/2 framing but not TCP headers.
	SentBytes     float64
	ReceivedBytes float64
	// LimitMessages is the number of messages about fleet-wide limits that an
	// entry VM sends a second.
	LimitMessages float64
}

// Targets compares the largest size with the stated bounds.
func (r *controlResult) Targets() []Target {
	l := r.Sizes[len(r.Sizes)-1]
	return []Target{
		AtMost("Core", "% of a core", maxControlCore, l.Core),
		AtMost("Memory", "MiB", maxControlMemory, l.Memory),
		AtMost("SentBytes", "bytes/s", maxControlSentBytes, l.SentBytes),
	}
}

func measureControl(ctx context.Context, o Options) (any, error) {
	r := &controlResult{}
	for _, z := range controlSizes {
		c, err := measureControlSize(ctx, o, z.vms, z.services)
		if err != nil {
			return nil, err
		}
		r.Sizes = append(r.Sizes, c)
	}
	return r, nil
}

func measureControlSize(ctx context.Context, o Options, vms, services int) (controlSize, error) {
	f := &fleet.Fleet{Bin: o.Bin, Deployment: controlDeployment(vms, services), Seed: o.Seed, Environment: []string{"GOMAXPROCS=2"}}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return controlSize{}, err
	}
	time.Sleep(controlSettleTime)
	a, err := readControlSums(ctx, f)
	if err != nil {
		return controlSize{}, err
	}
	begin := time.Now()
	time.Sleep(controlSampleTime)
	b, err := readControlSums(ctx, f)
	if err != nil {
		return controlSize{}, err
	}
	s := time.Since(begin).Seconds() * float64(vms)
	return controlSize{
		VMs:           vms,
		Services:      services,
		Core:          100 * (b.processor - a.processor) / s,
		Memory:        b.memory / float64(vms) / (1 << 20),
		SentBytes:     (b.sent - a.sent) / s,
		ReceivedBytes: (b.received - a.received) / s,
		LimitMessages: (b.messages - a.messages) / s,
	}, nil
}

func controlDeployment(vms, services int) fleet.Deployment {
	d := fleet.SmallDeployment(vms)
	s := d.Services[0]
	s.Routes = s.Routes[:1]
	s.Instances = 2
	d.Services, d.Workspaces = nil, nil
	for i := range services {
		n := s
		n.Name = "service-" + string(rune('a'+i))
		n.Routes = []fleet.Route{s.Routes[0]}
		n.Routes[0].Prefix, n.Rows = "/"+n.Name+"/", nil
		d.Services = append(d.Services, n)
	}
	d.AddWorkspaces(8, func(*fleet.Service, float64) fleet.Row {
		return fleet.Row{Weight: 1, Rate: 100, Burst: 200, Limit: 50}
	})
	return d
}

// controlSums are counters summed over the entry VMs: processor time in seconds,
// memory, sent and received in bytes, and limit messages.
type controlSums struct {
	processor, memory, sent, received, messages float64
}

func readControlSums(ctx context.Context, f *fleet.Fleet) (controlSums, error) {
	var t controlSums
	for _, e := range f.Entries {
		p, err := e.CPUTime()
		if err != nil {
			return t, err
		}
		t.processor += p.Seconds()
		for name, to := range map[string]*float64{
			"process_resident_memory_bytes":        &t.memory,
			"lentilbend_peer_sent_bytes_total":     &t.sent,
			"lentilbend_peer_received_bytes_total": &t.received,
			"lentilbend_limit_messages_total":      &t.messages,
		} {
			v, err := e.Metric(ctx, name)
			if err != nil {
				return t, err
			}
			*to += v
		}
	}
	return t, nil
}
