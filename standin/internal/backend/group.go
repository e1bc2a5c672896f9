package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"lentilbend.example/internal/document"
	"lentilbend.example/internal/finding"
)

// maxControlBodyBytes limits the body of a request to the control address.
const maxControlBodyBytes = 4096

// Group runs several servers in one process. Set the exported fields before Run.
type Group struct {
	Servers  []*Server
	Recorder *Recorder
}

// Options are the contents of a TOML file that describes the servers of one process.
type Options struct {
	// Keys are the keys of workspaces; no request to a backend server may contain one.
	Keys []string `document:"optional"`
	// Server has an entry for each set of servers with the same settings.
	Server []ServerOptions
}

// ServerOptions are the settings of the servers on Addresses. See the fields of the
// same names in Server.
type ServerOptions struct {
	Addresses   []netip.AddrPort
	Slots       int           `document:"optional"`
	Queue       int           `document:"optional"`
	ServiceTime time.Duration `document:"optional"`
	Spread      float64       `document:"optional"`
	Connections int           `document:"optional"`
	OpenTime    time.Duration `document:"optional"`
	ProbeTime   time.Duration `document:"optional"`
	LoadPath    string        `document:"optional"`
}

// ReadOptions reads Options from a TOML file. The error is a *finding.Error if the
// content is invalid.
func ReadOptions(path string) (*Options, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	o := &Options{}
	if _, fs := document.Decode(path, b, o); len(fs) > 0 {
		return nil, &finding.Error{Findings: fs}
	}
	return o, nil
}

// NewGroup returns a group of the servers described by o, with one recorder for all.
func NewGroup(o *Options) *Group {
	g := &Group{Recorder: &Recorder{}}
	for _, s := range o.Server {
		for _, a := range s.Addresses {
			g.Servers = append(g.Servers, s.newServer(a, o.Keys, g.Recorder))
		}
	}
	return g
}

func (o ServerOptions) newServer(a netip.AddrPort, keys []string, r *Recorder) *Server {
	return &Server{
		Address:     a,
		Slots:       o.Slots,
		Queue:       o.Queue,
		ServiceTime: o.ServiceTime,
		Spread:      o.Spread,
		Connections: o.Connections,
		OpenTime:    o.OpenTime,
		ProbeTime:   o.ProbeTime,
		LoadPath:    o.LoadPath,
		Recorder:    r,
		Keys:        keys,
	}
}

// Run serves until a server fails or all servers are closed.
func (g *Group) Run() error {
	done := make(chan error, len(g.Servers))
	for _, s := range g.Servers {
		go func() { done <- s.Run() }()
	}
	for range g.Servers {
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}

// Close closes all servers.
func (g *Group) Close() {
	for _, s := range g.Servers {
		s.Close()
	}
}

// Control returns the handler of the control address: GET /servers (a Counts for
// each address), GET /executions?from=INDEX (the recorded executions) and
// PUT /servers/ADDRESS/mode (a mode as ParseMode reads it), where ADDRESS may be
// "all".
func (g *Group) Control() http.Handler {
	m := chi.NewRouter()
	m.Get("/servers", g.getServers)
	m.Get("/executions", g.getExecutions)
	m.Put("/servers/{address}/mode", func(w http.ResponseWriter, r *http.Request) {
		if err := g.putMode(w, r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return m
}

func (g *Group) getServers(w http.ResponseWriter, _ *http.Request) {
	a := map[string]Counts{}
	for _, s := range g.Servers {
		a[s.Address.String()] = s.Counts()
	}
	_ = json.NewEncoder(w).Encode(a)
}

func (g *Group) getExecutions(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get("from"))
	_ = json.NewEncoder(w).Encode(g.Recorder.Executions(max(n, 0)))
}

func (g *Group) putMode(w http.ResponseWriter, r *http.Request) error {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	if err != nil {
		return fmt.Errorf("backend: %w", err)
	}
	m, err := ParseMode(string(b))
	if err != nil {
		return err
	}
	a := chi.URLParam(r, "address")
	found := false
	for _, s := range g.Servers {
		if a == "all" || a == s.Address.String() {
			s.SetMode(m)
			found = true
		}
	}
	if !found {
		return errors.New("backend: no server has this address")
	}
	return nil
}
