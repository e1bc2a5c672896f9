// Package route finds the service and the kind of a request by its path, and
// sets its deadline.
package route

import (
	"math/rand/v2"
	"net/http"
	"strings"

	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Filter refuses requests whose path has no route.
type Filter struct{}

// Filter sets the route, service and deadline of x.
func (Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	if !normal(x.Request.URL.Path) {
		refuse(x, "The path is not in normal form: it has an empty, \".\" or \"..\" segment.")
		return
	}
	r, ok := x.Table.Route(host(x.Request.Host), x.Request.URL.Path)
	if !ok {
		x.Refuse(exchange.Refusal{
			Status: http.StatusNotFound,
			Run:    exchange.NotRun,
			Cause:  exchange.CauseNoRoute,
			Reason: "No route has a prefix of this path.",
		})
		return
	}
	if !sameEncoded(x, r) {
		refuse(x, "The path has another route when its percent-encoding is left as it is.")
		return
	}
	x.Route = r
	if x.Service, ok = x.Table.Service(pick(r)); !ok {
		x.Refuse(exchange.Refusal{
			Status: http.StatusServiceUnavailable,
			Run:    exchange.NotRun,
			Cause:  exchange.CauseNoServer,
			Reason: "The route's service is not in the table.",
		})
		return
	}
	t, given, err := x.Timeout()
	if err != nil {
		refuse(x, "The header "+x.EffectiveDialect().Timeout+" is malformed.")
		return
	}
	x.Deadline = x.Received.Add(r.Timeout)
	if given && t < r.Timeout {
		x.Deadline = x.Received.Add(t)
	}
	next.Serve(x)
}

// host returns the host that a request names, without a port.
func host(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// pick returns the service of a request, by chance where the route is split.
func pick(r *table.Route) string {
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	if total <= 0 {
		return r.Service
	}
	n := rand.Float64() * total
	for _, p := range r.Split {
		if n -= p.Weight; n < 0 {
			return p.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

func refuse(x *exchange.Exchange, reason string) {
	x.Refuse(exchange.Refusal{
		Status: http.StatusBadRequest,
		Run:    exchange.NotRun,
		Cause:  exchange.CauseMalformed,
		Reason: reason,
	})
}

// normal reports whether a decoded path means the same to a backend server
// that resolves dot segments or merges slashes. Otherwise a path could pass by
// the route of another that needs a key or is not idempotent.
func normal(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "//") {
		return false
	}
	if !strings.Contains(path, "/.") && !strings.Contains(path, `\`) {
		return true
	}
	for s := range strings.SplitSeq(strings.ReplaceAll(path, `\`, "/"), "/") {
		if s == "." || s == ".." {
			return false
		}
	}
	return true
}

// sameEncoded reports whether the path as it was sent has the route r too.
func sameEncoded(x *exchange.Exchange, r *table.Route) bool {
	if x.Request.URL.RawPath == "" {
		return true
	}
	e, ok := x.Table.Route(host(x.Request.Host), x.Request.URL.RawPath)
	return ok && e == r
}
