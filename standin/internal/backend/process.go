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

// Request headers.
const (
	// IDHeader identifies a call, that is one request of the load generator. It is
	// set by the load generator and repeated in the body of the answer.
	IDHeader = "Request-Id"
	// AnswerSizeHeader is the minimum size of the answer's body in bytes. It is set
	// by the load generator.
	AnswerSizeHeader = "Answer-Size"
	// attemptHeader is the number of the attempt, set by the entry VM.
	attemptHeader = "Request-Attempt"
	// workspaceHeader is the workspace of the caller; the entry VM may set it.
	workspaceHeader = "Workspace"
)

// maxAnswerBytes limits the value of AnswerSizeHeader.
const maxAnswerBytes = 64 << 20

// echo is the answer to a request without IDHeader, in JSON.
type echo struct {
	Method     string
	Path       string
	Server     string
	Header     http.Header
	BodyDigest string
}

// process reads the request, waits for the service time and answers.
func (s *Server) process(ctx context.Context, w http.ResponseWriter, r *http.Request, m modes) {
	e := Execution{
		ID:        r.Header.Get(IDHeader),
		Workspace: r.Header.Get(workspaceHeader),
		Server:    s.Address,
		Attempt:   attemptNumber(r),
		Start:     time.Now(),
		KeySeen:   s.containsKey(r),
	}
	defer func() { s.recordExecution(e) }()
	h := fnv.New64a()
	if _, err := io.Copy(h, r.Body); err != nil {
		e.End, e.Cancelled = time.Now(), true
		panic(http.ErrAbortHandler)
	}
	e.BodyDigest = hexDigest(h)
	ok := sleep(ctx, s.sampleServiceTime(m))
	e.End, e.Cancelled = time.Now(), !ok
	if !ok {
		s.answerUnfinished(ctx, w)
		return
	}
	s.sendAnswer(w, r, e, m)
}

// answerUnfinished answers with status 504 if the deadline of the request has passed,
// and closes the connection if the request was cancelled.
func (s *Server) answerUnfinished(ctx context.Context, w http.ResponseWriter) {
	if ctx.Err() == context.DeadlineExceeded {
		w.Header().Set(load.Header, s.report())
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler)
}

// sendAnswer sends the answer. An answer to be cut carries a Content-Length header
// only if its length is even, so that both kinds of incomplete answers occur.
func (s *Server) sendAnswer(w http.ResponseWriter, r *http.Request, e Execution, m modes) {
	b := s.answerBody(r, e)
	w.Header().Set(load.Header, s.report())
	if !m.cutAnswer || len(b)%2 == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	}
	if !m.cutAnswer {
		_, _ = w.Write(b)
		return
	}
	_, _ = w.Write(b[:len(b)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// answerBody returns the body of the answer: AnswerBody for a call with an ID, else
// an echo.
func (s *Server) answerBody(r *http.Request, e Execution) []byte {
	if e.ID != "" {
		n, _ := strconv.Atoi(r.Header.Get(AnswerSizeHeader))
		return AnswerBody(e.ID, e.BodyDigest, s.Address.String(), min(n, maxAnswerBytes))
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

// AnswerBody returns the body of the answer to a call: the call's ID, the digest of
// the request's body, the server's address, padding up to size bytes, and an end
// marker.
func AnswerBody(id, digest, server string, size int) []byte {
	head := fmt.Sprintf("%s %s %s\n", id, digest, server)
	tail := "\nend " + id + "\n"
	fill := max(0, size-len(head)-len(tail))
	return []byte(head + strings.Repeat(".", fill) + tail)
}

// BodyDigest returns the digest of a request's body as it appears in the answer.
func BodyDigest(b []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return hexDigest(h)
}

func hexDigest(h hash.Hash) string {
	return hex.EncodeToString(h.Sum(nil))
}

// sampleServiceTime returns a random service time for one request. The mean of the
// log-normal factor is 1.
func (s *Server) sampleServiceTime(m modes) time.Duration {
	t := float64(s.ServiceTime) * m.slowFactor
	if s.Spread > 0 {
		t *= math.Exp(s.Spread*s.state.normFloat64() - s.Spread*s.Spread/2)
	}
	return time.Duration(t)
}

// containsKey reports whether a key occurs in the request's headers or URL.
func (s *Server) containsKey(r *http.Request) bool {
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

func attemptNumber(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(attemptHeader))
	if err != nil {
		return 0
	}
	return n
}
