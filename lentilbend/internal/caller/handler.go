// Package caller serves the callers over HTTP/1.1 and HTTP/2.
package caller

import (
	"net/http"
	"time"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/store"
)

// Handler starts an exchange for each request. Set the exported fields before
// use.
type Handler struct {
	Store *store.Store
	// Next is the row of filters.
	Next exchange.Handler
}

// ServeHTTP passes the request to the filters.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange.Exchange{
		Writer:   w,
		Request:  r,
		Received: time.Now(),
		Table:    h.Store.Table(),
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
