// Package dialect describes the header fields and status codes by which the
// callers and backend servers of a deployment exchange timeouts, keys, load
// reports and the like with an entry VM.
package dialect

import (
	"net/http"
	"time"

	"lentilbend.example/internal/load"
)

// Dialect holds the names of header fields and the functions that parse and
// format their values. An empty name means that the deployment does not have
// the field.
type Dialect struct {
	// Timeout names the request header that holds how much longer the sender
	// waits for the answer.
	Timeout       string
	ParseTimeout  func(value string) (time.Duration, error)
	FormatTimeout func(left time.Duration) string
	// Attempt names the request header for the number of the attempt; the first
	// is 1.
	Attempt string
	// Workspace names the header that tells the backend server which workspace
	// a request belongs to.
	Workspace string
	// Key returns the key that a request carries.
	Key func(h http.Header) (string, bool)
	// CredentialHeaders may hold a key and are not passed on to backend servers.
	CredentialHeaders []string
	// RequestID names the header for the ID of the request, which the answer
	// to it echoes.
	RequestID string
	// Signature names the header that an answer has if it comes from a backend
	// server itself rather than from an intermediary.
	Signature string
	// Server names the request header for the name of the backend server that
	// the request is meant for.
	Server string
	// NotRun reports whether an answer says that the backend server did not
	// start the request.
	NotRun func(status int, h http.Header) bool
	// IsLeaving reports whether an answer says that its server will end soon. It may
	// be nil.
	IsLeaving func(h http.Header) bool
	// ServerName names the header of an answer to a probe that holds the name of the
	// server.
	ServerName string
	// ParseLoad returns the load report in the header of an answer.
	ParseLoad func(h http.Header) (load.Report, bool)
	// PrivateHeaders are removed from answers before they reach the caller.
	PrivateHeaders []string
	// RunStatus names the header of a refusal that tells whether the request
	// may have run.
	RunStatus string
	// FormatRetryAfter returns the value of the Retry-After header.
	FormatRetryAfter func(d time.Duration) string
	// FractionalRetryAfter means that Retry-After may have fractions of a second.
	FractionalRetryAfter bool
	// AddForwarded means that backend servers get the caller's address in the
	// X-Forwarded headers.
	AddForwarded bool
	// StatusTellsNotRun means that callers infer from the status alone whether
	// a request was run: 408, 421, 429 and 503 mean that it was not, any other
	// status that it may have been.
	StatusTellsNotRun bool
}
