package exchange

import (
	"fmt"
	"strconv"
	"time"
)

// Headers that are passed on with a request from service to service.
const (
	// TimeoutHeader holds how long the sender will wait for the answer, such
	// as "250ms".
	TimeoutHeader = "Request-Timeout"
	// AttemptHeader holds the number of the attempt, counted from 1.
	AttemptHeader = "Request-Attempt"
	// WorkspaceHeader tells the backend server the workspace that the
	// request's key belongs to. The header is dropped from callers' requests.
	WorkspaceHeader = "Workspace"
)

// Bounds of the headers' values.
const (
	maxTimeout = 24 * time.Hour
	maxAttempt = 1000
)

// Timeout returns how long the caller waits for the answer; false when the
// header is absent. The error says what is wrong with the header.
func (x *Exchange) Timeout() (time.Duration, bool, error) {
	n := x.EffectiveDialect().Timeout
	vs := x.Request.Header[n]
	if len(vs) == 0 {
		return 0, false, nil
	}
	if len(vs) > 1 {
		return 0, false, fmt.Errorf("exchange: header %s is present %d times", n, len(vs))
	}
	d, err := x.EffectiveDialect().ParseTimeout(vs[0])
	if err != nil {
		return 0, false, fmt.Errorf("exchange: header %s: %w", n, err)
	}
	return d, true, nil
}

// FormatTimeout returns the value of TimeoutHeader for the time left, rounded
// down to milliseconds between 1 ms and 1 s, and to microseconds otherwise.
func FormatTimeout(d time.Duration) string {
	if d >= time.Second || d < time.Millisecond {
		return strconv.FormatInt(d.Microseconds(), 10) + "us"
	}
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

// Attempt returns the number of the attempt, 1 when the header is absent. A
// malformed header counts as maxAttempt, so that the request is not retried
// again.
func (x *Exchange) Attempt() int {
	n := x.EffectiveDialect().Attempt
	vs := x.Request.Header[n]
	if n == "" || len(vs) == 0 {
		return 1
	}
	a, err := strconv.Atoi(vs[0])
	if err != nil || len(vs) > 1 || a < 1 || a > maxAttempt {
		return maxAttempt
	}
	return a
}
