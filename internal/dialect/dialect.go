// Package dialect describes how a deployment's callers and backend servers
// spell what the program needs to know of a request and of its answer.
package dialect

import (
	"net/http"
	"time"

	"lentilbend.example/internal/load"
)

// Dialect names header fields and reads and writes their values. A name that
// is empty stands for a field that the deployment does not have.
type Dialect struct {
	// Timeout holds the time that the sender still waits.
	Timeout       string
	ParseTimeout  func(value string) (time.Duration, error)
	FormatTimeout func(left time.Duration) string
	// Attempt counts how often the request was sent.
	Attempt string
	// Workspace tells the backend server whose request it is.
	Workspace string
	// Key returns the key that came with a request.
	Key func(h http.Header) (string, bool)
	// Credentials are the fields that may hold a key; they end here.
	Credentials []string
	// RequestID names the request; a whole answer echoes it.
	RequestID string
	// Signature stands on each answer that a backend server made itself.
	Signature string
	// Server names the backend server that is meant.
	Server string
	// NotRun tells whether a backend server's answer says that it did not
	// start the request.
	NotRun func(status int, h http.Header) bool
	// Load returns the load report on an answer.
	Load func(h http.Header) (load.Report, bool)
	// Private are fields of answers that are not for callers.
	Private []string
	// Run tells in a refusal whether the request may have run.
	Run string
	// FormatRetryAfter returns the value of Retry-After.
	FormatRetryAfter func(d time.Duration) string
	// Forwarded says that backend servers are told the caller's address in
	// the X-Forwarded fields.
	Forwarded bool
	// StatusPromises says that callers read "not run" from the status alone:
	// 408, 421, 429 and 503 say so, and no others.
	StatusPromises bool
}
