package backend

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/dialect"
	"lentilbend.example/internal/load"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/pool"
)

// returnMargin is subtracted from the remaining time that a backend server is
// told, to leave time for the answer to travel back.
const returnMargin = 2 * time.Millisecond

// maxSendDelay is the longest time between the choice of a server and sending
// to it. Only a pause of the process makes it longer; meanwhile the key may have
// been withdrawn or the server taken out.
const maxSendDelay = time.Second

// forwarding is the state of one exchange while it is forwarded.
type forwarding struct {
	forwarder *Forwarder
	exchange  *exchange.Exchange
	ctx       context.Context
	dialect   *dialect.Dialect
	// budget is that of the service; nil with a fleet budget.
	budget *budget
	body   *body
	header http.Header
	// callerAttempt is the attempt number that came with the request; above
	// firstAttempt, the request was repeated before it reached this VM.
	callerAttempt int
	// tried are the servers that were chosen so far.
	tried []netip.AddrPort
	// serverName is the name of the current server.
	serverName string
	// mayHaveRun says that a backend server's application may have received
	// the request.
	mayHaveRun bool
	// noFurtherServer says that no server could be chosen for a further attempt.
	noFurtherServer bool
	// chosenAt is when the current server was chosen.
	chosenAt time.Time
	// bytesPassed is how much of the answer's body was passed on.
	bytesPassed   int64
	informational informational
	// The fields below save allocations. valueStore backs the first values
	// that headerValue returns, report the result of loadReport, and
	// triedBuffer the first element of tried.
	valueStore  [8]string
	valuesUsed  int
	report      load.Report
	triedBuffer [1]netip.AddrPort
}

// headerValue returns v as the only value of a header field.
func (f *forwarding) headerValue(v string) []string {
	if f.valuesUsed == len(f.valueStore) {
		return []string{v}
	}
	f.valueStore[f.valuesUsed] = v
	f.valuesUsed++
	return f.valueStore[f.valuesUsed-1 : f.valuesUsed : f.valuesUsed]
}

// run makes attempts until one is final.
func (f *forwarding) run() {
	last := f.attempt()
	for f.takeRetry(last) {
		f.forwarder.counters.addRetry(last)
		r := f.attempt()
		if isUnavailable(r) {
			f.noFurtherServer = true
			break
		}
		last = r
	}
	if _, ok := last.(completed); ok {
		if f.budget != nil {
			f.budget.addSuccess()
		}
		return
	}
	f.refuse(last)
}

// isUnavailable reports whether an attempt ended before a server was chosen, so that
// the result of the attempt before it stands.
func isUnavailable(r result) bool {
	switch r.(type) {
	case noServer, saturated:
		return true
	}
	return false
}

// takeRetry decides whether another attempt may follow one that ended with r,
// and takes the retry from the budget where it costs one. After rerouted it was
// taken already.
func (f *forwarding) takeRetry(r result) bool {
	if len(f.tried) >= f.maxAttempts() {
		return false
	}
	switch r.(type) {
	case notSent, rerouted:
		return f.body.rewind()
	case shed:
		return f.callerAttempt == firstAttempt && f.body.rewind() && f.spendRetry()
	case broken:
		return f.mayRepeatAfterRun() && f.body.rewind() && f.spendRetry()
	}
	return false
}

// maxAttempts returns how many servers the request may be sent to.
func (f *forwarding) maxAttempts() int {
	if n := f.exchange.Route.Attempts; n > 0 {
		return min(n, maxAttempts)
	}
	return maxAttempts
}

// mayRepeatAfterRun reports whether the request may be sent again although it
// may have run. One that was already repeated before it reached this VM may not,
// so that the retries made there and here do not multiply.
func (f *forwarding) mayRepeatAfterRun() bool {
	return f.exchange.Route.Idempotent && f.callerAttempt == firstAttempt && f.body.replayable()
}

// attempt sends the request to one server. It tries another connection, up to
// maxConnsPerAttempt, when one fails before any byte is written.
func (f *forwarding) attempt() result {
	if r := f.interruption(); r != nil {
		return r
	}
	f.chosenAt = f.forwarder.now()
	call, err := f.forwarder.Chooser.Choose(f.chosenAt, f.exchange, f.tried)
	var o *choice.SaturatedError
	if errors.As(err, &o) {
		return saturated{retryAfter: o.RetryAfter, expected: o.Expected}
	}
	if err != nil {
		return noServer{coldRate: errors.Is(err, choice.ErrColdRate)}
	}
	f.tried = append(f.tried, call.Server())
	f.serverName = call.Name()
	for range maxConnsPerAttempt {
		r, again := f.send(call)
		if !again {
			return r
		}
	}
	f.endCall(call, choice.NotSent{})
	return notSent{}
}

// endCall logs and ends a call with its outcome.
func (f *forwarding) endCall(c choice.Call, o choice.Outcome) {
	f.logAttempt(c, o)
	c.End(f.forwarder.now(), o)
}

// send sends the request over one connection. It returns true when no byte was
// written and another connection may succeed; the call has ended otherwise.
func (f *forwarding) send(call choice.Call) (result, bool) {
	c, err := f.forwarder.Pools.Pool(call.Server()).Take(f.ctx, !f.exchange.Route.Idempotent)
	if err != nil {
		return f.handleNoConn(call, err), false
	}
	if f.forwarder.now().Sub(f.chosenAt) > maxSendDelay {
		c.Release()
		f.endCall(call, choice.NotSent{})
		return paused{}, false
	}
	var s attemptState
	a, err := f.roundTrip(call, c, &s)
	if err != nil {
		c.Close()
		return f.handleError(call, c, &s, err)
	}
	f.exchange.WaitTime += c.TimeToFirstByte()
	return f.handleAnswer(call, c, &s, a), false
}

// attemptState decides between an answer and a concurrent reroute: whichever
// first replaces stateWaiting wins.
type attemptState struct {
	atomic.Int32
}

// Values of attemptState.
const (
	stateWaiting int32 = iota
	stateAnswered
	stateRerouted
)

// handleNoConn ends an attempt that got no connection.
func (f *forwarding) handleNoConn(call choice.Call, err error) result {
	if r := f.interruption(); r != nil {
		f.endCall(call, choice.NotSent{})
		return r
	}
	if errors.Is(err, pool.ErrBusy) {
		f.endCall(call, choice.NotSent{})
		return notSent{}
	}
	f.endCall(call, choice.Failed{NoConn: true})
	return notSent{}
}

func (f *forwarding) roundTrip(call choice.Call, c *pool.Conn, s *attemptState) (*http.Response, error) {
	f.informational.begin(f.exchange.Writer, f.dialect)
	defer f.informational.end()
	i := pool.RequestInfo{
		Kind:     f.exchange.Route.Kind,
		Deadline: f.exchange.Deadline,
		Streamed: f.body.streamed(),
	}
	if f.mayRepeatAfterRun() && !i.Streamed && len(f.tried) < f.maxAttempts() {
		i.OnSilent = func() { f.reroute(c, s) }
		if v, ok := f.forwarder.Chooser.(Rerouter); ok && f.forwarder.RerouteCheckInterval > 0 {
			ended := make(chan struct{})
			defer close(ended)
			go f.watchInFlight(v, call, slices.Clone(f.tried), c, s, ended)
		}
	}
	return c.RoundTrip(f.newRequest(httptrace.WithClientTrace(f.ctx, &f.informational.trace), c.Host()), i)
}

// watchInFlight checks a request in flight until ended is closed, and reroutes
// it when another server, which is not in tried, is expected to answer sooner.
func (f *forwarding) watchInFlight(v Rerouter, call choice.Call, tried []netip.AddrPort, c *pool.Conn, s *attemptState, ended <-chan struct{}) {
	t := time.NewTicker(f.forwarder.RerouteCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ended:
			return
		case <-f.ctx.Done():
			return
		case <-t.C:
		}
		if v.ShouldReroute(f.exchange, call, tried) {
			f.reroute(c, s)
			return
		}
	}
}

// reroute gives the attempt up, by closing its connection, when the budget has a retry
// left. It may be called after the attempt has ended.
func (f *forwarding) reroute(c *pool.Conn, s *attemptState) {
	if !f.spendHedge() {
		return
	}
	if s.CompareAndSwap(stateWaiting, stateRerouted) {
		c.Close()
	}
}

// newRequest returns the request to send next. From the second one on it clones
// the header, which the transport may still be reading for the one before.
func (f *forwarding) newRequest(ctx context.Context, host string) *http.Request {
	f.exchange.Attempts++
	if f.exchange.Attempts > 1 {
		f.header = maps.Clone(f.header)
	}
	left := f.exchange.Deadline.Sub(f.forwarder.now())
	if left > 2*returnMargin {
		left -= returnMargin
	}
	f.header[f.dialect.Timeout] = f.headerValue(f.dialect.FormatTimeout(max(0, left)))
	if f.dialect.Attempt != "" {
		f.header[f.dialect.Attempt] = f.headerValue(strconv.Itoa(f.callerAttempt + len(f.tried) - 1))
	}
	if f.dialect.Server != "" && f.serverName != "" {
		f.header[f.dialect.Server] = f.headerValue(f.serverName)
	}
	r := f.exchange.Request
	body, trailer := f.body.newReader()
	o := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme: "http", Host: host,
			Path: r.URL.Path, RawPath: r.URL.RawPath,
			RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:           f.header,
		Body:             body,
		ContentLength:    f.body.length,
		TransferEncoding: f.body.transferEncoding(),
		Host:             r.Host,
		Trailer:          trailer,
	}
	return o.WithContext(ctx)
}
