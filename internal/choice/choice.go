// Package choice decides which backend server of a service gets a request.
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
}

// Call is one request given to a server.
type Call interface {
	// Server returns the server's address.
	Server() netip.AddrPort
	// End tells how the call ended. It must be called once.
	End(now time.Time, o Outcome)
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
}

// Shed means that the server said that it did not start the request.
type Shed struct {
	Load *load.Report
}

// Failed means that the connection failed or the answer broke off.
type Failed struct{}

// TimedOut means that the deadline passed without a whole answer.
type TimedOut struct{}

// Cancelled means that the caller went away; it says nothing of the server.
type Cancelled struct{}

// NotSent means that no byte was sent; it says nothing of the server.
type NotSent struct{}

func (Answered) outcome()  {}
func (Shed) outcome()      {}
func (Failed) outcome()    {}
func (TimedOut) outcome()  {}
func (Cancelled) outcome() {}
func (NotSent) outcome()   {}
