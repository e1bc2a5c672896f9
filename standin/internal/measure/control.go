package measure

import (
	"context"
	"time"

	"lentilbend.example/standin/internal/fleet"
)

// Bounds that the users stated, for one node.
const (
	controlCore   = 2.8
	controlMemory = 256
	controlBytes  = 5000
)

// Times of one size.
const (
	controlSettle = 5 * time.Second
	controlWindow = 6 * time.Second
)

// controlSizes are the numbers of entry VMs and services that are measured.
var controlSizes = []struct{ vms, services int }{
	{4, 4}, {16, 1}, {16, 4}, {16, 16}, {32, 4}, {64, 4}, {64, 16},
}

func init() {
	register(Measurement{
		Name: "control",
		Text: "processor time, memory and bytes that an entry VM spends on control, by entry VMs and services of 8 workspaces, without calls",
		Run:  measureControl,
	})
}

// controlResult holds one entry for each size.
type controlResult struct {
	Sizes []controlSize
}

// controlSize is the mean over the entry VMs of one size.
type controlSize struct {
	VMs      int
	Services int
	// Core is in percent of one core.
	Core float64
	// Memory is the resident memory, in MiB.
	Memory float64
	// SentBytes and ReceivedBytes are of the streams between entry VMs, a
	// second, with the frames of HTTP/2 and without those of TCP.
	SentBytes     float64
	ReceivedBytes float64
	// LimitMessages is how many messages of limits an entry VM sends a second.
	LimitMessages float64
}

// Targets compares the largest size with the stated bounds.
func (r *controlResult) Targets() []Target {
	l := r.Sizes[len(r.Sizes)-1]
	return []Target{
		AtMost("Core", "% of a core", controlCore, l.Core),
		AtMost("Memory", "MiB", controlMemory, l.Memory),
		AtMost("SentBytes", "bytes/s", controlBytes, l.SentBytes),
	}
}

func measureControl(ctx context.Context, o Options) (any, error) {
	r := &controlResult{}
	for _, z := range controlSizes {
		c, err := controlOnce(ctx, o, z.vms, z.services)
		if err != nil {
			return nil, err
		}
		r.Sizes = append(r.Sizes, c)
	}
	return r, nil
}

func controlOnce(ctx context.Context, o Options, vms, services int) (controlSize, error) {
	f := &fleet.Fleet{Bin: o.Bin, Deployment: controlDeployment(vms, services), Seed: o.Seed, Environment: []string{"GOMAXPROCS=2"}}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return controlSize{}, err
	}
	time.Sleep(controlSettle)
	a, err := controlRead(ctx, f)
	if err != nil {
		return controlSize{}, err
	}
	begin := time.Now()
	time.Sleep(controlWindow)
	b, err := controlRead(ctx, f)
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

// controlSums are counters summed over the entry VMs.
type controlSums struct {
	processor, memory, sent, received, messages float64
}

func controlRead(ctx context.Context, f *fleet.Fleet) (controlSums, error) {
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
