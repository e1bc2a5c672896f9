// Package choice decides which backend server of a service gets a request.
//
// A Set holds what one entry VM knows of the servers of one service: its own
// requests in flight, their lateness, the load reports on answers, failures,
// cold starts and news from other entry VMs. A Policy picks by it.
package choice

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/load"
)

// Server is a backend server that may be chosen.
type Server struct {
	Address    netip.AddrPort
	DataCentre string
	// Name is the server's own name for one run of it; another name at the
	// same address is another server.
	Name string
	// Slots is how many requests the server works on at once; 0 for the
	// service's number.
	Slots int
	// ColdFor is how long the server stays cold from now on, as it said when
	// it was entered.
	ColdFor time.Duration
	// Out says that the table takes the server's data centre out.
	Out bool
	// Leaving says that the platform's VM list shows the server as leaving.
	Leaving bool
	// Missing says that the platform's VM list does not show the server.
	Missing bool
}

// Call is one request given to a server.
type Call interface {
	// Server returns the server's address.
	Server() netip.AddrPort
	// Name returns the server's own name, empty when it has none.
	Name() string
	// Basis returns what the choice of the server rested on.
	Basis() Basis
	// End tells how the call ended. It must be called once.
	End(now time.Time, o Outcome)
}

// Basis is what was known of a server when it was chosen.
type Basis struct {
	// Running, Queued and Pace are those of the server's last report, and Age
	// is the report's; a negative Age says that there was none.
	Running, Queued int
	Pace            float64
	Age             time.Duration
	// Expected is how long the answer was expected to take.
	Expected time.Duration
	// Cold says that the server was in cold start.
	Cold bool
}

// Outcome is how a call ended: one of the types below.
type Outcome interface {
	outcome()
}

// Answered means that the server answered in full.
type Answered struct {
	Status int
	// Load is the report on the answer, or nil.
	Load *load.Report
	// FirstByte is the time from the request's first byte sent to the
	// answer's first byte read.
	FirstByte time.Duration
	// Bytes is the size of the answer's body.
	Bytes int64
}

// Shed means that the server said that it did not start the request.
type Shed struct {
	Load *load.Report
}

// Failed means that the connection failed or the answer broke off.
type Failed struct{}

// Spoiled means that the server answered, but not with a whole answer of its
// own to this request, or with a failure.
type Spoiled struct{}

// TimedOut means that the deadline passed without a whole answer.
type TimedOut struct{}

// Cancelled means that the caller went away; it says nothing of the server.
type Cancelled struct{}

// NotSent means that no byte was sent; it says nothing of the server.
type NotSent struct{}

func (Answered) outcome()  {}
func (Shed) outcome()      {}
func (Failed) outcome()    {}
func (Spoiled) outcome()   {}
func (TimedOut) outcome()  {}
func (Cancelled) outcome() {}
func (NotSent) outcome()   {}

// Allowance bounds work over all entry VMs together, such as the requests that
// a server in cold start bears, or probes.
type Allowance interface {
	// Take uses one unit for server when one is free.
	Take(now time.Time, server netip.AddrPort) bool
}
