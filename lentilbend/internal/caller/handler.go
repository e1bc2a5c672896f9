// Package caller serves the callers over HTTP/1.1 and HTTP/2.
package caller

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lentilbend.example/internal/dialect"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Handler starts an exchange for each request. Set the exported fields before
// use.
type Handler struct {
	// Table returns the table to go by, or nil while there is none.
	Table func() *table.Table
	// Next is the row of filters.
	Next exchange.Handler
	// Dialect is how callers spell requests; nil for the own interface.
	Dialect *dialect.Dialect
	// HeaderLimit is the largest header of a request, in bytes.
	HeaderLimit int
	// Logger takes a line for each refusal; nil for none.
	Logger log.Logger
	// Metrics takes what became of each request; it may be nil.
	Metrics *Metrics

	leaving atomic.Bool
}

// Leave makes every further answer ask the caller to use another connection.
func (h *Handler) Leave() {
	h.leaving.Store(true)
}

// ServeHTTP passes the request to the filters.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange.Exchange{
		Writer:   w,
		Request:  r,
		Dialect:  h.Dialect,
		Received: time.Now(),
		Table:    h.Table(),
	}
	x.ID = name(x)
	if h.leaving.Load() || chunked(r) {
		w.Header()["Connection"] = closeConnection
	}
	if h.Metrics != nil {
		defer h.Metrics.ended(x)
	}
	if h.Logger != nil {
		defer h.note(x)
	}
	if f := h.check(x); f != nil {
		x.Refuse(*f)
		return
	}
	h.Next.Serve(x)
}

// name returns the name of a request for logs; none where its key stands in it,
// which the key filter refuses.
func name(x *exchange.Exchange) string {
	n := x.RequestID()
	if k, ok := x.EffectiveDialect().Key(x.Request.Header); ok && exchange.NewSecret(k).ContainedIn(n) {
		return ""
	}
	return n
}

// note logs how an exchange ended that brought no answer of a backend server.
func (h *Handler) note(x *exchange.Exchange) {
	if x.Refused == nil && !x.Aborted {
		return
	}
	kv := []any{"msg", "Request was refused.", "id", x.ID}
	if x.Aborted {
		kv[1] = "Request was cut."
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

// headerLimit returns the largest header, by the table where it has one.
func (h *Handler) headerLimit(t *table.Table) int {
	if t.Sizes.Header > 0 {
		return t.Sizes.Header
	}
	return h.HeaderLimit
}

// noTableRetry is when a caller may come back to a process that just began: it
// has a table within some hundred milliseconds, or others do.
const noTableRetry = 250 * time.Millisecond

// closeConnection ends an HTTP/1.1 connection after its answer, and makes the
// library announce the end of an HTTP/2 connection (GOAWAY).
var closeConnection = []string{"close"}

// check returns why a request is refused before any filter, or nil.
func (h *Handler) check(x *exchange.Exchange) *exchange.Refusal {
	if misframed(x.Request) {
		x.Writer.Header()["Connection"] = closeConnection
		return &exchange.Refusal{
			Status: http.StatusBadRequest, Run: exchange.NotRun, Cause: exchange.CauseMalformed,
			Reason: "The framing of the request is ambiguous.",
		}
	}
	if x.Table == nil {
		return &exchange.Refusal{
			Status: http.StatusServiceUnavailable, Run: exchange.NotRun, Cause: exchange.CauseNoTable,
			Reason:     "No table is known yet.",
			RetryAfter: noTableRetry,
		}
	}
	if headerSize(x.Request) > h.headerLimit(x.Table) {
		return &exchange.Refusal{
			Status: http.StatusRequestHeaderFieldsTooLarge, Run: exchange.NotRun, Cause: exchange.CauseTooLarge,
			Reason: "The request's header is too large.",
		}
	}
	if wantsOther(x.Request) {
		return &exchange.Refusal{
			Status: http.StatusNotImplemented, Run: exchange.NotRun, Cause: exchange.CauseNotImplemented,
			Reason: "Tunnels, traces and changes of protocol are not offered.",
		}
	}
	return nil
}
