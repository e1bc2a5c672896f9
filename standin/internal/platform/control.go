package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/encoding/protojson"

	"lentilbend.example/internal/platformpb"
)

// maxControlBodyBytes limits the body of a request to the control address.
const maxControlBodyBytes = 16 << 20

// State is the state of the service as the control address reports it.
type State struct {
	// Revision is the newest revision.
	Revision uint64
	// Reads counts all reads, and Denied those that arrived while the service was
	// down.
	Reads  uint64
	Denied uint64
	// ReadsPerSecond is the number of reads in the last whole second.
	ReadsPerSecond uint64
}

// State returns the current state.
func (s *Server) State() State {
	return State{
		Revision:       s.Revision(),
		Reads:          s.Reads(),
		Denied:         s.denied.Load(),
		ReadsPerSecond: s.ReadRate(),
	}
}

// Control returns the handler of the control address: GET /state,
// PUT and DELETE /values/NAME, POST /values (several changes in one revision, as a
// ValuesAnswer in JSON), PUT /vms (a VmsAnswer in JSON) and
// PUT /mode[?reader=ADDRESS] (a mode as ParseMode reads it), where ADDRESS is the
// one of Server.Addresses whose readers the mode is for.
func (s *Server) Control() http.Handler {
	m := chi.NewRouter()
	m.Get("/state", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.State())
	})
	m.Put("/values/*", s.controlHandler(s.putValue))
	m.Delete("/values/*", s.controlHandler(s.deleteValue))
	m.Post("/values", s.controlHandler(s.postValues))
	m.Put("/vms", s.controlHandler(s.putVMs))
	m.Put("/mode", s.controlHandler(s.putMode))
	return m
}

// controlHandler returns a handler that calls f with the request's body and answers
// with the newest revision or the error of f.
func (s *Server) controlHandler(f func(r *http.Request, body []byte) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
		if err == nil {
			err = f(r, b)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_, _ = fmt.Fprintln(w, s.Revision())
	}
}

func (s *Server) putValue(r *http.Request, body []byte) error {
	s.Edit(Change{Name: chi.URLParam(r, "*"), Text: string(body)})
	return nil
}

func (s *Server) deleteValue(r *http.Request, _ []byte) error {
	s.Edit(Change{Name: chi.URLParam(r, "*"), Deleted: true})
	return nil
}

func (s *Server) postValues(_ *http.Request, body []byte) error {
	a := &platformpb.ValuesAnswer{}
	if err := protojson.Unmarshal(body, a); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	var cs []Change
	for _, v := range a.GetValues() {
		cs = append(cs, Change{Name: v.GetName(), Text: v.GetText(), Deleted: v.GetDeleted()})
	}
	s.Edit(cs...)
	return nil
}

func (s *Server) putVMs(_ *http.Request, body []byte) error {
	a := &platformpb.VmsAnswer{}
	if err := protojson.Unmarshal(body, a); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	s.SetVMs(a.GetVms())
	return nil
}

func (s *Server) putMode(r *http.Request, body []byte) error {
	m, err := ParseMode(string(body))
	if err != nil {
		return err
	}
	q := r.URL.Query().Get("reader")
	if q == "" {
		s.SetMode(m)
		return nil
	}
	a, err := netip.ParseAddrPort(q)
	if err != nil {
		return fmt.Errorf("platform: reader: %w", err)
	}
	s.SetReaderMode(a, m)
	return nil
}
