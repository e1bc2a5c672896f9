// Package load parses and formats the load reports that backend servers send in
// response headers.
package load

import "time"

// Header is the response header in which a backend server reports its load. Its
// value is a structured-field dictionary (RFC 9651) such as
// "running=3, queued=0, slots=6, cold, draining".
const Header = "Server-Load"

// RunHeader is the response header by which a backend server says that it did not
// start the request; its value is then NotRun.
const (
	RunHeader = "Server-Run"
	NotRun    = "not-run"
)

// Report is a backend server's report of its own load.
type Report struct {
	// Running is the number of requests that the server is processing.
	Running int
	// Queued is the number of requests that wait in the server.
	Queued int
	// Slots is the greatest number of requests that the server processes at once.
	Slots int
	// Cold is set during the server's cold start.
	Cold bool
	// ColdRemaining is how much longer the cold start lasts; 0 if not reported.
	ColdRemaining time.Duration
	// Draining is set if the server asks for no new requests.
	Draining bool
	// Pace is the current processing time relative to the usual one: at 2,
	// requests take twice as long. It is 0 if not reported.
	Pace float64
}
