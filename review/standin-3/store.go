package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a value of the store.
type item struct {
	value    string
	revision int
	deleted  bool
}

// store is the platform's store: linearizable, one revision for all keys, read over HTTP.
// The operator and the instances write to it by method calls.
type store struct {
	mu       sync.Mutex
	revision int
	era      int
	items    map[string]item
	away     bool
	changed  chan struct{}
	server   *http.Server
	copies   map[string]storeCopy
}

type storeCopy struct {
	revision int
	items    map[string]item
}

func newStore() *store {
	return &store{items: map[string]item{}, changed: make(chan struct{}), copies: map[string]storeCopy{}}
}

// listen serves the store at an address.
func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// put writes a value and returns its revision. It returns 0 while the store is away.
func (s *store) put(key, value string) int { return s.write(key, item{value: value}) }

// renew writes a value made from a sequence, unless the store has it with another sequence.
func (s *store) renew(key string, text func(sequence int) string, sequence int) {
	s.mu.Lock()
	i, ok := s.items[key]
	same := ok && !i.deleted && !s.away && withoutSequence(i.value) == withoutSequence(text(sequence))
	s.mu.Unlock()
	if !same {
		s.put(key, text(sequence))
	}
}

// withoutSequence removes the field sequence from an entry.
func withoutSequence(entry string) string {
	return runningFields.ReplaceAllString(entry, "")
}

var runningFields = regexp.MustCompile(`"(sequence|cold_remaining)":("\d+ms"|\d+),`)

// remove deletes a value.
func (s *store) remove(key string) int { return s.write(key, item{deleted: true}) }

func (s *store) write(key string, i item) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	s.revision++
	i.revision = s.revision
	s.items[key] = i
	s.signal()
	return s.revision
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// takeCopy keeps a copy of the present values.
func (s *store) takeCopy(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, items: map[string]item{}}
	for k, i := range s.items {
		c.items[k] = i
	}
	s.copies[name] = c
}

// leave makes the store refuse all calls, as while it is down.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.signal()
}

// restore ends leave with the values of a copy, in the next era.
func (s *store) restore(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[name]
	s.items = map[string]item{}
	for k, i := range c.items {
		s.items[k] = i
	}
	s.revision = c.revision
	s.era++
	s.away = false
	s.signal()
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.away {
			hangUp(w)
			return
		}
		s.reply(w, map[string]any{"items": s.since(q.Get("prefix"), 0, false), "has_more": false, "at_revision": s.revision})
	case "/kv-watch":
		after, _ := strconv.Atoi(q.Get("after"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.After(time.Duration(wait)*time.Millisecond))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int, end <-chan time.Time) {
	expired := false
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			hangUp(w)
			return
		}
		if after > s.revision {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := s.since(prefix, after, true)
		if len(events) > 0 || expired {
			s.reply(w, map[string]any{"events": events, "at_revision": s.revision})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// reply writes a body. s.mu is held.
func (s *store) reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	_ = json.NewEncoder(w).Encode(body)
}

// since returns the items written after a revision. s.mu is held.
func (s *store) since(prefix string, after int, deletions bool) []map[string]any {
	out := []map[string]any{}
	for k, i := range s.items {
		if i.revision <= after || !strings.HasPrefix(k, prefix) || i.deleted && !deletions {
			continue
		}
		if i.deleted {
			out = append(out, map[string]any{"key": k, "revision": i.revision, "deleted": true})
			continue
		}
		out = append(out, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString([]byte(i.value)),
			"revision": i.revision, "created_revision": i.revision, "lease_id": 0})
	}
	sort.Slice(out, func(a, b int) bool { return out[a]["revision"].(int) < out[b]["revision"].(int) })
	return out
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}
