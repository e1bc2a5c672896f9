// Package caller is the HTTP server for callers, the clients of the load
// balancer. It accepts HTTP/1.1 and HTTP/2 and shuts down without aborting
// requests.
package caller

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lentilbend.example/internal/dialect"
	"lentilbend.example/internal/table"
	"lentilbend.example/internal/timer"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/filter/route"
	"lentilbend.example/lentilbend/internal/http1"
)

// Handler creates an exchange for each request and passes it to the filters. Set
// the exported fields before use.
type Handler struct {
	// Table returns the current table, or nil while there is none.
	Table func() *table.Table
	// TableWaitUntil is when requests no longer wait for the first table; zero if they
	// never do. A process that has just restarted has a table within a few hundred
	// milliseconds, which is sooner than its callers could come back.
	TableWaitUntil time.Time
	// Next is the chain of filters.
	Next exchange.Handler
	// Dialect defines the headers that callers use; nil for
	// exchange.DefaultDialect.
	Dialect *dialect.Dialect
	// HeaderLimit is the largest allowed header of a request, in bytes, if the
	// table sets none.
	HeaderLimit int
	// Logger logs each refused or aborted request; nil disables logging.
	Logger log.Logger
	// Metrics counts the requests; it may be nil.
	Metrics *Metrics

	draining atomic.Bool
}

// StartDrain makes every further answer tell the caller to use another
// connection.
func (h *Handler) StartDrain() {
	h.draining.Store(true)
}

// ServeHTTP refuses invalid requests and passes the others to the filters.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange.Exchange{
		Writer:   w,
		Request:  r,
		Dialect:  h.Dialect,
		Received: time.Now(),
		Table:    h.awaitTable(r.Context()),
	}
	x.ID = requestID(x)
	if a, ok := w.(http1.ArrivalRecorder); ok {
		x.Received = a.ReceivedAt()
	}
	if h.draining.Load() {
		w.Header()["Connection"] = closeConnection
	}
	if h.Metrics != nil {
		defer h.Metrics.record(x)
	}
	if h.Logger != nil {
		defer h.logFailure(x)
	}
	if f := h.check(x); f != nil {
		x.Refuse(*f)
		return
	}
	h.Next.Serve(x)
}

// awaitTable returns the current table. While there is none, it waits for one until
// TableWaitUntil, or until the caller is gone.
func (h *Handler) awaitTable(ctx context.Context) *table.Table {
	t := h.Table()
	for t == nil && time.Now().Before(h.TableWaitUntil) && timer.Sleep(ctx, tableCheckInterval) {
		t = h.Table()
	}
	return t
}

// refuseMalformed refuses what is not a valid HTTP/1 request. Nothing of it is
// passed on.
func (h *Handler) refuseMalformed(w http.ResponseWriter, r *http.Request, e *http1.Error) {
	x := &exchange.Exchange{Writer: w, Request: r, Dialect: h.Dialect, Received: time.Now()}
	if h.Metrics != nil {
		defer h.Metrics.record(x)
	}
	if h.Logger != nil {
		defer h.logFailure(x)
	}
	cause := exchange.CauseMalformed
	switch e.Status {
	case http.StatusRequestHeaderFieldsTooLarge:
		cause = exchange.CauseTooLarge
	case http.StatusNotImplemented:
		cause = exchange.CauseNotImplemented
	}
	x.Refuse(exchange.Refusal{Status: e.Status, Run: exchange.NotRun, Cause: cause, Reason: e.Reason})
}

// mayRunConcurrently reports whether a request may run beside others of its
// connection, because its route allows it to run more than once.
func (h *Handler) mayRunConcurrently(r *http.Request) bool {
	t := h.Table()
	if t == nil {
		return false
	}
	u, ok := t.Route(route.Hostname(r.Host), r.URL.Path)
	return ok && u.Idempotent
}

// logPanic logs the panic of a filter, which ends only its own request.
func (h *Handler) logPanic(v any) {
	if h.Logger != nil {
		_ = level.Error(h.Logger).Log("msg", "A request's handler has panicked.", "panic", v, "stack", string(debug.Stack()))
	}
}

// requestID returns the request's ID for logs. It is empty if the ID contains the
// key, so that the key is not logged; the key filter refuses such a request.
func requestID(x *exchange.Exchange) string {
	n := x.RequestID()
	if k, ok := x.EffectiveDialect().Key(x.Request.Header); ok && exchange.NewSecret(k).ContainedIn(n) {
		return ""
	}
	return n
}

// logFailure logs the exchange if it was refused or aborted.
func (h *Handler) logFailure(x *exchange.Exchange) {
	if x.Refused == nil && !x.Aborted {
		return
	}
	kv := []any{"msg", "Request was refused.", "id", x.ID}
	if x.Aborted {
		kv[1] = "Request was aborted."
	} else {
		kv = append(kv, "status", x.Status, "cause", x.Refused.Cause, "run", x.Refused.Run, "retryAfter", x.Refused.RetryAfter)
	}
	if x.Route != nil {
		kv = append(kv, "kind", x.Route.Kind, "left", time.Until(x.Deadline).Round(time.Millisecond))
	}
	if x.Service != nil {
		kv = append(kv, "service", x.Service.Name)
	}
	if x.Workspace != nil {
		kv = append(kv, "workspace", x.Workspace.Name)
	}
	if x.Table != nil {
		kv = append(kv, "table", x.Table.Revision)
	}
	kv = append(kv, "attempts", x.Attempts, "took", time.Since(x.Received).Round(time.Millisecond))
	_ = level.Info(h.Logger).Log(kv...)
}

// headerLimit returns the largest allowed header in bytes. The table takes
// precedence over HeaderLimit.
func (h *Handler) headerLimit(t *table.Table) int {
	if t.Sizes.Header > 0 {
		return t.Sizes.Header
	}
	return h.HeaderLimit
}

// noTableRetryAfter is the Retry-After of a process without a table. It has a
// table a few hundred milliseconds after its start, and the retry may reach
// another VM that has one.
const noTableRetryAfter = 250 * time.Millisecond

// tableCheckInterval is the time between checks for the first table.
const tableCheckInterval = 10 * time.Millisecond

// closeConnection is the Connection header that ends an HTTP/1.1 connection after
// the answer and makes net/http send GOAWAY on an HTTP/2 connection.
var closeConnection = []string{"close"}

// check returns the refusal of a request that must not reach the filters, or nil.
func (h *Handler) check(x *exchange.Exchange) *exchange.Refusal {
	if x.Table == nil {
		return &exchange.Refusal{
			Status: http.StatusServiceUnavailable, Run: exchange.NotRun, Cause: exchange.CauseNoTable,
			Reason:     "No table is known yet.",
			RetryAfter: noTableRetryAfter,
		}
	}
	if headerSize(x.Request) > h.headerLimit(x.Table) {
		return &exchange.Refusal{
			Status: http.StatusRequestHeaderFieldsTooLarge, Run: exchange.NotRun, Cause: exchange.CauseTooLarge,
			Reason: "The request's header is too large.",
		}
	}
	if isUnsupported(x.Request) {
		return &exchange.Refusal{
			Status: http.StatusNotImplemented, Run: exchange.NotRun, Cause: exchange.CauseNotImplemented,
			Reason: "Tunnels, traces and changes of protocol are not offered.",
		}
	}
	return nil
}
