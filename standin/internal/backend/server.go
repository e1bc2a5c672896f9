// Package backend is a stand-in for a backend server.
package backend

import (
	"encoding/json"
	"net/http"
	"time"
)

// Server answers every request with an echo of it.
type Server struct{}

// echo is the answer's body.
type echo struct {
	Method string
	Path   string
	Header http.Header
}

// Run serves until it fails.
func (s *Server) Run(address string) error {
	v := http.Server{Addr: address, Handler: s, ReadHeaderTimeout: time.Second}
	return v.ListenAndServe()
}

// ServeHTTP echoes the request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(echo{Method: r.Method, Path: r.URL.Path, Header: r.Header})
}
