// Package exchange holds the state of one request on its way through the
// filters, and the refusals that end it.
package exchange

import (
	"net/http"
	"time"

	"lentilbend.example/internal/dialect"
	"lentilbend.example/internal/table"
)

// Exchange is one request and its answer. Filters set some of the fields, which
// later filters read.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// Dialect gives the header fields of the request and its answer and the
	// syntax of their values; nil for DefaultDialect.
	Dialect *dialect.Dialect
	// Received is when the request's header had been read.
	Received time.Time
	// Deadline is when the request must have ended.
	Deadline time.Time
	// Table is the table that applies to the whole exchange, even if a newer
	// one arrives meanwhile.
	Table *table.Table
	// Route and Service are set by the route filter.
	Route   *table.Route
	Service *table.Service
	// ID is the caller's request ID, as logged; empty when the caller sent
	// none, or one that contains the key.
	ID string
	// Workspace is set by the key filter; nil on an open route when the
	// request has no valid key.
	Workspace *table.Workspace
	// Row holds the limits of Workspace for Service; nil when the table has
	// none.
	Row *table.Row
	// Secret is the key that came with the request, valid or not.
	Secret Secret
	// Status is the HTTP status of the answer or refusal; 0 before it is known.
	Status int
	// Refused is the refusal that ended the exchange, or nil.
	Refused *Refusal
	// HeaderSentAt is when the header of the answer was passed on; zero if
	// none was.
	HeaderSentAt time.Time
	// Aborted says that the caller's connection or stream was reset.
	Aborted bool
	// Attempts counts how often the request was handed to a connection to a
	// backend server; one server may get it over several connections.
	Attempts int
	// WaitTime is how long the exchange waited for the caller's body and for
	// backend servers. It does not count as latency added by the entry VM.
	WaitTime time.Duration
}

// refusalWriteTimeout bounds the writing of a refusal to a slow caller.
const refusalWriteTimeout = 10 * time.Second

// SetWriteDeadline makes writes to the caller fail after t.
func (x *Exchange) SetWriteDeadline(t time.Time) {
	_ = http.NewResponseController(x.Writer).SetWriteDeadline(t)
}

// EffectiveDialect returns Dialect, or DefaultDialect when it is nil.
func (x *Exchange) EffectiveDialect() *dialect.Dialect {
	if x.Dialect == nil {
		return DefaultDialect
	}
	return x.Dialect
}

// RequestID returns the request ID that the caller sent, which may contain the
// key; empty for none.
func (x *Exchange) RequestID() string {
	n := x.EffectiveDialect().RequestID
	if n == "" {
		return ""
	}
	return x.Request.Header.Get(n)
}

// Handler serves an exchange.
type Handler interface {
	Serve(x *Exchange)
}

// HandlerFunc is a function that serves an exchange.
type HandlerFunc func(x *Exchange)

// Serve calls f.
func (f HandlerFunc) Serve(x *Exchange) {
	f(x)
}

// Filter is one step in the chain that a request passes through.
type Filter interface {
	// Filter serves x by calling next, or ends it with a refusal.
	Filter(x *Exchange, next Handler)
}

// Chain returns a handler that passes an exchange through the filters in order
// and then to last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = HandlerFunc(func(x *Exchange) { f.Filter(x, next) })
	}
	return h
}
