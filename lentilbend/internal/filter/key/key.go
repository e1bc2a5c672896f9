// Package key authenticates requests: it finds the workspace that a request's key
// belongs to, and removes the key from the request before it is forwarded.
package key

import (
	"net/http"

	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
)

// MaxLength is the length of the longest accepted key, in bytes.
const MaxLength = 1024

// Filter refuses requests without a valid key, unless their route is open. It also
// refuses requests whose path, host, method or request ID contains the key, from
// which it can't be removed. It must come after the route filter.
type Filter struct{}

// Filter sets the workspace and row of x and removes the key from the request.
func (Filter) Filter(x *exchange.Exchange, next exchange.Handler) {
	k, ok := x.EffectiveDialect().Key(x.Request.Header)
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
	if x.Secret.ContainedIn(x.RequestID()) || !Strip(x.Request, x.Secret, x.EffectiveDialect().CredentialHeaders) {
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
