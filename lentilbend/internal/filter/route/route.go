// Package route finds the service and the kind of a request by its path.
package route

import (
	"net/http"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Filter refuses requests whose path has no route.
type Filter struct{}

// Filter sets the route, service and deadline of x.
func (Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	r, ok := x.Table.Route(x.Request.URL.Path)
	if !ok {
		x.Refuse(exchange.Refusal{
			Status: http.StatusNotFound,
			Run:    exchange.NotRun,
			Reason: "No route has a prefix of this path.",
		})
		return
	}
	x.Route = r
	x.Service, _ = x.Table.Service(r.Service)
	x.Deadline = x.Received.Add(r.Timeout)
	next.Serve(x)
}
