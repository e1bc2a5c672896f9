// Package key finds the workspace that a request's key belongs to, and takes
// the key out of the request.
package key

import (
	"net/http"

	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
)

// MaxLength is the longest key that is looked up, in bytes.
const MaxLength = 1024

// Filter refuses requests without a key in force, but for open routes. The
// route must be known before it.
type Filter struct{}

// Filter sets the workspace and row of x and takes the key out of the request.
func (Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	k, ok := x.Spelling().Key(x.Request.Header)
	ok = ok && len(k) <= MaxLength
	x.Secret = exchange.NewSecret(k)
	if ok {
		x.Workspace, ok = x.Table.WorkspaceByKey(table.NewDigest(k))
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
	if x.Secret.In(x.RequestName()) || !Strip(x.Request, x.Secret, x.Spelling().CredentialHeaders) {
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
