// Package platform is a stand-in for the platform's read-only service.
package platform

import (
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/platformpb"
)

// Server holds values and a VM list. Its zero value is ready for use.
type Server struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]*platformpb.Value
	changed  chan struct{}
}

// Load sets a value for each file NAME.toml below dir.
func (s *Server) Load(dir string) error {
	return filepath.WalkDir(dir, func(p string, e fs.DirEntry, err error) error {
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		if e.IsDir() || filepath.Ext(p) != ".toml" {
			return nil
		}
		b, err := os.ReadFile(p)
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		n, err := filepath.Rel(dir, p)
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		s.Set(strings.TrimSuffix(filepath.ToSlash(n), ".toml"), string(b))
		return nil
	})
}

// Set changes a value and returns the new revision.
func (s *Server) Set(name, text string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = map[string]*platformpb.Value{}
	}
	s.revision++
	s.values[name] = &platformpb.Value{Name: name, Revision: s.revision, Text: text}
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
	return s.revision
}

// Run serves until it fails.
func (s *Server) Run(address string) error {
	v := http.Server{Addr: address, Handler: s.routes(), ReadHeaderTimeout: time.Second}
	return v.ListenAndServe()
}

func (s *Server) routes() http.Handler {
	m := chi.NewRouter()
	m.Get("/v1/values", s.getValues)
	m.Get("/v1/vms", s.getVms)
	return m
}

func (s *Server) getValues(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "bad wait", http.StatusBadRequest)
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		a, changed := s.since(after)
		if len(a.GetValues()) > 0 {
			answer(w, a)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			answer(w, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) since(after uint64) (*platformpb.ValuesAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &platformpb.ValuesAnswer{Revision: s.revision}
	for _, v := range s.values {
		if v.GetRevision() > after {
			a.Values = append(a.Values, v)
		}
	}
	return a, s.changed
}

func (s *Server) getVms(w http.ResponseWriter, _ *http.Request) {
	answer(w, &platformpb.VmsAnswer{})
}

func answer(w http.ResponseWriter, m proto.Message) {
	b, err := protojson.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
