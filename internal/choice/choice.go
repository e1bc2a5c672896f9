// Package choice chooses the backend server that gets a request of a service.
//
// A Set holds what one entry VM knows of the servers of one service: its own
// requests in flight and how late they are, the servers' load reports,
// failures, cold starts, and state updates from other entry VMs. A Policy
// chooses by it. The servers come from the table (the fleet's configuration) and
// from the platform's list of VMs.
//
// A server is cold while it is newly started and can take little load, and
// suspect after a broken connection, since it may be down. Both get requests only
// with a token of an Allowance, and then go through slow start. A broken
// connection or repeated error answers also eject a server for a short time.
package choice

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/load"
)

// Server is the configuration of a backend server.
type Server struct {
	Address    netip.AddrPort
	DataCentre string
	// Name identifies one run of the server; another name at the same address
	// is another server. Born is when that run started, by the server's clock; zero
	// if unknown. Another start time is another run under the same name.
	Name string
	Born time.Time
	// Slots is the number of requests the server processes concurrently. A Set
	// does not use it; Config.Slots applies to all servers of a service.
	Slots int
	// ColdFor is how much longer the server is in cold start, as stated when it
	// was registered.
	ColdFor time.Duration
	// Out means that the table takes the server's data centre out of service.
	Out bool
	// Leaving means that the platform's VM list marks the server as leaving.
	Leaving bool
	// Missing means that the platform's VM list does not contain the server.
	Missing bool
}

// Call is a request sent to a server.
type Call interface {
	// Server returns the server's address.
	Server() netip.AddrPort
	// Name returns the server's name, empty when it has none.
	Name() string
	// Basis returns what was known of the server when it was chosen.
	Basis() Basis
	// Record records a notice in the header of the answer, before End.
	Record(now time.Time, n Notice)
	// End records the outcome of the call. It must be called once.
	End(now time.Time, o Outcome)
}

// Basis is what was known of a server when it was chosen.
type Basis struct {
	// Running, Queued, Slots and Pace are those of the server's last load report,
	// and Age is the report's age; negative when there was no report.
	Running, Queued int
	Slots           int
	Pace            float64
	Age             time.Duration
	// Expected is the expected time until the answer.
	Expected time.Duration
	// Cold means that the server was in cold start or suspect.
	Cold bool
}

// HadRoom reports whether the server had reported free slots.
func (b Basis) HadRoom() bool {
	return b.Age >= 0 && b.Slots > 0 && b.Queued == 0 && b.Running < b.Slots
}

// Outcome is how a call ended: one of the types below.
type Outcome interface {
	outcome()
}

// Answered means that the server sent a complete answer.
type Answered struct {
	Status int
	// Load is the load report in the answer, or nil.
	Load *load.Report
	// FirstByte is the time from the first byte sent to the first byte
	// received; 0 when not measured.
	FirstByte time.Duration
	// Bytes is the size of the answer's body.
	Bytes int64
}

// Shed means that the server refused the request without starting it.
type Shed struct {
	Load *load.Report
}

// Failed means that the connection failed or the answer broke off.
type Failed struct {
	// NoConn means that the server accepted no connection.
	NoConn bool
}

// BadAnswer means that the server answered with something that must not be
// passed on: an answer to another request, a malformed one, or a failure. Logs
// call it "spoiled".
type BadAnswer struct{}

// TimedOut means that the deadline passed before the answer was complete.
type TimedOut struct{}

// Cancelled means that the caller cancelled the request or that its result was
// no longer needed. It does not count as a failure of the server, but raises its
// slowness if the call was already late.
type Cancelled struct{}

// NotSent means that no byte of the request was sent. It does not count against
// the server.
type NotSent struct{}

func (Answered) outcome()  {}
func (Shed) outcome()      {}
func (Failed) outcome()    {}
func (BadAnswer) outcome() {}
func (TimedOut) outcome()  {}
func (Cancelled) outcome() {}
func (NotSent) outcome()   {}

// Allowance is a rate limit over all entry VMs together, such as that of
// requests to a server in cold start or of probes.
type Allowance interface {
	// Take takes one token for server and reports whether one was available.
	Take(now time.Time, server netip.AddrPort) bool
}
