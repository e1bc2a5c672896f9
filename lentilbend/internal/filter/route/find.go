package route

import (
	"errors"
	"net/http"
	"net/url"

	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Errors of Find.
var (
	// ErrMalformed means that the filter refuses the path with status 400.
	ErrMalformed = errors.New("route: the path is not in normal form, or has another route with its percent-encoding left as it is")
	// ErrNoRoute means that the filter refuses the request with status 404.
	ErrNoRoute = errors.New("route: no route has this host and a prefix of this path")
)

// Find returns the route that the filter sets for a request to a host and URL.
func Find(t *table.Table, host string, u *url.URL) (*table.Route, error) {
	if !isNormalized(u.Path) {
		return nil, ErrMalformed
	}
	r, ok := t.Route(Hostname(host), u.Path)
	if !ok {
		return nil, ErrNoRoute
	}
	if !encodedPathMatches(&exchange.Exchange{Table: t, Request: &http.Request{Host: host, URL: u}}, r) {
		return nil, ErrMalformed
	}
	return r, nil
}

// Parts returns the services that get requests of a route, with the fraction of them that
// each gets.
func Parts(r *table.Route) []table.SplitTarget {
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	if total <= 0 {
		return []table.SplitTarget{{Service: r.Service, Weight: 1}}
	}
	ps := make([]table.SplitTarget, 0, len(r.Split))
	for _, p := range r.Split {
		ps = append(ps, table.SplitTarget{Service: p.Service, Weight: p.Weight / total})
	}
	return ps
}
