// Package table parses and validates the table, the routing configuration that
// operators maintain: services with their backend servers, routes, workspaces
// with their limits, and data centres. The platform stores it as named TOML
// values.
package table

import (
	"net/netip"
	"strings"
	"time"
)

// Names of the platform values that make up a table. A service and its rows
// have one value each, "Services/NAME" and "Rows/NAME".
const (
	DataCentresValue = "DataCentres"
	RoutesValue      = "Routes"
	WorkspacesValue  = "Workspaces"
	ServicesPrefix   = "Services/"
	RowsPrefix       = "Rows/"
)

// Table is one revision of the configuration. It must not be changed once it is
// in use.
type Table struct {
	// Revision is the platform's revision of the table's newest value.
	Revision uint64
	// Era is that of Revision. Revisions of different eras are not comparable.
	Era         uint64
	DataCentres []DataCentre
	Services    []Service
	Routes      []Route
	Workspaces  []Workspace

	// Sizes are the table's limits for callers; a field is 0 if the table sets
	// no limit. Only Header is enforced; it takes precedence over the header
	// limit of the settings.
	Sizes Limits

	services           map[string]*Service
	centres            map[string]*DataCentre
	workspaces         map[string]*Workspace
	workspacesByDigest map[Digest]*Workspace
	// routesByHost has the routes of each host, the longest prefix first; those
	// without a host are under "".
	routesByHost map[string][]*Route
	// setsPriorities is the result of SetsPriorities.
	setsPriorities bool
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	// Header and Body are the largest header and body of a request, in bytes.
	Header int
	Body   int64
	// IdleTimeout is how long a connection of a caller may be idle.
	IdleTimeout time.Duration
}

// DataCentre is a location of backend servers and entry VMs.
type DataCentre struct {
	Name   string
	Region string
	State  CentreState
}

// CentreState tells whether the servers of a data centre get new requests.
type CentreState string

// States of a data centre.
const (
	CentreIn  CentreState = "In"
	CentreOut CentreState = "Out"
)

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// Slots is how many requests one server processes concurrently.
	Slots int
	// Connections is how many connections one server accepts from all entry
	// VMs together.
	Connections int
	// ColdRate is how many requests a second a server in cold start gets, from
	// all entry VMs together.
	ColdRate float64
	// ColdBurst is the burst allowed beyond ColdRate, in requests.
	ColdBurst float64
	// ColdFor is the duration of a cold start.
	ColdFor time.Duration
	// ProbeRate is how many load probes a second all entry VMs together may
	// send to the service; 0 turns probing off.
	ProbeRate float64
	// LoadPath is the path of a server's load endpoint, which probes request;
	// empty if there is none.
	LoadPath string
	Servers  []Server
	Rows     []Row
}

// Server is one backend server.
type Server struct {
	Address    netip.AddrPort
	DataCentre string
	// Name identifies one run of the server, so it changes when the server
	// restarts; empty if servers are identified by their address alone.
	Name string `document:"optional"`
	// Born is when the server started, by its own clock; zero if unknown.
	Born time.Time `document:"-"`
	// ColdFor is how long the server stays in cold start after it was added to
	// the table; 0 if no cold start is stated.
	ColdFor time.Duration `document:"optional"`
	// Leaving means that the server has announced its shutdown and gets no new
	// requests.
	Leaving bool `document:"optional"`
}

// SplitTarget is one of the services that share the requests of a route.
type SplitTarget struct {
	Service string
	// Weight is the service's share relative to the other targets.
	Weight float64
}

// Route maps a path prefix to a service.
type Route struct {
	// Host is the host that the route applies to. If it is empty, the route
	// applies to all hosts that have no route of their own.
	Host string `document:"optional"`
	// Prefix starts and ends with "/".
	Prefix  string
	Service string
	// Split distributes the requests among services by weight; Service is then
	// the first of them.
	Split []SplitTarget `document:"optional"`
	// Attempts is the greatest number of servers that one request may be sent
	// to; 0 for the program's default.
	Attempts int `document:"optional"`
	// Objective is the target latency of the answer; 0 if there is none.
	Objective time.Duration `document:"optional"`
	// Priority is the priority of the requests; 0 is the highest. In a table with
	// workspaces it decides only which retries are paid first.
	Priority int `document:"optional"`
	// Kind names the kind of request. Latency and metrics are recorded per
	// kind.
	Kind string
	// Idempotent means that a request may be run more than once.
	Idempotent bool
	// Open means that a request needs no key.
	Open bool
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
}

// Workspace is a customer with its own keys and limits.
type Workspace struct {
	Name string
	// KeyDigests are the digests of the workspace's valid keys.
	KeyDigests []Digest
	// Rate, in requests a second, and Burst, in requests, limit the requests to
	// all services together, over all entry VMs. A Rate of 0 means no limit.
	Rate  float64 `document:"optional"`
	Burst float64 `document:"optional"`
	// Priority overrides the priority of the route; nil if none is set. It decides only
	// which retries are paid first.
	Priority *int `document:"-"`
}

// Row holds the limits of one workspace for one service.
type Row struct {
	Workspace string
	// Weight is the workspace's share of the service under overload, relative to
	// the other rows.
	Weight float64
	// Rate is the rate limit in requests a second, over all entry VMs together.
	Rate float64
	// Burst is the burst allowed beyond Rate, in requests.
	Burst float64
	// Limit is how many requests may run concurrently, over all entry VMs
	// together.
	Limit int
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// DataCentre returns the data centre with the given name.
func (t *Table) DataCentre(name string) (*DataCentre, bool) {
	c, ok := t.centres[name]
	return c, ok
}

// Workspace returns the workspace with the given name.
func (t *Table) Workspace(name string) (*Workspace, bool) {
	w, ok := t.workspaces[name]
	return w, ok
}

// WorkspaceByKey returns the workspace that has the key with the given digest.
func (t *Table) WorkspaceByKey(d Digest) (*Workspace, bool) {
	w, ok := t.workspacesByDigest[d]
	return w, ok
}

// Row returns the row of a workspace for the service.
func (s *Service) Row(workspace string) (*Row, bool) {
	for i := range s.Rows {
		if s.Rows[i].Workspace == workspace {
			return &s.Rows[i], true
		}
	}
	return nil, false
}

// Route returns the route of a host that has the longest matching prefix of path.
// Routes without a host apply only to hosts that have no route of their own.
func (t *Table) Route(host, path string) (*Route, bool) {
	rs, ok := t.routesByHost[host]
	if !ok {
		rs = t.routesByHost[""]
	}
	for _, r := range rs {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
