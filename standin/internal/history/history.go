// Package history records the calls, executions and events of a test run and
// checks them for violations of the requirements.
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
	// Workspace owns the key that was sent; empty when none was sent.
	Workspace string
	// Key is the name of the key that was sent, not the key itself.
	Key        string
	Kind       string
	Service    string
	Idempotent bool
	// Open is set when the route needs no key.
	Open bool
	// Entry is the address for callers of the entry VM that got the call.
	Entry      netip.AddrPort
	Start, End time.Time
	BodyDigest string
	Outcome    Outcome
}

// Outcome is how a call ended for the caller: Answered, Refused, Cut, TimedOut
// or Failed.
type Outcome interface {
	outcome()
}

// Answered is an answer of a backend server that was read without an error.
type Answered struct {
	Status int
	// ID, BodyDigest and Server are the call ID, the digest of the request
	// body and the address of the server as the answer states them.
	ID         string
	BodyDigest string
	Server     string
	// Whole is set when the answer has its end mark and at least the requested
	// length.
	Whole bool
}

// Refused is a refusal by an entry VM.
type Refused struct {
	Status int
	// NotRun is set when the refusal states that the request was not run.
	NotRun bool
	// Reason is the detail text of the refusal.
	Reason string
}

// Cut is an answer whose transfer failed before its end.
type Cut struct{}

// TimedOut is a call that the caller cancelled, after its timeout or because the
// run was cancelled.
type TimedOut struct{}

// Failed is a call whose connection failed before the header of an answer.
type Failed struct {
	Text string
	// NotSent is set when the request was not sent because no connection could
	// be opened.
	NotSent bool
}

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Cut) outcome()      {}
func (TimedOut) outcome() {}
func (Failed) outcome()   {}

// Served reports whether the call got a complete answer with a status below
// 400.
func (c *Call) Served() bool {
	a, ok := c.Outcome.(Answered)
	return ok && a.Whole && a.Status < 400
}

// Event is an action of an operator, an injected fault or an observation
// during the run: one of the types below.
type Event interface {
	event()
}

// KeyWithdrawn is an edit that removed a key from the table.
type KeyWithdrawn struct {
	// Key is the name of the key, as in Call.
	Key string
	At  time.Time
}

// KeyRestored is an edit that put a withdrawn key back into the table.
type KeyRestored struct {
	Key string
	At  time.Time
}

// ServersWithdrawn is a change after which servers must get no new work: an edit
// of the table, or a VM list that shows them as leaving.
type ServersWithdrawn struct {
	Servers []netip.AddrPort
	// DataCentreOut is set when operators took out the servers' data centre.
	DataCentreOut bool
	At            time.Time
}

// ServersRestored ends an earlier ServersWithdrawn of the same servers.
type ServersRestored struct {
	Servers []netip.AddrPort
	At      time.Time
}

// TableEdited is a valid edit of the table.
type TableEdited struct {
	Revision uint64
	// Start is a time before the edit and End one after it.
	Start, End time.Time
}

// RevisionObserved is the table revision that one VM reported as in force.
type RevisionObserved struct {
	VM       netip.AddrPort
	Revision uint64
	// Start and End are the times before and after the read.
	Start, End time.Time
}

// GracefulShutdown is a graceful shutdown of an entry VM.
type GracefulShutdown struct {
	Entry      netip.AddrPort
	Start, End time.Time
}

// EntryInterrupted is a crash of an entry VM, or the start or end of a pause.
// Calls that it cuts are no violation, so no check uses it.
type EntryInterrupted struct {
	Entry netip.AddrPort
	At    time.Time
}

func (KeyWithdrawn) event()     {}
func (KeyRestored) event()      {}
func (ServersWithdrawn) event() {}
func (ServersRestored) event()  {}
func (TableEdited) event()      {}
func (RevisionObserved) event() {}
func (GracefulShutdown) event() {}
func (EntryInterrupted) event() {}

// History is the complete record of a run.
type History struct {
	Calls      []Call
	Executions []backend.Execution
	Events     []Event
	// Servers holds the counters of the backend servers.
	Servers []ServerCounts
	// Limits holds the rate limits of the table.
	Limits []Limit
	// ProbeRates holds the probe budgets of the services.
	ProbeRates []ProbeRate
	Start, End time.Time
}

// ServerCounts holds the counters of one backend server.
type ServerCounts struct {
	Address netip.AddrPort
	Service string
	Counts  backend.Counts
}

// Limit is the rate limit of a workspace for a service across all VMs.
type Limit struct {
	Workspace string
	Service   string
	// Rate is in calls a second, Burst in calls.
	Rate  float64
	Burst float64
}

// ProbeRate is the budget of load probes of a service across all VMs.
type ProbeRate struct {
	Service string
	// Rate is in probes a second, Burst in probes.
	Rate  float64
	Burst float64
}

// Recorder collects calls and events; its zero value is ready for use.
type Recorder struct {
	mu     sync.Mutex
	calls  []Call
	events []Event
}

// RecordCall adds a call that ended.
func (r *Recorder) RecordCall(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// RecordEvent adds an event.
func (r *Recorder) RecordEvent(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// History returns the calls and events recorded so far.
func (r *Recorder) History() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &History{
		Calls:  append([]Call(nil), r.calls...),
		Events: append([]Event(nil), r.events...),
	}
}
