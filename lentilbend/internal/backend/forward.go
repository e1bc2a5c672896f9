// Package backend forwards requests to backend servers and passes their
// answers on. A request that is not idempotent reaches the application of at
// most one backend server.
package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"lentilbend.example/internal/retry"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/pool"
)

// Forwarder is the last handler of the filter chain. Set the exported fields
// before use.
type Forwarder struct {
	Pools   *pool.Set
	Chooser Chooser
	// Logger gets one line for each attempt without an answer within the
	// route's objective; nil for none.
	Logger log.Logger
	// BodyLimit is the largest allowed request body, in bytes.
	BodyLimit int64
	// FleetBudget bounds the retries over all VMs together. If it is nil, those of
	// this VM are bounded by its successes.
	FleetBudget *retry.Budget
	// RerouteCheckInterval is how often an idempotent request in flight is
	// checked for rerouting; 0 for never. It needs a Chooser that is a Rerouter.
	RerouteCheckInterval time.Duration
	// Now returns the time; time.Now when nil.
	Now func() time.Time

	budgets  budgets
	counters counters
}

// Serve forwards x to a backend server and passes the answer on.
func (f *Forwarder) Serve(x *exchange.Exchange) {
	ctx, cancel := context.WithDeadline(x.Request.Context(), x.Deadline)
	defer cancel()
	g := &forwarding{
		forwarder:     f,
		exchange:      x,
		ctx:           ctx,
		dialect:       x.EffectiveDialect(),
		budget:        f.serviceBudget(x.Service.Name),
		callerAttempt: x.Attempt(),
	}
	start := f.now()
	b, err := newBody(x, f.BodyLimit)
	g.body = b
	x.WaitTime += f.now().Sub(start)
	if err != nil {
		g.refuse(g.bodyResult(err))
		return
	}
	g.tried = g.triedBuffer[:0]
	g.prepareHeader()
	g.run()
}

// serviceBudget returns the retry budget of a service on this VM. It returns nil with a
// fleet budget, which it credits with the request.
func (f *Forwarder) serviceBudget(service string) *budget {
	if f.FleetBudget == nil {
		return f.budgets.get(service)
	}
	f.FleetBudget.AddRequest(f.now(), service)
	return nil
}

func (f *Forwarder) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

// bodyResult returns the result of an error in reading the caller's body.
func (f *forwarding) bodyResult(err error) result {
	if errors.Is(err, errTooLarge) {
		return badBody{tooLarge: true}
	}
	if r := f.interruption(); r != nil {
		return r
	}
	return badBody{}
}

// interruption returns expired after the deadline, callerGone after the caller
// went away, and nil otherwise.
func (f *forwarding) interruption() result {
	if !f.forwarder.now().Before(f.exchange.Deadline) {
		return expired{}
	}
	err := f.ctx.Err()
	if errors.Is(err, context.DeadlineExceeded) {
		return expired{}
	}
	if err != nil {
		return callerGone{}
	}
	return nil
}

// refuse ends the exchange with the refusal for the last attempt's result. It
// aborts the caller's connection or stream when no refusal can be sent.
func (f *forwarding) refuse(r result) {
	x := f.exchange
	f.body.closeIfUnread(x, f.forwarder.now())
	run := exchange.NotRun
	if f.mayHaveRun {
		run = exchange.RunUnknown
	}
	switch r := r.(type) {
	case callerGone, truncated:
		f.forwarder.counters.addAbort(r)
		x.Aborted = true
		panic(http.ErrAbortHandler)
	case expired:
		x.Refuse(exchange.Refusal{
			Status: http.StatusGatewayTimeout, Run: run, Cause: exchange.CauseDeadline,
			Reason: "The deadline passed without an answer.",
		})
	case badBody:
		f.refuseBody(r, run)
	case shed:
		x.Refuse(exchange.Refusal{
			Status: http.StatusServiceUnavailable, Run: run, Cause: exchange.CauseShed,
			Shortage:   f.shedShortage(),
			Reason:     "The backend servers did not start the request.",
			RetryAfter: f.shedRetryAfter(r),
		})
	case saturated:
		f.logSaturated(r)
		x.Refuse(exchange.Refusal{
			Status: http.StatusServiceUnavailable, Run: run, Cause: exchange.CauseSaturated,
			Reason:     "No backend server can answer in time.",
			RetryAfter: r.retryAfter,
		})
	case broken, rerouted:
		x.Refuse(exchange.Refusal{
			Status: http.StatusBadGateway, Run: run, Cause: exchange.CauseIncompleteAnswer,
			Reason: "The backend server gave no whole answer.",
		})
	case paused:
		x.Refuse(exchange.Refusal{
			Status: http.StatusServiceUnavailable, Run: run, Cause: exchange.CausePaused,
			Reason:     "The entry VM was paused while it held the request.",
			RetryAfter: time.Second,
		})
	default:
		x.Refuse(exchange.Refusal{
			Status: http.StatusServiceUnavailable, Run: run, Cause: exchange.CauseNoServer,
			Shortage:   noServerShortage(r),
			Reason:     "No backend server could be reached.",
			RetryAfter: f.retryAfter(time.Second),
		})
	}
}

// Retry-After of a request that no server started.
const (
	// fullRetryAfter gives servers that are full time to answer what they have.
	fullRetryAfter = time.Second
	// faultRetryAfter is for servers that refuse requests although they have room:
	// they may start the next one.
	faultRetryAfter = 50 * time.Millisecond
)

// shedRetryAfter returns after which time the caller of a request that the servers
// did not start may come back.
func (f *forwarding) shedRetryAfter(r shed) time.Duration {
	if r.hadRoom && r.retryAfter == 0 {
		return faultRetryAfter
	}
	return max(f.retryAfter(fullRetryAfter), r.retryAfter)
}

func (f *forwarding) refuseBody(r badBody, run exchange.Run) {
	if r.tooLarge {
		f.exchange.Refuse(exchange.Refusal{
			Status: http.StatusRequestEntityTooLarge, Run: run, Cause: exchange.CauseTooLarge,
			Reason: "The request's body is too large.",
		})
		return
	}
	f.exchange.Refuse(exchange.Refusal{
		Status: http.StatusBadRequest, Run: run, Cause: exchange.CauseMalformed,
		Reason: "The request's body could not be read.",
	})
}
