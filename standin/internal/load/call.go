package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/history"
)

// Header of the refusals of an entry VM, and its value when the request was not
// run.
const (
	runHeader   = "Lentilbend-Run"
	notRunValue = "not-run"
)

// maxDialAttempts is how many entry VMs are tried for a call when no connection
// can be opened.
const maxDialAttempts = 3

// maxAnswerBytes bounds what is read of the body of one answer.
const maxAnswerBytes = 64 << 20

// oneTimeBody is a request body that net/http cannot send again, so that it does
// not retry a call by itself. It is used for empty bodies too, since net/http may
// retry a request without a body.
type oneTimeBody struct {
	io.Reader
}

// call sends one call and records its outcome.
func (g *Generator) call(ctx context.Context, a arrival) {
	c := history.Call{
		ID:         g.Prefix + strconv.Itoa(a.number),
		Workspace:  a.workspace.Name,
		Key:        a.workspace.KeyName,
		Kind:       a.kind.Name,
		Service:    a.kind.Service,
		Idempotent: a.kind.Idempotent,
		Open:       a.kind.Open,
	}
	if c.Key == "" {
		c.Key = c.Workspace
	}
	b := requestBody(c.ID, a.kind.BodySize)
	c.BodyDigest = backend.BodyDigest(b)
	for range maxDialAttempts {
		c.Entry = g.balancer.pick().Caller
		c.Start = time.Now()
		c.Outcome = g.send(ctx, &c, a, b)
		if f, ok := c.Outcome.(history.Failed); !ok || !f.NotSent {
			break
		}
	}
	c.End = time.Now()
	g.result.add(a, &c)
	if g.Recorder != nil {
		g.Recorder.RecordCall(c)
	}
}

// requestBody returns a body that differs between calls. It has size bytes, or
// the length of id if that is more; it is nil if size is 0.
func requestBody(id string, size int) []byte {
	if size == 0 {
		return nil
	}
	b := []byte(id + "\n")
	for len(b) < size {
		b = append(b, b...)
	}
	return b[:max(size, len(id))]
}

// send sends a request once to c.Entry and returns its outcome.
func (g *Generator) send(ctx context.Context, c *history.Call, a arrival, b []byte) history.Outcome {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, a.kind.Method, "http://"+c.Entry.String()+a.kind.Path, nil)
	if err != nil {
		return history.Failed{Text: err.Error(), NotSent: true}
	}
	r.Body = io.NopCloser(oneTimeBody{bytes.NewReader(b)})
	r.ContentLength = int64(len(b))
	r.Header.Set(backend.IDHeader, c.ID)
	if a.kind.AnswerSize > 0 {
		r.Header.Set(backend.AnswerSizeHeader, strconv.Itoa(a.kind.AnswerSize))
	}
	if a.workspace.Key != "" {
		r.Header.Set("Authorization", "Bearer "+a.workspace.Key)
	}
	s, err := g.client.Do(r)
	if err != nil {
		return errorOutcome(ctx, err)
	}
	defer func() { _ = s.Body.Close() }()
	return answerOutcome(ctx, s, a.kind.AnswerSize)
}

// errorOutcome returns the outcome of a request that got no header of an answer.
func errorOutcome(ctx context.Context, err error) history.Outcome {
	if ctx.Err() != nil {
		return history.TimedOut{}
	}
	o := (*net.OpError)(nil)
	return history.Failed{Text: err.Error(), NotSent: errors.As(err, &o) && o.Op == "dial"}
}

// answerOutcome reads an answer, which should have at least minSize bytes.
func answerOutcome(ctx context.Context, s *http.Response, minSize int) history.Outcome {
	b, err := io.ReadAll(io.LimitReader(s.Body, maxAnswerBytes))
	if err != nil {
		if ctx.Err() != nil {
			return history.TimedOut{}
		}
		return history.Cut{}
	}
	if v := s.Header.Get(runHeader); v != "" {
		return history.Refused{Status: s.StatusCode, NotRun: v == notRunValue, Reason: problemDetail(b)}
	}
	return parseAnswer(s.StatusCode, string(b), minSize)
}

// problemDetail returns the detail of a problem document (RFC 9457), or "" if b
// is none.
func problemDetail(b []byte) string {
	p := struct {
		Detail string `json:"detail"`
	}{}
	if json.Unmarshal(b, &p) != nil {
		return ""
	}
	return p.Detail
}

// parseAnswer parses the body of an answer in the format of backend.AnswerBody.
func parseAnswer(status int, b string, minSize int) history.Answered {
	a := history.Answered{Status: status}
	head, rest, ok := strings.Cut(b, "\n")
	f := strings.Fields(head)
	if !ok || len(f) != 3 {
		return a
	}
	a.ID, a.BodyDigest, a.Server = f[0], f[1], f[2]
	a.Whole = strings.HasSuffix(rest, "\nend "+a.ID+"\n") && len(b) >= minSize
	return a
}
