// Package shutdown refuses requests that may outlast the graceful shutdown of the
// process.
package shutdown

import (
	"net/http"
	"sync/atomic"
	"time"

	"lentilbend.example/lentilbend/internal/exchange"
)

// CauseStopping is the cause of the filter's refusals.
const CauseStopping = exchange.CauseStopping

// answerMargin is the time to pass on an answer that arrives at the deadline.
const answerMargin = 100 * time.Millisecond

// Filter refuses requests whose deadline is after the end of the graceful shutdown,
// when they would be aborted. It must come after the route filter.
type Filter struct {
	end atomic.Pointer[time.Time]
}

// SetEnd sets the time at which the graceful shutdown ends.
func (f *Filter) SetEnd(t time.Time) {
	f.end.Store(&t)
}

// Filter passes x on if it ends before the graceful shutdown. Another VM can take a
// refused request at once, so the refusal has no Retry-After.
func (f *Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	end := f.end.Load()
	if end == nil || !x.Deadline.After(end.Add(-answerMargin)) {
		next.Serve(x)
		return
	}
	x.Refuse(exchange.Refusal{
		Status: http.StatusServiceUnavailable,
		Run:    exchange.NotRun,
		Cause:  CauseStopping,
		Reason: "The entry VM is stopping.",
	})
}
