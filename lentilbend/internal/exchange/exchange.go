// Package exchange holds the state of one request on its way through the
// filters, and the refusals that end it.
package exchange

import (
	"net/http"
	"time"

	"lentilbend.example/internal/dialect"
	"lentilbend.example/internal/table"
)

// Exchange is one request and its answer. A filter sets the fields that it is
// named for; later filters read them.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// Dialect is how the request and its answer are spelled; nil for Own.
	Dialect *dialect.Dialect
	// Received is when the request's header was read.
	Received time.Time
	// Deadline is when the request must have ended.
	Deadline time.Time
	// Table is the revision that the whole exchange goes by.
	Table *table.Table
	// Route and Service are set by the route filter.
	Route   *table.Route
	Service *table.Service
	// ID names the request in logs; empty when the caller gave no name.
	ID string
	// Workspace is set by the key filter; nil on a route open to all.
	Workspace *table.Workspace
	// Row is what Workspace may take of Service; nil when it has none.
	Row *table.Row
	// Secret is the key that came with the request, also one that is not in
	// force.
	Secret Secret
	// Status is that of the answer or refusal; 0 before it is known.
	Status int
	// Refused is the refusal that ended the exchange, or nil.
	Refused *Refusal
	// Headed is when the head of the answer was passed on.
	Headed time.Time
	// Aborted says that the caller's connection or stream was reset.
	Aborted bool
	// Attempts counts how often the request was sent to a backend server.
	Attempts int
	// Spent is how long the exchange waited for backend servers.
	Spent time.Duration
}

// refusalTimeout is how long a caller may take to read a refusal.
const refusalTimeout = 10 * time.Second

// LimitWriting ends writes to the caller that last beyond t.
func (x *Exchange) LimitWriting(t time.Time) {
	_ = http.NewResponseController(x.Writer).SetWriteDeadline(t)
}

// Spelling returns the dialect of the exchange.
func (x *Exchange) Spelling() *dialect.Dialect {
	if x.Dialect == nil {
		return Own
	}
	return x.Dialect
}

// RequestName returns the name that the caller gave the request; empty for none.
func (x *Exchange) RequestName() string {
	n := x.Spelling().RequestID
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

// Filter is one step in the row that a request passes.
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
