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

// answered holds an answer whose body is still to be read.
type answered struct {
	response *http.Response
	conn     *pool.Conn
	call     choice.Call
	first    time.Duration
	load     *load.Report
}

// passed means that the answer was passed on whole.
type passed struct{}

// cut means that the answer broke off after a part of it was passed on.
type cut struct{}

// noServer means that no server may be chosen.
type noServer struct{}

// notSent means that no byte was written.
type notSent struct{}

// held means that the process was paused before any byte was written.
type held struct{}

// shed means that the server said that it did not start the request.
type shed struct {
	retryAfter time.Duration
}

// broken means that bytes were written and no whole answer came.
type broken struct{}

// abandoned means that the connection went silent and the retry is paid for.
type abandoned struct{}

// expired means that the deadline passed.
type expired struct{}

// gone means that the caller went away.
type gone struct{}

// badBody means that the caller's body could not be read.
type badBody struct {
	tooLarge bool
}

func (answered) result()  {}
func (passed) result()    {}
func (cut) result()       {}
func (noServer) result()  {}
func (notSent) result()   {}
func (held) result()      {}
func (shed) result()      {}
func (broken) result()    {}
func (abandoned) result() {}
func (expired) result()   {}
func (gone) result()      {}
func (badBody) result()   {}
