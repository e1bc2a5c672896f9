package backend

import (
	"errors"
	"io"
	"net/http"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/dialect"
	"lentilbend.example/internal/load"

	"lentilbend.example/lentilbend/internal/pool"
)

// handleError handles a round trip without an answer. It returns true when
// the attempt may go on over another connection; the call has ended otherwise.
func (f *forwarding) handleError(call choice.Call, c *pool.Conn, s *attemptState, err error) (result, bool) {
	sent := c.Written()
	f.mayHaveRun = f.mayHaveRun || sent
	if e := f.body.readError(); e != nil {
		f.endCall(call, choice.Cancelled{})
		return f.bodyResult(e), false
	}
	if r := f.interruption(); r != nil {
		f.endInterrupted(call, r, sent)
		return r, false
	}
	if !sent {
		return f.handleUnsent(call, err)
	}
	if s.Load() == stateRerouted {
		f.endCall(call, choice.Cancelled{})
		return rerouted{}, false
	}
	f.endCall(call, choice.Failed{})
	return broken{}, false
}

// handleUnsent handles a failed round trip of which no byte was written; it
// returns the same as handleError.
func (f *forwarding) handleUnsent(call choice.Call, err error) (result, bool) {
	if !errors.Is(err, pool.ErrDeadlinePassed) && f.body.rewind() {
		return nil, true
	}
	f.endCall(call, choice.NotSent{})
	if errors.Is(err, pool.ErrDeadlinePassed) {
		return expired{}, false
	}
	return notSent{}, false
}

// endInterrupted ends a call with the outcome for r, the interruption of its
// exchange.
func (f *forwarding) endInterrupted(call choice.Call, r result, sent bool) {
	_, timedOut := r.(expired)
	switch {
	case !sent:
		f.endCall(call, choice.NotSent{})
	case timedOut:
		f.endCall(call, choice.TimedOut{})
	default:
		f.endCall(call, choice.Cancelled{})
	}
}

// handleAnswer decides by an answer's header whether to pass the answer on, and
// does so.
func (f *forwarding) handleAnswer(call choice.Call, c *pool.Conn, s *attemptState, a *http.Response) result {
	f.recordNotice(call, a)
	if !s.CompareAndSwap(stateWaiting, stateAnswered) {
		f.mayHaveRun = true
		c.Close()
		f.endCall(call, choice.Cancelled{})
		return rerouted{}
	}
	firstByte := c.TimeToFirstByte()
	c.RecordAnswer(firstByte)
	if !pool.IsValidFinal(a) || !f.matchesRequest(a) {
		f.mayHaveRun = true
		c.Close()
		f.endCall(call, choice.BadAnswer{})
		return broken{}
	}
	if f.dialect.NotRun(a.StatusCode, a.Header) {
		f.discardBody(c, a)
		f.endCall(call, choice.Shed{Load: f.loadReport(a.Header)})
		return shed{retryAfter: f.callerRetryAfter(a), hadRoom: call.Basis().HadRoom()}
	}
	f.mayHaveRun = true
	if f.mustNotPass(a) {
		c.Close()
		f.endCall(call, choice.BadAnswer{})
		return broken{}
	}
	return f.passAnswer(pendingAnswer{response: a, conn: c, call: call, firstByte: firstByte, load: f.loadReport(a.Header)})
}

// recordNotice records what the server says of itself in the answer.
func (f *forwarding) recordNotice(call choice.Call, a *http.Response) {
	n := choice.ParseNotice(f.dialect, a.StatusCode, a.Header)
	if n != (choice.Notice{}) && pool.IsValidFinal(a) && f.matchesRequest(a) {
		call.Record(f.forwarder.now(), n)
	}
}

// matchesRequest reports whether an answer belongs to this request, by the
// request ID that it echoes. A late or duplicate answer to an earlier request on
// the connection may arrive in its place.
func (f *forwarding) matchesRequest(a *http.Response) bool {
	n := f.dialect.RequestID
	if n == "" || f.exchange.ID == "" {
		return true
	}
	return a.Header.Get(n) == f.exchange.ID
}

// mustNotPass reports whether an answer must not be passed on: a success that the
// server did not sign or that was re-encoded on the way, or, if the dialect has
// StatusTellsNotRun, a status that would tell the caller that the request did not
// run. With that dialect it also holds back a server error while the request can
// still be sent to another server.
func (f *forwarding) mustNotPass(a *http.Response) bool {
	if f.dialect.Signature != "" && a.StatusCode/100 == 2 &&
		(a.Header.Get(f.dialect.Signature) == "" || a.Header.Get("Content-Encoding") != "") {
		return true
	}
	if !f.dialect.StatusTellsNotRun {
		return false
	}
	switch a.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return a.StatusCode >= http.StatusInternalServerError && f.mayRepeatAfterRun() && len(f.tried) < f.maxAttempts()
}

// discardBody reads the rest of a short answer, so that its connection can be
// reused. It closes the connection of a longer one.
func (f *forwarding) discardBody(c *pool.Conn, a *http.Response) {
	if _, err := io.CopyN(io.Discard, a.Body, bufferSize); err != io.EOF {
		c.Close()
		return
	}
	c.Release()
}

// loadReport returns the load report on an answer, or nil.
func (f *forwarding) loadReport(h http.Header) *load.Report {
	r, ok := f.dialect.ParseLoad(h)
	if !ok {
		return nil
	}
	f.report = r
	return &f.report
}

// callerRetryAfter returns the pause that the server asked for if the service has no
// other server, else 0.
func (f *forwarding) callerRetryAfter(a *http.Response) time.Duration {
	if len(f.exchange.Service.Servers) > 1 {
		return 0
	}
	return dialect.ParseRetryAfter(a.Header)
}
