// Package table holds the operators' table: services with their backend
// servers, routes, workspaces, rows and data centres. The platform keeps it as
// named TOML values.
package table

import (
	"net/netip"
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

	services   map[string]*Service
	centres    map[string]*DataCentre
	workspaces map[string]*Workspace
	digests    map[Digest]*Workspace
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
}

// Route maps a path prefix to a service.
type Route struct {
	// Prefix starts and ends with "/".
	Prefix  string
	Service string
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

// Route returns the route with the longest prefix of path.
func (t *Table) Route(path string) (*Route, bool) {
	for i := range t.Routes {
		r := &t.Routes[i]
		if len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix {
			return r, true
		}
	}
	return nil, false
}
