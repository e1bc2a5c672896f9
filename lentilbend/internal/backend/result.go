package backend

import (
	"net/http"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"

	"lentilbend.example/lentilbend/internal/pool"
)

// result is how one attempt ended: one of the types below.
type result interface {
	result()
}

// pendingAnswer is an answer whose header was read and whose body was not. No
// attempt ends with it.
type pendingAnswer struct {
	response  *http.Response
	conn      *pool.Conn
	call      choice.Call
	firstByte time.Duration
	load      *load.Report
}

// completed means that the whole answer was passed on.
type completed struct{}

// truncated means that the answer broke off after a part of it was passed on.
type truncated struct{}

// noServer means that there was no server to choose.
type noServer struct {
	// coldRate is set if there were servers in cold start at the limit of their rate.
	coldRate bool
}

// saturated means that the servers could not answer in time.
type saturated struct {
	retryAfter time.Duration
	// expected is the time in which the best server would have answered.
	expected time.Duration
}

// notSent means that no byte was written.
type notSent struct{}

// paused means that the process was paused before any byte was written.
type paused struct{}

// shed means that the server said that it did not start the request.
type shed struct {
	retryAfter time.Duration
	// hadRoom is set if the server had reported free slots.
	hadRoom bool
}

// broken means that bytes were written and no whole, valid answer came.
type broken struct{}

// rerouted means that the attempt was given up so that another server gets the
// request. Its retry has already been taken from the budget.
type rerouted struct{}

// expired means that the deadline passed.
type expired struct{}

// callerGone means that the caller went away or did not read the answer in time.
type callerGone struct{}

// badBody means that the caller's body could not be read or is too large.
type badBody struct {
	tooLarge bool
}

func (pendingAnswer) result() {}
func (completed) result()     {}
func (truncated) result()     {}
func (noServer) result()      {}
func (saturated) result()     {}
func (notSent) result()       {}
func (paused) result()        {}
func (shed) result()          {}
func (broken) result()        {}
func (rerouted) result()      {}
func (expired) result()       {}
func (callerGone) result()    {}
func (badBody) result()       {}
