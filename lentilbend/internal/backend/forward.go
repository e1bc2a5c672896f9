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

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/pool"
)

// Forwarder is the last handler of the row. Set the exported fields before
// use.
type Forwarder struct {
	Pools   *pool.Set
	Chooser Chooser
	// Logger takes a line for each attempt that did not bring an answer in
	// time; nil for none.
	Logger log.Logger
	// BodyLimit is the largest body of a request, in bytes.
	BodyLimit int64
	// Budget bounds the retries over all VMs together; the zero value bounds
	// those of this VM by its successes.
	Budget Budget
	// WatchEvery is the time between looks at an idempotent request in flight;
	// 0 for none. It needs a Chooser that is a Watcher.
	WatchEvery time.Duration
	// Now returns the time; time.Now when nil.
	Now func() time.Time

	budgets budgets
	counts  counts
}

// Serve forwards x to a backend server and passes the answer on.
func (f *Forwarder) Serve(x *exchange.Exchange) {
	ctx, cancel := context.WithDeadline(x.Request.Context(), x.Deadline)
	defer cancel()
	w := &work{
		forwarder: f,
		exchange:  x,
		ctx:       ctx,
		dialect:   x.EffectiveDialect(),
		budget:    f.budget(x.Service.Name),
		incoming:  x.Attempt(),
	}
	start := f.now()
	b, err := newBody(x, f.BodyLimit)
	w.body = b
	x.WaitTime += f.now().Sub(start)
	if err != nil {
		w.refuse(w.bodyResult(err))
		return
	}
	w.tried = w.first[:0]
	w.prepare()
	w.run()
}

// budget returns the retry budget of a service, with what this request adds.
func (f *Forwarder) budget(service string) *budget {
	if f.Budget.Most == nil {
		return f.budgets.of(service, budgetStart)
	}
	b := f.budgets.of(service, 0)
	b.asked(f.Budget)
	return b
}

func (f *Forwarder) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

// bodyResult returns the result of an error in reading the caller's body.
func (w *work) bodyResult(err error) result {
	if errors.Is(err, errTooLarge) {
		return badBody{tooLarge: true}
	}
	if r := w.ended(); r != nil {
		return r
	}
	return badBody{}
}

// ended returns expired or gone when the exchange is over, else nil.
func (w *work) ended() result {
	if !w.forwarder.now().Before(w.exchange.Deadline) {
		return expired{}
	}
	err := w.ctx.Err()
	if errors.Is(err, context.DeadlineExceeded) {
		return expired{}
	}
	if err != nil {
		return gone{}
	}
	return nil
}

// refuse ends the exchange by what the last attempt came to.
func (w *work) refuse(r result) {
	x := w.exchange
	w.body.leftUnread(x, w.forwarder.now())
	run := exchange.NotRun
	if w.reached {
		run = exchange.RunUnknown
	}
	switch r := r.(type) {
	case gone, cut:
		w.forwarder.counts.aborted(r)
		x.Aborted = true
		panic(http.ErrAbortHandler)
	case expired:
		x.Refuse(exchange.Refusal{
			Status: http.StatusGatewayTimeout, Run: run, Cause: exchange.CauseDeadline,
			Reason: "The deadline passed without an answer.",
		})
	case badBody:
		w.refuseBody(r, run)
	case shed:
		x.Refuse(exchange.Refusal{
			Status: http.StatusServiceUnavailable, Run: run, Cause: exchange.CauseShed,
			Reason:     "The backend servers did not start the request.",
			RetryAfter: max(time.Second, r.retryAfter),
		})
	case broken, abandoned:
		x.Refuse(exchange.Refusal{
			Status: http.StatusBadGateway, Run: run, Cause: exchange.CauseIncompleteAnswer,
			Reason: "The backend server gave no whole answer.",
		})
	case held:
		x.Refuse(exchange.Refusal{
			Status: http.StatusServiceUnavailable, Run: run, Cause: exchange.CausePaused,
			Reason:     "The entry VM was paused while it held the request.",
			RetryAfter: time.Second,
		})
	default:
		x.Refuse(exchange.Refusal{
			Status: http.StatusServiceUnavailable, Run: run, Cause: exchange.CauseNoServer,
			Reason:     "No backend server could be reached.",
			RetryAfter: time.Second,
		})
	}
}

func (w *work) refuseBody(r badBody, run exchange.Run) {
	if r.tooLarge {
		w.exchange.Refuse(exchange.Refusal{
			Status: http.StatusRequestEntityTooLarge, Run: run, Cause: exchange.CauseTooLarge,
			Reason: "The request's body is too large.",
		})
		return
	}
	w.exchange.Refuse(exchange.Refusal{
		Status: http.StatusBadRequest, Run: run, Cause: exchange.CauseMalformed,
		Reason: "The request's body could not be read.",
	})
}
