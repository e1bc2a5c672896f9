package backend

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/dialect"
	"lentilbend.example/internal/load"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/pool"
)

// returnMargin is kept from the time left that a backend server is told, for
// the answer's way back.
const returnMargin = 2 * time.Millisecond

// heldMost is the longest time between the choice of a server and the first
// byte to it. After a longer one, which only a pause of the process explains,
// the key may have been withdrawn and the server taken out meanwhile.
const heldMost = time.Second

// work is the forwarding of one exchange.
type work struct {
	forwarder *Forwarder
	exchange  *exchange.Exchange
	ctx       context.Context
	dialect   *dialect.Dialect
	budget    *budget
	body      *body
	header    http.Header
	// incoming is the number of the attempt that the caller made.
	incoming int
	tried    []netip.AddrPort
	// server is the own name of the server that the request goes to.
	server string
	// reached says that a backend server's application may have seen the
	// request.
	reached bool
	// chosen is when the current server was chosen.
	chosen time.Time
	// size is how much of the answer's body was passed on, in bytes.
	size  int64
	early early
	// values back the header fields that are set here, most of the time.
	values [8]string
	used   int
	load   load.Report
	first  [1]netip.AddrPort
}

// value returns a header field's values, which holds v alone.
func (w *work) value(v string) []string {
	if w.used == len(w.values) {
		return []string{v}
	}
	w.values[w.used] = v
	w.used++
	return w.values[w.used-1 : w.used : w.used]
}

// run makes attempts until one is final.
func (w *work) run() {
	last := w.attempt()
	for w.repeat(last) {
		w.forwarder.counts.retried(last)
		r := w.attempt()
		if _, ok := r.(noServer); ok {
			break
		}
		last = r
	}
	if _, ok := last.(passed); ok {
		if w.forwarder.Budget.Most == nil {
			w.budget.succeeded()
		}
		return
	}
	w.refuse(last)
}

// repeat decides whether another attempt may follow one that ended with r. It
// spends the retry budget.
func (w *work) repeat(r result) bool {
	if len(w.tried) >= w.triesAtMost() || !w.body.again() {
		return false
	}
	switch r.(type) {
	case notSent:
		return true
	case abandoned:
		return true
	case shed:
		return w.incoming == firstAttempt && w.budget.take()
	case broken:
		return w.mayRunAgain() && w.budget.take()
	}
	return false
}

// triesAtMost returns how many servers the request may be sent to.
func (w *work) triesAtMost() int {
	if n := w.exchange.Route.Attempts; n > 0 {
		return min(n, triesAtMost)
	}
	return triesAtMost
}

// mayRunAgain reports whether a request that may have run may be sent again
// here. One that was repeated nearer to the caller is not.
func (w *work) mayRunAgain() bool {
	return w.exchange.Route.Idempotent && w.incoming == firstAttempt && w.body.again()
}

// attempt sends the request to one server, over a second connection when the
// first proves closed before any byte is written.
func (w *work) attempt() result {
	if r := w.ended(); r != nil {
		return r
	}
	w.chosen = w.forwarder.now()
	call, ok := w.forwarder.Chooser.Choose(w.chosen, w.exchange, w.tried)
	if !ok {
		return noServer{}
	}
	w.tried = append(w.tried, call.Server())
	w.server = call.Name()
	for range connsPerTry {
		r, again := w.send(call)
		if !again {
			return r
		}
	}
	w.end(call, choice.NotSent{})
	return notSent{}
}

func (w *work) end(c choice.Call, o choice.Outcome) {
	w.note(c, o)
	c.End(w.forwarder.now(), o)
}

// send makes one try over one connection. It returns true when no byte was
// written and another connection may do better; the call is ended otherwise.
func (w *work) send(call choice.Call) (result, bool) {
	c, err := w.forwarder.Pools.Pool(call.Server()).Take(w.ctx, !w.exchange.Route.Idempotent)
	if err != nil {
		return w.noConn(call, err), false
	}
	if w.forwarder.now().Sub(w.chosen) > heldMost {
		c.Release()
		w.end(call, choice.NotSent{})
		return held{}, false
	}
	var s state
	a, err := w.roundTrip(call, c, &s)
	if err != nil {
		c.Close()
		return w.failed(call, c, &s, err)
	}
	w.exchange.WaitTime += c.TimeToFirstByte()
	return w.head(call, c, &s, a), false
}

// state is whether a request still waits for its answer.
type state struct {
	atomic.Int32
}

// Values of state.
const (
	waiting int32 = iota
	hasAnswer
	isAbandoned
)

func (w *work) noConn(call choice.Call, err error) result {
	if r := w.ended(); r != nil {
		w.end(call, choice.NotSent{})
		return r
	}
	if errors.Is(err, pool.ErrBusy) {
		w.end(call, choice.NotSent{})
		return notSent{}
	}
	w.end(call, choice.Failed{})
	return notSent{}
}

func (w *work) roundTrip(call choice.Call, c *pool.Conn, s *state) (*http.Response, error) {
	w.early.begin(w.exchange.Writer, w.dialect.Private)
	defer w.early.end()
	t := pool.RequestInfo{
		Kind:     w.exchange.Route.Kind,
		Deadline: w.exchange.Deadline,
		Streamed: w.body.streamed(),
	}
	if w.mayRunAgain() && !t.Streamed {
		t.OnSilent = func() { w.abandon(c, s) }
		if v, ok := w.forwarder.Chooser.(Watcher); ok && w.forwarder.WatchEvery > 0 {
			ended := make(chan struct{})
			defer close(ended)
			go w.watch(v, call, c, s, ended)
		}
	}
	return c.RoundTrip(w.request(httptrace.WithClientTrace(w.ctx, &w.early.trace), c.Host()), t)
}

// watch looks after a request in flight until ended, and gives it up when
// another server is expected to answer sooner.
func (w *work) watch(v Watcher, call choice.Call, c *pool.Conn, s *state, ended <-chan struct{}) {
	t := time.NewTicker(w.forwarder.WatchEvery)
	defer t.Stop()
	tried := w.tried[:len(w.tried):len(w.tried)]
	for {
		select {
		case <-ended:
			return
		case <-w.ctx.Done():
			return
		case <-t.C:
		}
		if len(tried) < w.triesAtMost() && v.Behind(w.exchange, call, tried) {
			w.abandon(c, s)
			return
		}
	}
}

// abandon gives a silent request up when the budget pays for another try.
func (w *work) abandon(c *pool.Conn, s *state) {
	if len(w.tried) >= w.triesAtMost() || !w.budget.take() {
		return
	}
	if s.CompareAndSwap(waiting, isAbandoned) {
		c.Close()
	}
}

// request makes the request for the next try.
func (w *work) request(ctx context.Context, host string) *http.Request {
	w.exchange.Attempts++
	if w.exchange.Attempts > 1 {
		w.header = maps.Clone(w.header)
	}
	left := w.exchange.Deadline.Sub(w.forwarder.now())
	if left > 2*returnMargin {
		left -= returnMargin
	}
	w.header[w.dialect.Timeout] = w.value(w.dialect.FormatTimeout(max(0, left)))
	if w.dialect.Attempt != "" {
		w.header[w.dialect.Attempt] = w.value(strconv.Itoa(w.incoming + len(w.tried) - 1))
	}
	if w.dialect.Server != "" && w.server != "" {
		w.header[w.dialect.Server] = w.value(w.server)
	}
	r := w.exchange.Request
	o := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme: "http", Host: host,
			Path: r.URL.Path, RawPath: r.URL.RawPath,
			RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        w.header,
		Body:          w.body.reader(),
		ContentLength: w.body.length,
		Host:          r.Host,
		Trailer:       w.body.trailer,
	}
	return o.WithContext(ctx)
}
