// Package key finds the workspace that a request's key belongs to, and takes
// the key out of the request.
package key

import (
	"net/http"
	"strings"

	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
)

// scheme is the authentication scheme of a key, compared without case.
const scheme = "bearer"

// MaxLength is the longest key that is looked up, in bytes.
const MaxLength = 1024

// Filter refuses requests without a key in force, but for open routes. The
// route must be known before it.
type Filter struct{}

// Filter sets the workspace and row of x and takes the key out of the request.
func (Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	k, ok := Parse(x.Request.Header)
	x.Secret = exchange.NewSecret(k)
	if ok {
		x.Workspace, ok = x.Table.KeyHolder(table.NewDigest(k))
	}
	if !ok && !x.Route.Open {
		x.Refuse(exchange.Refusal{
			Status: http.StatusUnauthorized,
			Run:    exchange.NotRun,
			Cause:  exchange.CauseNoKey,
			Reason: "The request has no key in force.",
		})
		return
	}
	if !Strip(x.Request, x.Secret) {
		x.Refuse(exchange.Refusal{
			Status: http.StatusBadRequest,
			Run:    exchange.NotRun,
			Cause:  exchange.CauseMalformed,
			Reason: "The key stands in the path, method or host.",
		})
		return
	}
	if ok {
		x.Row, _ = x.Service.Row(x.Workspace.Name)
	}
	next.Serve(x)
}

// Parse returns the key of the only Authorization header.
func Parse(h http.Header) (string, bool) {
	vs := h["Authorization"]
	if len(vs) != 1 {
		return "", false
	}
	s, k, ok := strings.Cut(vs[0], " ")
	k = strings.Trim(k, " ")
	if !ok || !strings.EqualFold(s, scheme) || k == "" || len(k) > MaxLength {
		return "", false
	}
	return k, true
}
