// Package history records what happened in a run, and decides from it whether
// what must always hold did hold.
package history

import (
	"net/netip"
	"sync"
	"time"

	"lentilbend.example/standin/internal/backend"
)

// Call is one request of a caller.
type Call struct {
	ID string
	// Workspace is whose key was sent; empty when none was.
	Workspace string
	// Key is the name of the key that was sent, not the key.
	Key        string
	Kind       string
	Service    string
	Idempotent bool
	Open       bool
	Entry      netip.AddrPort
	Start, End time.Time
	BodyDigest string
	Outcome    Outcome
}

// Outcome is how a call ended for the caller: one of the types below.
type Outcome interface {
	outcome()
}

// Answered is an answer of a backend server that came to its end.
type Answered struct {
	Status int
	// ID, BodyDigest and Server stand in the answer.
	ID         string
	BodyDigest string
	Server     string
	// Whole says that the end mark is there and the length is right.
	Whole bool
}

// Refused is a refusal of an entry VM.
type Refused struct {
	Status int
	// NotRun says that the refusal claims that nothing ran.
	NotRun bool
	// Reason is the refusal's text for people.
	Reason string
}

// Cut is an answer that visibly broke off.
type Cut struct{}

// TimedOut is a call that the caller gave up.
type TimedOut struct{}

// Failed is a call whose connection failed before an answer.
type Failed struct {
	Text string
	// NotSent says that no connection could be opened.
	NotSent bool
}

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Cut) outcome()      {}
func (TimedOut) outcome() {}
func (Failed) outcome()   {}

// Served says whether the call got a whole good answer.
func (c *Call) Served() bool {
	a, ok := c.Outcome.(Answered)
	return ok && a.Whole && a.Status < 400
}

// Event is something that an operator or a fault did: one of the types below.
type Event interface {
	event()
}

// KeyWithdrawn is the edit that withdrew a key.
type KeyWithdrawn struct {
	Key string
	At  time.Time
}

// KeyGiven is the edit that gave a withdrawn key again.
type KeyGiven struct {
	Key string
	At  time.Time
}

// ServersLeft is the edit or the drain after which servers get no new work.
type ServersLeft struct {
	Servers []netip.AddrPort
	// Centre says that their data centre was taken out.
	Centre bool
	At     time.Time
}

// ServersBack ends ServersLeft.
type ServersBack struct {
	Servers []netip.AddrPort
	At      time.Time
}

// Edited is an edit of the table that is valid.
type Edited struct {
	Revision uint64
	// Start is before the edit and At after it.
	Start, At time.Time
}

// Seen is the revision in force at one VM, as it told between two times.
type Seen struct {
	VM         netip.AddrPort
	Revision   uint64
	Start, End time.Time
}

// Stopped is a planned stop of an entry VM.
type Stopped struct {
	Entry      netip.AddrPort
	Start, End time.Time
}

// Killed is a crash or the end of a pause of an entry VM, after which cut
// calls are no fault.
type Killed struct {
	Entry netip.AddrPort
	At    time.Time
}

func (KeyWithdrawn) event() {}
func (KeyGiven) event()     {}
func (ServersLeft) event()  {}
func (ServersBack) event()  {}
func (Edited) event()       {}
func (Seen) event()         {}
func (Stopped) event()      {}
func (Killed) event()       {}

// History is all that is known of a run.
type History struct {
	Calls      []Call
	Executions []backend.Execution
	Events     []Event
	// Servers are what the backend servers counted.
	Servers []ServerCounts
	// Limits are the rows that the run must keep.
	Limits []Limit
	// ProbeRates are the budgets of the services.
	ProbeRates []ProbeRate
	Start, End time.Time
}

// ServerCounts are the counts of one backend server.
type ServerCounts struct {
	Address netip.AddrPort
	Service string
	Counts  backend.Counts
}

// Limit is what a workspace may take of a service over all VMs.
type Limit struct {
	Workspace string
	Service   string
	Rate      float64
	Burst     float64
}

// ProbeRate is how many probes a second a service may get.
type ProbeRate struct {
	Service string
	Rate    float64
	Burst   float64
}

// Recorder collects calls and events; its zero value is ready for use.
type Recorder struct {
	mu     sync.Mutex
	calls  []Call
	events []Event
}

// Call records a call that ended.
func (r *Recorder) Call(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// Event records an event.
func (r *Recorder) Event(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// History returns what was recorded so far.
func (r *Recorder) History() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &History{
		Calls:  append([]Call(nil), r.calls...),
		Events: append([]Event(nil), r.events...),
	}
}
