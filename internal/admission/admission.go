// Package admission decides which requests of a service are admitted, wait or are
// refused, by what a refusal costs the callers.
//
// Requests differ in priority, objective, deadline and expected processing time. A
// Gate compares the occupancy of the service's servers, which all entry VMs know from
// load reports, with a threshold. The threshold of a less urgent kind of request is
// lower by a reserve for the more urgent kinds, so that these still find capacity when
// it is scarce. Close to the threshold, each VM admits its own share only.
package admission

import "time"

// Request describes a request that asks for admission.
type Request struct {
	// Kind is the kind of request, for which the processing time is known.
	Kind string
	// Priority is the priority; 0 is the highest.
	Priority int
	// WantedBy is when the latency objective wants the response; zero without one.
	WantedBy time.Time
	// Deadline is when the request must have ended; zero means no deadline.
	Deadline time.Time
	// Notify is called once with the final decision if Enter returns Waiting,
	// unless Leave withdraws the request first. The call may come before Enter
	// returns. It must not block.
	Notify func(d Decision)
}

// Decision is the result of admission: Admitted, Waiting, Refused or Unknown.
type Decision interface {
	decision()
}

// Admitted means that the request may run now.
type Admitted struct{}

// Waiting means that the request is queued; Request.Notify gets the final decision.
type Waiting struct{}

// Refused means that the request must not run.
type Refused struct {
	Cause Cause
	// RetryAfter is the time until free capacity is expected; 0 if waiting does
	// not help.
	RetryAfter time.Duration
}

// Unknown means that there are too few load reports to decide. The request is not
// counted; the VM's own concurrency limit applies to it.
type Unknown struct{}

func (Admitted) decision() {}
func (Waiting) decision()  {}
func (Refused) decision()  {}
func (Unknown) decision()  {}

// Cause is why a request was refused.
type Cause int

// Causes of refusals.
const (
	// CauseNoRoom means that the servers had no free capacity.
	CauseNoRoom Cause = iota
	// CauseRoomElsewhere means that there was free capacity that this VM must leave
	// to more urgent requests or to other VMs.
	CauseRoomElsewhere
	// CauseDeadline means that the request could not end before its deadline.
	CauseDeadline
)

// Capacity is what a VM knows of the capacity of a service.
type Capacity struct {
	// Known is false while there are too few load reports.
	Known bool
	// Slots is how many requests the usable servers process at once, in requests at
	// the usual pace. Busy is how many run or are queued there.
	Slots, Busy float64
	// VMs is the number of entry VMs.
	VMs int
	// Work is the mean processing time of a request.
	Work time.Duration
}

// occupancy returns the requests at the servers relative to their slots.
func (c Capacity) occupancy() float64 {
	if c.Slots <= 0 {
		return maxOccupancy
	}
	return min(c.Busy/c.Slots, maxOccupancy)
}

// maxOccupancy bounds the occupancy; it is that of a service without usable servers.
const maxOccupancy = 4.0
