package chooser

import (
	"math/rand/v2"
	"time"

	"lentilbend.example/internal/admission"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
)

// prioritized is what the admission of a service's requests by priority needs from the
// table. A service has none unless the table sets priorities.
type prioritized struct {
	vms      int
	coldRate float64
	// gated means that the routes to the service differ in priority.
	gated bool
}

// newPrioritized returns the state for an entry of the table, or nil if the table sets
// no priorities.
func newPrioritized(t *table.Table, c *table.Service, vms int) *prioritized {
	if !t.SetsPriorities() {
		return nil
	}
	return &prioritized{vms: vms, coldRate: c.ColdRate, gated: len(t.Priorities(c.Name)) > 1}
}

// Admission returns the gate that admits the requests of a service by priority, or nil
// where the requests have the same priority.
func (s *Services) Admission(name string) *admission.Gate {
	v := s.find(name)
	if v == nil {
		return nil
	}
	if p := v.prioritized.Load(); p == nil || !p.gated {
		return nil
	}
	return v.admission
}

// RetryAfter returns the time until the service of a refused request is expected to have
// free capacity. It returns false if that is not known or the table sets no priorities.
func (s *Services) RetryAfter(now time.Time, x *exchange.Exchange) (time.Duration, bool) {
	v := s.find(x.Service.Name)
	if v == nil || v.prioritized.Load() == nil {
		return 0, false
	}
	c := v.capacity(now)
	if !c.Known {
		return 0, false
	}
	return admission.UntilRoom(c, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), true
}

// capacity returns the capacity of the service by the load reports. A cold server counts
// with the requests that it runs at its permitted rate.
func (v *service) capacity(now time.Time) admission.Capacity {
	r := v.set.Room(now)
	c := admission.Capacity{Known: r.Known, Slots: r.Slots, Busy: r.Busy, Work: v.set.UsualTime("")}
	if p := v.prioritized.Load(); p != nil {
		c.VMs = p.vms
		c.Slots += float64(r.Cold) * p.coldRate * c.Work.Seconds()
	}
	v.gateBypassed.Store(r.Known)
	return c
}

// bypassesGate reports whether requests are admitted by priority, so that the VM's own
// limit is not in use.
func (v *service) bypassesGate() bool {
	p := v.prioritized.Load()
	return p != nil && p.gated && v.gateBypassed.Load()
}
