package exchange

import (
	"encoding/json"
	"net/http"
	"time"
)

// RunHeader is the header of a refusal that says whether the request may have
// run.
const RunHeader = "Lentilbend-Run"

// Run says whether a refused request may have run at a backend server.
type Run string

// Values of RunHeader.
const (
	// NotRun means that no backend server's application saw the request.
	NotRun Run = "not-run"
	// RunUnknown means that a backend server's application may have seen the
	// request.
	RunUnknown Run = "unknown"
)

// Cause is the reason of a refusal, as a label of metrics. A filter may leave it
// empty.
type Cause string

// Causes of refusals. The filters for rate limits define further ones. CauseShed
// means that the backend servers declined to start the request, CauseOverload
// that the entry VM did not admit it to the overloaded service, CauseSaturated that
// no backend server could answer it in time, and CausePaused that the entry VM was
// paused while it held the request.
const (
	CauseNoTable          Cause = "no-table"
	CauseMalformed        Cause = "malformed"
	CauseTooLarge         Cause = "too-large"
	CauseNoRoute          Cause = "no-route"
	CauseNoKey            Cause = "no-key"
	CauseDeadline         Cause = "deadline"
	CausePaused           Cause = "paused"
	CauseNoServer         Cause = "no-server"
	CauseShed             Cause = "shed"
	CauseIncompleteAnswer Cause = "broken"
	CauseNotImplemented   Cause = "not-implemented"
	CauseOverload         Cause = "overload"
	CauseSaturated        Cause = "saturated"
	CauseStopping         Cause = "stopping"
)

// Refusal ends an exchange without an answer of a backend server.
type Refusal struct {
	Status int
	Run    Run
	// Reason is a short text for people. It must contain nothing from the
	// request.
	Reason string
	// Cause is the reason as a label of metrics.
	Cause Cause
	// Shortage is what was lacking, if Cause does not tell.
	Shortage Shortage
	// RetryAfter is how long a caller should wait; 0 when waiting does
	// not help.
	RetryAfter time.Duration
}

// problemDetails is the body of a refusal, as in RFC 9457.
type problemDetails struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Run    Run    `json:"run"`
}

// statusForRun returns the status of a refusal in a dialect whose callers infer
// from the status alone whether the request ran. 408, 421, 429 and 503 mean that
// it did not, so they become 502 when it may have run; 502 and 504 mean that it
// may have, so they become 503 when it did not.
func statusForRun(r Refusal) int {
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

// Refuse writes the refusal to the caller as application/problem+json and
// records it in x.
func (x *Exchange) Refuse(r Refusal) {
	d := x.EffectiveDialect()
	if d.StatusTellsNotRun {
		r.Status = statusForRun(r)
	}
	r.RetryAfter = x.callerRetryAfter(time.Now(), r.RetryAfter)
	x.Status, x.Refused = r.Status, &r
	x.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
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
	b, err := json.Marshal(problemDetails{
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
