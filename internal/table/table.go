// Package table holds the operators' table: services with their backend
// servers, routes, workspaces, rows and data centres. The platform keeps it as
// named TOML values.
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

// Table is one validated revision. It is immutable.
type Table struct {
	// Revision is the platform's revision of the newest value in the table.
	Revision    uint64
	DataCentres []DataCentre
	Services    []Service
	Routes      []Route
	Workspaces  []Workspace

	// Sizes bounds what callers may send; the settings' sizes hold where a
	// field is 0.
	Sizes Sizes

	services   map[string]*Service
	centres    map[string]*DataCentre
	workspaces map[string]*Workspace
	digests    map[Digest]*Workspace
	hosts      map[string][]*Route
}

// Sizes bounds what callers may send.
type Sizes struct {
	// Header and Body are in bytes.
	Header int
	Body   int64
	// IdleTimeout is how long a caller may leave a connection idle.
	IdleTimeout time.Duration
}

// DataCentre is a room of backend servers and entry VMs.
type DataCentre struct {
	Name   string
	Region string
	State  CentreState
}

// CentreState tells whether a data centre takes new work.
type CentreState string

// States of a data centre.
const (
	CentreIn  CentreState = "In"
	CentreOut CentreState = "Out"
)

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// Slots is how many requests one server works on at once.
	Slots int
	// Connections is how many connections one server accepts from all entry
	// VMs together.
	Connections int
	// ColdRate is how many requests a second a server in cold start bears,
	// over all entry VMs together.
	ColdRate float64
	// ColdBurst is how many requests beyond ColdRate it bears at once.
	ColdBurst float64
	// ColdFor is how long a cold start lasts.
	ColdFor time.Duration
	// ProbeRate is how many load probes a second all entry VMs together may
	// send to the service; 0 turns probing off.
	ProbeRate float64
	// LoadPath is the path of the load endpoint; empty when there is none.
	LoadPath string
	Servers  []Server
	Rows     []Row
}

// Server is one backend server.
type Server struct {
	Address    netip.AddrPort
	DataCentre string
	// Name is the server's own name for one run of it; empty where servers
	// are known by address alone.
	Name string `document:"optional"`
	// Born is when this run began, by the server's clock; zero when unknown.
	Born time.Time `document:"-"`
	// ColdFor is how long the server stays cold after it was entered.
	ColdFor time.Duration `document:"optional"`
	// Leaving says that the server announced its end.
	Leaving bool `document:"optional"`
}

// Part is one service of a route that is split.
type Part struct {
	Service string
	Weight  float64
}

// Route maps a path prefix to a service.
type Route struct {
	// Host is the host that the route is for; empty for every host.
	Host string `document:"optional"`
	// Prefix starts and ends with "/".
	Prefix  string
	Service string
	// Split shares the requests out among services by weight; Service is then
	// the first of them.
	Split []Part `document:"optional"`
	// Attempts is the most servers that one request may be sent to; 0 leaves
	// it to the program.
	Attempts int `document:"optional"`
	// Objective is how soon an answer is wanted; 0 when the table does not
	// say.
	Objective time.Duration `document:"optional"`
	// Priority is the rank of the requests; 0 is served first.
	Priority int `document:"optional"`
	// Kind names the kind of request, for metrics and schedules.
	Kind string
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Open says that no key is needed.
	Open bool
	// Timeout is the longest that a request may take.
	Timeout time.Duration
}

// Workspace is a customer with its own keys and limits.
type Workspace struct {
	Name string
	// KeyDigests are the SHA-256 digests of the keys in force.
	KeyDigests []Digest
	// Rate and Burst bound the workspace's requests to all services together,
	// over all entry VMs; a Rate of 0 is no bound.
	Rate  float64 `document:"optional"`
	Burst float64 `document:"optional"`
	// Priority goes before that of a route; nil when the table has none.
	Priority *int `document:"-"`
}

// Row is one line of the table: what a workspace may take of a service.
type Row struct {
	Workspace string
	// Weight is the share of the service under overload, relative to others.
	Weight float64
	// Rate is in requests a second, over all entry VMs together.
	Rate float64
	// Burst is how many requests may come beyond Rate at once.
	Burst float64
	// Limit is how many requests may run at once, over all entry VMs together.
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

// KeyHolder returns the workspace of the key with the given digest.
func (t *Table) KeyHolder(d Digest) (*Workspace, bool) {
	w, ok := t.digests[d]
	return w, ok
}

// Row returns the row of a workspace in the service.
func (s *Service) Row(workspace string) (*Row, bool) {
	for i := range s.Rows {
		if s.Rows[i].Workspace == workspace {
			return &s.Rows[i], true
		}
	}
	return nil, false
}

// Route returns the route of a host with the longest prefix of path. A route
// without a host serves those hosts that have none of their own.
func (t *Table) Route(host, path string) (*Route, bool) {
	rs, ok := t.hosts[host]
	if !ok {
		rs = t.hosts[""]
	}
	for _, r := range rs {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
