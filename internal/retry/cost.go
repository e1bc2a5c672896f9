package retry

import "time"

// Request describes a request that is to be retried.
type Request struct {
	// Priority is that of the route; 0 is the highest.
	Priority   int
	Idempotent bool
	// MayHaveRun says that a backend server may have run the request.
	MayHaveRun bool
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Objective is the latency objective; 0 if there is none.
	Objective time.Duration
	// Hedge says that the first attempt is still in flight, so that nothing is lost
	// yet.
	Hedge bool
}

// Parts of the cost of a denied retry.
const (
	// callerRetryPart is the greatest part of the time left that a caller waits before
	// it retries.
	callerRetryPart = 1.0 / 3
	// returnCost is the cost for a caller that can retry itself, relative to one that
	// cannot: it gets its response late, but not an error.
	returnCost = 0.5
)

// Cost returns what the caller loses if r is not retried, from 0 to 1. Priority p counts
// 1/(p+1).
func (r Request) Cost() float64 {
	if r.Left <= 0 || r.MayHaveRun && !r.Idempotent {
		return 0
	}
	c := 1 / float64(max(0, r.Priority)+1)
	if r.callerCanRetry() {
		c *= returnCost
	}
	return c
}

// callerCanRetry reports whether a caller that is refused can retry and get its response
// before the deadline. A caller retries only what is known not to have run.
func (r Request) callerCanRetry() bool {
	return !r.MayHaveRun && time.Duration((1-callerRetryPart)*float64(r.Left)) >= r.Objective
}
