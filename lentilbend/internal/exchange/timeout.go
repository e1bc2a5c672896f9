package exchange

import (
	"fmt"
	"strconv"
	"time"
)

// Headers that travel with a request along a chain of calls.
const (
	// TimeoutHeader holds the time that the sender still waits, such as
	// "250ms".
	TimeoutHeader = "Request-Timeout"
	// AttemptHeader counts from 1 how often the request was sent.
	AttemptHeader = "Request-Attempt"
	// WorkspaceHeader names the workspace of the request's key to the backend
	// server. What a caller sends under this name is dropped.
	WorkspaceHeader = "Workspace"
)

// Bounds of the headers' values.
const (
	timeoutLongest = 24 * time.Hour
	attemptMost    = 1000
)

// Timeout returns the time that the caller waits; false when it names none.
// The error tells what is wrong with the header.
func (x *Exchange) Timeout() (time.Duration, bool, error) {
	n := x.Spelling().Timeout
	vs := x.Request.Header[n]
	if len(vs) == 0 {
		return 0, false, nil
	}
	if len(vs) > 1 {
		return 0, false, fmt.Errorf("exchange: %s stands %d times", n, len(vs))
	}
	d, err := x.Spelling().ParseTimeout(vs[0])
	if err != nil {
		return 0, false, fmt.Errorf("exchange: %s: %w", n, err)
	}
	return d, true, nil
}

// FormatTimeout returns the header's value for the time left, rounded down to
// microseconds.
func FormatTimeout(d time.Duration) string {
	if d >= time.Second || d < time.Millisecond {
		return strconv.FormatInt(d.Microseconds(), 10) + "us"
	}
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

// Attempt returns the number of the attempt, 1 when the header is absent. A
// malformed header counts as a repeated attempt, which is not repeated again.
func (x *Exchange) Attempt() int {
	n := x.Spelling().Attempt
	vs := x.Request.Header[n]
	if n == "" || len(vs) == 0 {
		return 1
	}
	a, err := strconv.Atoi(vs[0])
	if err != nil || len(vs) > 1 || a < 1 || a > attemptMost {
		return attemptMost
	}
	return a
}
