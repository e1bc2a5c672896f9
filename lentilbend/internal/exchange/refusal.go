package exchange

import (
	"encoding/json"
	"net/http"
	"time"
)

// RunHeader tells in a refusal whether the request may have run.
const RunHeader = "Lentilbend-Run"

// Run says whether a refused request may have run at a backend server.
type Run string

// Values of RunHeader.
const (
	// NotRun means that no backend server's application saw the request.
	NotRun Run = "not-run"
	// RunUnknown means that one may have seen it.
	RunUnknown Run = "unknown"
)

// Cause names why a request was refused, for metrics. Filters of other parts
// may leave it empty.
type Cause string

// Causes of refusals on the way from the caller to the backend server.
const (
	CauseNoTable    Cause = "no-table"
	CauseMalformed  Cause = "malformed"
	CauseTooLarge   Cause = "too-large"
	CauseNoRoute    Cause = "no-route"
	CauseNoKey      Cause = "no-key"
	CauseDeadline   Cause = "deadline"
	CauseHeld       Cause = "paused"
	CauseNoServer   Cause = "no-server"
	CauseShed       Cause = "shed"
	CauseBroken     Cause = "broken"
	CauseNotHandled Cause = "not-implemented"
	CauseOverload   Cause = "overload"
)

// Refusal ends an exchange without an answer of a backend server.
type Refusal struct {
	Status int
	Run    Run
	// Reason is a short text for people; it holds nothing of the request.
	Reason string
	// Cause is the short name of the reason, one of the constants below.
	Cause Cause
	// RetryAfter is how long a caller should wait; 0 when waiting is no help.
	RetryAfter time.Duration
}

// problem is the body of a refusal, after RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Run    Run    `json:"run"`
}

// promised returns a status that says of the request's run what is known: some
// statuses promise that it did not run, other failures promise nothing.
func promised(r Refusal) int {
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if r.Run != NotRun {
			return http.StatusBadGateway
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		if r.Run == NotRun {
			return http.StatusServiceUnavailable
		}
	}
	return r.Status
}

// Refuse writes the refusal as application/problem+json.
func (x *Exchange) Refuse(r Refusal) {
	d := x.Spelling()
	if d.StatusTellsNotRun {
		r.Status = promised(r)
	}
	x.Status, x.Refused = r.Status, &r
	x.LimitWriting(time.Now().Add(refusalTimeout))
	h := x.Writer.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if d.RunStatus != "" {
		h.Set(d.RunStatus, string(r.Run))
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", d.FormatRetryAfter(r.RetryAfter))
	}
	if r.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	b, err := json.Marshal(problem{
		Type:   "about:blank",
		Title:  http.StatusText(r.Status),
		Status: r.Status,
		Detail: r.Reason,
		Run:    r.Run,
	})
	if err != nil {
		b = []byte("{}")
	}
	x.Writer.WriteHeader(r.Status)
	_, _ = x.Writer.Write(b)
}
