// Package caller serves the callers over HTTP/1.1 and HTTP/2.
package caller

import (
	"net/http"
	"time"

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
}

// ServeHTTP passes the request to the filters.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange.Exchange{
		Writer:   w,
		Request:  r,
		Received: time.Now(),
		Table:    h.Table(),
	}
	if x.Table == nil {
		x.Refuse(exchange.Refusal{
			Status:     http.StatusServiceUnavailable,
			Run:        exchange.NotRun,
			Reason:     "No table is known yet.",
			RetryAfter: time.Second,
		})
		return
	}
	h.Next.Serve(x)
}
