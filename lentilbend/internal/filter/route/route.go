// Package route finds the route and service of a request by its host and path, and
// sets the request's deadline.
package route

import (
	"math/rand/v2"
	"net/http"
	"strings"

	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Filter refuses requests without a route.
type Filter struct{}

// Filter sets the route, service and deadline of x.
func (Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	if !isNormalized(x.Request.URL.Path) {
		refuseMalformed(x, "The path is not in normal form: it has an empty, \".\" or \"..\" segment.")
		return
	}
	r, ok := x.Table.Route(Hostname(x.Request.Host), x.Request.URL.Path)
	if !ok {
		x.Refuse(exchange.Refusal{
			Status: http.StatusNotFound,
			Run:    exchange.NotRun,
			Cause:  exchange.CauseNoRoute,
			Reason: "No route has a prefix of this path.",
		})
		return
	}
	if !encodedPathMatches(x, r) {
		refuseMalformed(x, "The path has another route when its percent-encoding is left as it is.")
		return
	}
	x.Route = r
	if x.Service, ok = x.Table.Service(pickService(r)); !ok {
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
		refuseMalformed(x, "The header "+x.EffectiveDialect().Timeout+" is malformed.")
		return
	}
	x.Deadline = x.Received.Add(r.Timeout)
	if given && t < r.Timeout {
		x.Deadline = x.Received.Add(t)
	}
	next.Serve(x)
}

// Hostname returns a request's host in lower case, without the port.
func Hostname(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// pickService returns the service of a request. If the route splits its traffic, it
// is chosen at random by weight.
func pickService(r *table.Route) string {
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

// refuseMalformed refuses a request with status 400.
func refuseMalformed(x *exchange.Exchange, reason string) {
	x.Refuse(exchange.Refusal{
		Status: http.StatusBadRequest,
		Run:    exchange.NotRun,
		Cause:  exchange.CauseMalformed,
		Reason: reason,
	})
}

// isNormalized reports whether a decoded path stays the same in a backend server
// that merges slashes or resolves dot segments, also those between backslashes.
// Otherwise a request could reach a path under the rules of another route, for
// example without a key or with retries that the path's own route doesn't allow.
func isNormalized(path string) bool {
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

// encodedPathMatches reports whether the path in its original percent-encoding has
// the route r too, since a backend server may not decode it.
func encodedPathMatches(x *exchange.Exchange, r *table.Route) bool {
	if x.Request.URL.RawPath == "" {
		return true
	}
	e, ok := x.Table.Route(Hostname(x.Request.Host), x.Request.URL.RawPath)
	return ok && e == r
}
