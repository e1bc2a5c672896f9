package backend

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lentilbend.example/internal/load"
)

// Headers that the load generator sets.
const (
	// IDHeader names a call; the answer repeats it.
	IDHeader = "Request-Id"
	// SizeHeader asks for an answer of at least so many bytes.
	SizeHeader = "Answer-Size"
	// attemptHeader is set by an entry VM.
	attemptHeader = "Request-Attempt"
	// workspaceHeader may be set by an entry VM.
	workspaceHeader = "Workspace"
)

// maxAnswerSize bounds what SizeHeader may ask for, in bytes.
const maxAnswerSize = 64 << 20

// echo is the answer to a request without IDHeader.
type echo struct {
	Method     string
	Path       string
	Server     string
	Header     http.Header
	BodyDigest string
}

// run works on the request and answers.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, m modes) {
	e := Execution{
		ID:        r.Header.Get(IDHeader),
		Workspace: r.Header.Get(workspaceHeader),
		Server:    s.Address,
		Attempt:   attempt(r),
		Start:     time.Now(),
		KeySeen:   s.keySeen(r),
	}
	defer func() { s.record(e) }()
	h := fnv.New64a()
	if _, err := io.Copy(h, r.Body); err != nil {
		e.End, e.Cancelled = time.Now(), true
		panic(http.ErrAbortHandler)
	}
	e.BodyDigest = digest(h)
	ok := sleep(ctx, s.workTime(m))
	e.End, e.Cancelled = time.Now(), !ok
	if !ok {
		s.expire(ctx, w)
		return
	}
	s.answer(w, r, e, m)
}

// expire ends a request whose deadline passed or whose caller went away.
func (s *Server) expire(ctx context.Context, w http.ResponseWriter) {
	if ctx.Err() == context.DeadlineExceeded {
		w.Header().Set(load.Header, s.report())
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler)
}

// answer sends the answer. One that is cut has a stated length or none,
// depending on its length.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, e Execution, m modes) {
	b := s.body(r, e)
	w.Header().Set(load.Header, s.report())
	if !m.cutNow || len(b)%2 == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	}
	if !m.cutNow {
		_, _ = w.Write(b)
		return
	}
	_, _ = w.Write(b[:len(b)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *Server) body(r *http.Request, e Execution) []byte {
	if e.ID != "" {
		n, _ := strconv.Atoi(r.Header.Get(SizeHeader))
		return Body(e.ID, e.BodyDigest, s.Address.String(), min(n, maxAnswerSize))
	}
	b, err := json.MarshalIndent(echo{
		Method:     r.Method,
		Path:       r.URL.Path,
		Server:     s.Address.String(),
		Header:     r.Header,
		BodyDigest: e.BodyDigest,
	}, "", "  ")
	if err != nil {
		return []byte("{}\n")
	}
	return append(b, '\n')
}

// Body returns the answer to a call: its identity, the digest of the body that
// was read, the server, filling up to size bytes, and an end mark.
func Body(id, digest, server string, size int) []byte {
	head := fmt.Sprintf("%s %s %s\n", id, digest, server)
	tail := "\nend " + id + "\n"
	fill := max(0, size-len(head)-len(tail))
	return []byte(head + strings.Repeat(".", fill) + tail)
}

// Digest returns the digest of a body as an answer holds it.
func Digest(b []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return digest(h)
}

func digest(h hash.Hash) string {
	return hex.EncodeToString(h.Sum(nil))
}

// workTime draws the time of work on one request.
func (s *Server) workTime(m modes) time.Duration {
	t := float64(s.ServiceTime) * m.slow
	if s.Spread > 0 {
		t *= math.Exp(s.Spread*s.state.normal() - s.Spread*s.Spread/2)
	}
	return time.Duration(t)
}

// keySeen tells whether a key stands anywhere in the request's header or URL.
func (s *Server) keySeen(r *http.Request) bool {
	for _, k := range s.Keys {
		if strings.Contains(r.RequestURI, k) {
			return true
		}
		for _, vs := range r.Header {
			for _, v := range vs {
				if strings.Contains(v, k) {
					return true
				}
			}
		}
	}
	return false
}

func attempt(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(attemptHeader))
	if err != nil {
		return 0
	}
	return n
}
