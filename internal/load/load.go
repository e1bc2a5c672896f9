// Package load holds a backend server's report of its own load.
package load

import "time"

// Header is the response header in which a backend server reports its load, a
// structured-field dictionary (RFC 9651) such as
// "running=3, queued=0, slots=6, cold, draining".
const Header = "Server-Load"

// RunHeader is the response header with which a backend server says, by the
// value NotRun, that it did not start the request.
const (
	RunHeader = "Server-Run"
	NotRun    = "not-run"
)

// Report is what a backend server says of itself.
type Report struct {
	// Running is how many requests it works on.
	Running int
	// Queued is how many requests wait in it.
	Queued int
	// Slots is how many requests it works on at most.
	Slots int
	// Cold says that it is in cold start.
	Cold bool
	// ColdLeft is how much longer the cold start lasts; 0 when not told.
	ColdLeft time.Duration
	// Draining says that it wants no new work.
	Draining bool
	// Pace is how long work takes there at this moment, in units of the usual
	// time; 0 when not told.
	Pace float64
}
