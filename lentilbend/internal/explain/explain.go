// Package explain builds the explanation of where a request would go now, and why, without
// sending it. It reads the state of other components and changes nothing.
package explain

import (
	"cmp"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/fair"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/filter/route"
)

// Errors of Explainer.Explain, beside those of route.Find.
var (
	// ErrNoTable means that the VM refuses all requests, since it has no table yet.
	ErrNoTable = errors.New("explain: the VM has no table in force")
	// ErrMethod means that the VM refuses requests with this method.
	ErrMethod = errors.New("explain: requests with the methods CONNECT and TRACE are refused")
)

// Servers explains the choice of a server and the admission gate of a service.
type Servers interface {
	// Explain returns false for an unknown service. It must change nothing.
	Explain(now time.Time, service string, r choice.Request) (choice.Explanation, fair.Explanation, bool)
	// ProbesBefore reports whether servers are probed just before a choice.
	ProbesBefore() bool
}

// Retries tells the retry budget of a service.
type Retries interface {
	// RetriesLeft returns how many retries are left, and whether the service had a
	// request yet.
	RetriesLeft(service string) (float64, bool)
}

// Explainer explains requests. Set the exported fields before use.
type Explainer struct {
	// Table returns the table in force, or nil.
	Table   func() *table.Table
	Servers Servers
	Retries Retries
	// Ready returns nil if callers may send requests to this VM, or the reason why not.
	Ready func() error
	// Now returns the time; time.Now when nil.
	Now func() time.Time
}

// Explanation is where a request would go. It contains nothing of the request but its
// method, since a key may stand in the others.
type Explanation struct {
	// Method is empty if it is not a method of RFC 9110 or PATCH.
	Method   string
	Revision uint64
	// NotReady is why callers should not send requests to the VM; empty if they may.
	NotReady string
	Route    Route
	// ProbesBefore says that servers without a current load report would be probed
	// before the choice.
	ProbesBefore bool
	// Services are the route's service or, with a split, all parts of it.
	Services []Service
}

// Route is the route of the request.
type Route struct {
	// Host is empty for a route of all hosts without one of their own.
	Host       string
	Prefix     string
	Kind       string
	Priority   int
	Idempotent bool
	NeedsKey   bool
	Objective  Duration
	Timeout    Duration
	// Attempts is 0 for the program's default.
	Attempts int
}

// Service is one service that may get the request.
type Service struct {
	Name string
	// Weight is the fraction of the route's requests that it gets.
	Weight   float64
	Decision Decision
	// Table, Gate, Retries and Choice are nil if the service is not in the table, or not
	// in use yet.
	Table   *ServiceTable
	Gate    *fair.Explanation
	Retries *RetryBudget
	Choice  *Choice
}

// ServiceTable is what the table says of a service.
type ServiceTable struct {
	Servers, Slots, Connections int
	ColdRate                    float64
	// Out are the data centres of its servers that are out of service.
	Out []string
}

// RetryBudget is this VM's retry budget of a service.
type RetryBudget struct {
	Left float64
	// Unused says that the service had no request yet on this VM.
	Unused bool
}

// Choice is the choice of a server.
type Choice struct {
	Policy    string
	KindKnown bool
	UsualTime Duration
	ColdFirst bool
	// Saturated has the expected time and the Retry-After if the choice would refuse the
	// request, else nil.
	Saturated *Saturated
	PauseLeft Duration
	// Servers are sorted by their use, and then by their expected time.
	Servers []Server
}

// Saturated is a refusal since no server can answer in time.
type Saturated struct {
	Expected, RetryAfter Duration
}

// Server is one server: its use for the request, and what was known of it.
type Server struct {
	Address    netip.AddrPort
	Name       string
	DataCentre string
	Use        choice.Use
	Reason     choice.Reason
	// Expected is the score.
	Expected Duration
	// Report is nil without a load report.
	Report   *Report
	InFlight int
	Slowness float64
	Failures float64
	Phase    string
	EndsIn   Duration
}

// Report is the last load report of a server.
type Report struct {
	Running, Queued, Slots int
	Pace                   float64
	Age                    Duration
}

// Duration is written as in settings, in whole microseconds.
type Duration time.Duration

// MarshalText returns the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// String returns the duration as text.
func (d Duration) String() string {
	return time.Duration(d).Round(time.Microsecond).String()
}

// Explain explains a request with a method, to the host and path of u.
func (e *Explainer) Explain(method string, u *url.URL) (*Explanation, error) {
	t := e.Table()
	if t == nil {
		return nil, ErrNoTable
	}
	if method == http.MethodConnect || method == http.MethodTrace {
		return nil, ErrMethod
	}
	r, err := route.Find(t, u.Host, u)
	if err != nil {
		return nil, err
	}
	x := &Explanation{
		Method: knownMethod(method), Revision: t.Revision, Route: newRoute(r),
		ProbesBefore: e.Servers.ProbesBefore(),
	}
	if err := e.Ready(); err != nil {
		x.NotReady = err.Error()
	}
	for _, p := range route.Parts(r) {
		x.Services = append(x.Services, e.explainService(t, r, p))
	}
	return x, nil
}

// knownMethod returns a method that contains no key, or "".
func knownMethod(m string) string {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodPatch:
		return m
	}
	return ""
}

func newRoute(r *table.Route) Route {
	return Route{
		Host: r.Host, Prefix: r.Prefix, Kind: r.Kind, Priority: r.Priority, Idempotent: r.Idempotent,
		NeedsKey: !r.Open, Objective: Duration(r.Objective), Timeout: Duration(r.Timeout), Attempts: r.Attempts,
	}
}

func (e *Explainer) explainService(t *table.Table, r *table.Route, p table.SplitTarget) Service {
	s := Service{Name: p.Service, Weight: p.Weight}
	if c, ok := t.Service(p.Service); ok {
		s.Table = newServiceTable(t, c)
		s.explainUse(e, r)
	}
	s.Decision = decide(&s)
	return s
}

// explainUse adds what the components of the VM say.
func (s *Service) explainUse(e *Explainer, r *table.Route) {
	now := e.now()
	q := choice.Request{Kind: r.Kind, Deadline: now.Add(r.Timeout)}
	if r.Objective > 0 {
		q.WantedBy = now.Add(r.Objective)
	}
	c, g, ok := e.Servers.Explain(now, s.Name, q)
	if !ok {
		return
	}
	s.Gate, s.Choice = &g, newChoice(c)
	left, used := e.Retries.RetriesLeft(s.Name)
	s.Retries = &RetryBudget{Left: left, Unused: !used}
}

func (e *Explainer) now() time.Time {
	if e.Now == nil {
		return time.Now()
	}
	return e.Now()
}

func newServiceTable(t *table.Table, c *table.Service) *ServiceTable {
	s := &ServiceTable{Servers: len(c.Servers), Slots: c.Slots, Connections: c.Connections, ColdRate: c.ColdRate}
	for _, v := range c.Servers {
		d, ok := t.DataCentre(v.DataCentre)
		if (!ok || d.State != table.CentreIn) && !slices.Contains(s.Out, v.DataCentre) {
			s.Out = append(s.Out, v.DataCentre)
		}
	}
	return s
}

func newChoice(c choice.Explanation) *Choice {
	n := &Choice{
		Policy: c.Policy, KindKnown: c.KindKnown, UsualTime: Duration(c.UsualTime),
		ColdFirst: c.ColdFirst, PauseLeft: Duration(c.PauseLeft),
	}
	if c.Saturated != nil {
		n.Saturated = &Saturated{Expected: Duration(c.Saturated.Expected), RetryAfter: Duration(c.Saturated.RetryAfter)}
	}
	for _, v := range c.Servers {
		n.Servers = append(n.Servers, newServer(v))
	}
	slices.SortStableFunc(n.Servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(rank(a.Use), rank(b.Use)), cmp.Compare(a.Expected, b.Expected))
	})
	return n
}

func newServer(v choice.ServerExplanation) Server {
	s := Server{
		Address: v.Address, Name: v.Name, DataCentre: v.DataCentre, Use: v.Use, Reason: v.Reason,
		Expected: Duration(v.Expected), InFlight: v.InFlight, Slowness: v.Slowness, Failures: v.Failures,
		Phase: v.Phase, EndsIn: Duration(v.EndsIn),
	}
	if b := v.Basis; b.Age >= 0 {
		s.Report = &Report{Running: b.Running, Queued: b.Queued, Slots: b.Slots, Pace: b.Pace, Age: Duration(b.Age)}
	}
	return s
}

// rank orders the uses of servers.
func rank(u choice.Use) int {
	return slices.Index([]choice.Use{choice.UseTrial, choice.UseAllowance, choice.UseCandidate, choice.UseSlower, choice.UseFallback, choice.UseNone}, u)
}
