package fleet

import (
	"fmt"
	"net/netip"
	"time"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/load"
)

// Deployment says what a fleet consists of.
type Deployment struct {
	// Centres are the data centres; those in Out are out of service.
	Centres []string
	Out     map[string]bool
	// Entries holds the data centre of each entry VM.
	Entries    []string
	Services   []Service
	Workspaces []Workspace
}

// Service is one service of the table and its stand-ins.
type Service struct {
	Name string
	// Instances is how many servers there are, spread over the data centres.
	Instances int
	Slots     int
	// Queue is how many requests wait in a server for a slot.
	Queue       int
	Connections int
	ColdRate    float64
	ColdBurst   float64
	ColdFor     time.Duration
	ProbeRate   float64
	ServiceTime time.Duration
	Spread      float64
	OpenTime    time.Duration
	ProbeTime   time.Duration
	Routes      []Route
	Rows        []Row
	// Servers are set by the fleet.
	Servers []Place
}

// Place is where a backend server listens.
type Place struct {
	Address    netip.AddrPort
	DataCentre string
}

// Route is a route of the table and the calls that the load sends to it.
type Route struct {
	Prefix     string
	Kind       string
	Method     string
	Share      float64
	Idempotent bool
	Open       bool
	Timeout    time.Duration
	BodySize   int
	AnswerSize int
}

// Row is what a workspace may take of a service.
type Row struct {
	Workspace string
	Weight    float64
	Rate      float64
	Burst     float64
	Limit     int
}

// Workspace is a customer and its one key.
type Workspace struct {
	Name string
	Key  string
	// Withdrawn takes the key out of the table.
	Withdrawn bool
	// Share is how often the workspace calls, relative to others.
	Share float64
}

// AddEntries adds n entry VMs, spread over the data centres.
func (d *Deployment) AddEntries(n int) {
	for range n {
		d.Entries = append(d.Entries, d.Centres[len(d.Entries)%len(d.Centres)])
	}
}

// AddWorkspaces adds n workspaces of which the first few are large, and a row
// for each in every service with rates in proportion.
func (d *Deployment) AddWorkspaces(n int, row func(s *Service, share float64) Row) {
	for i := range n {
		share := 1.0
		if i < n/4 {
			share = 4
		}
		name := fmt.Sprintf("workspace-%d", i+1)
		d.Workspaces = append(d.Workspaces, Workspace{Name: name, Key: "key-of-" + name, Share: share})
		for j := range d.Services {
			r := row(&d.Services[j], share)
			r.Workspace = name
			d.Services[j].Rows = append(d.Services[j].Rows, r)
		}
	}
}

// Kinds returns the calls that the routes ask for.
func (d *Deployment) Kinds() []load.Kind {
	var ks []load.Kind
	for _, s := range d.Services {
		for _, r := range s.Routes {
			ks = append(ks, load.Kind{
				Name:       r.Kind,
				Service:    s.Name,
				Method:     r.Method,
				Path:       r.Prefix + "item",
				Share:      r.Share,
				Idempotent: r.Idempotent,
				Open:       r.Open,
				BodySize:   r.BodySize,
				AnswerSize: r.AnswerSize,
			})
		}
	}
	return ks
}

// Capacity returns how many calls a second the slots can work on, with the
// calls spread by the routes' shares.
func (d *Deployment) Capacity() float64 {
	sum := 0.0
	for _, s := range d.Services {
		for _, r := range s.Routes {
			sum += r.Share
		}
	}
	least := 0.0
	for _, s := range d.Services {
		share := 0.0
		for _, r := range s.Routes {
			share += r.Share
		}
		if share == 0 || s.ServiceTime == 0 {
			continue
		}
		c := float64(s.Instances*s.Slots) / s.ServiceTime.Seconds() * sum / share
		if least == 0 || c < least {
			least = c
		}
	}
	return least
}

func (d *Deployment) keys() []string {
	var ks []string
	for _, w := range d.Workspaces {
		ks = append(ks, w.Key)
	}
	return ks
}

// placeServers gives each server its address and data centre.
func (d *Deployment) placeServers(b *block) []Place {
	var all []Place
	for i := range d.Services {
		s := &d.Services[i]
		s.Servers = nil
		for j := range s.Instances {
			s.Servers = append(s.Servers, Place{
				Address:    netip.AddrPortFrom(b.address(backendHost), uint16(backendPort+100*i+j)),
				DataCentre: d.Centres[j%len(d.Centres)],
			})
		}
		all = append(all, s.Servers...)
	}
	return all
}

func (s *Service) server(p Place) *backend.Server {
	return &backend.Server{
		Address:     p.Address,
		Service:     s.Name,
		DataCentre:  p.DataCentre,
		Slots:       s.Slots,
		Queue:       s.Queue,
		ServiceTime: s.ServiceTime,
		Spread:      s.Spread,
		Connections: s.Connections,
		OpenTime:    s.OpenTime,
		ProbeTime:   s.ProbeTime,
		LoadPath:    "/load",
	}
}
