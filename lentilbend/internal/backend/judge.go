package backend

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"

	"lentilbend.example/lentilbend/internal/pool"
)

// failed judges a round trip without an answer.
func (w *work) failed(call choice.Call, c *pool.Conn, s *state, err error) (result, bool) {
	sent := c.Written()
	w.reached = w.reached || sent
	if e := w.body.failure(); e != nil {
		w.end(call, choice.Cancelled{})
		return w.bodyResult(e), false
	}
	if r := w.ended(); r != nil {
		w.endOver(call, r, sent)
		return r, false
	}
	if !sent {
		return w.unsent(call, err)
	}
	if s.Load() == isAbandoned {
		w.end(call, choice.Cancelled{})
		return abandoned{}, false
	}
	w.end(call, choice.Failed{})
	return broken{}, false
}

// unsent judges a round trip of which no byte was written.
func (w *work) unsent(call choice.Call, err error) (result, bool) {
	if !errors.Is(err, pool.ErrDeadlinePassed) && w.body.again() {
		return nil, true
	}
	w.end(call, choice.NotSent{})
	if errors.Is(err, pool.ErrDeadlinePassed) {
		return expired{}, false
	}
	return notSent{}, false
}

// endOver ends a call whose exchange is over.
func (w *work) endOver(call choice.Call, r result, sent bool) {
	_, late := r.(expired)
	switch {
	case !sent:
		w.end(call, choice.NotSent{})
	case late:
		w.end(call, choice.TimedOut{})
	default:
		w.end(call, choice.Cancelled{})
	}
}

// head judges an answer by its head, and passes it on.
func (w *work) head(call choice.Call, c *pool.Conn, s *state, a *http.Response) result {
	if !s.CompareAndSwap(waiting, hasAnswer) {
		w.reached = true
		c.Close()
		w.end(call, choice.Cancelled{})
		return abandoned{}
	}
	first := c.TimeToFirstByte()
	c.RecordAnswer(first)
	if !w.own(a) {
		w.reached = true
		c.Close()
		w.end(call, choice.Spoiled{})
		return broken{}
	}
	if w.dialect.NotRun(a.StatusCode, a.Header) {
		w.finish(c, a)
		w.end(call, choice.Shed{Load: w.report(a.Header)})
		return shed{retryAfter: retryAfter(a.Header)}
	}
	w.reached = true
	if w.unfit(a) {
		c.Close()
		w.end(call, choice.Spoiled{})
		return broken{}
	}
	return w.pass(answered{response: a, conn: c, call: call, first: first, load: w.report(a.Header)})
}

// own reports whether an answer belongs to this request. An answer that came
// late, or twice, may stand where the next one is expected.
func (w *work) own(a *http.Response) bool {
	n := w.dialect.RequestID
	if n == "" || w.exchange.ID == "" {
		return true
	}
	return a.Header.Get(n) == w.exchange.ID
}

// unfit reports whether an answer must not be passed on: a success that is not
// the server's own bytes, or a status that would promise that the request did
// not run.
func (w *work) unfit(a *http.Response) bool {
	if a.StatusCode == http.StatusSwitchingProtocols {
		return true
	}
	if w.dialect.Signature != "" && a.StatusCode/100 == 2 &&
		(a.Header.Get(w.dialect.Signature) == "" || a.Header.Get("Content-Encoding") != "") {
		return true
	}
	if !w.dialect.StatusPromises {
		return false
	}
	switch a.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return a.StatusCode >= http.StatusInternalServerError && w.mayRunAgain() && len(w.tried) < w.triesAtMost()
}

// finish reads the short rest of an answer, so that its connection can be used
// again.
func (w *work) finish(c *pool.Conn, a *http.Response) {
	if _, err := io.CopyN(io.Discard, a.Body, bufferSize); err != io.EOF {
		c.Close()
		return
	}
	c.Release()
}

// report returns the load that the server reports, or nil.
func (w *work) report(h http.Header) *load.Report {
	r, ok := w.dialect.Load(h)
	if !ok {
		return nil
	}
	w.load = r
	return &w.load
}

// retryAfter returns the server's Retry-After in seconds, or 0.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 || n > 3600 {
		return 0
	}
	return time.Duration(n) * time.Second
}
