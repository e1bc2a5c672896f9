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

// Headers of refusals.
const (
	runHeader = "Lentilbend-Run"
	notRun    = "not-run"
)

// dials is how many entry VMs the balancer tries when connections cannot be
// opened.
const dials = 3

// maxAnswer bounds what is read of one answer, in bytes.
const maxAnswer = 64 << 20

// once is a body, maybe empty, that the client cannot send twice, so that it
// repeats no call by itself.
type once struct {
	io.Reader
}

// call sends one call and records its end.
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
	b := body(c.ID, a.kind.BodySize)
	c.BodyDigest = backend.BodyDigest(b)
	for range dials {
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
		g.Recorder.Call(c)
	}
}

// body returns size bytes that differ between calls.
func body(id string, size int) []byte {
	if size == 0 {
		return nil
	}
	b := []byte(id + "\n")
	for len(b) < size {
		b = append(b, b...)
	}
	return b[:max(size, len(id))]
}

func (g *Generator) send(ctx context.Context, c *history.Call, a arrival, b []byte) history.Outcome {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, a.kind.Method, "http://"+c.Entry.String()+a.kind.Path, nil)
	if err != nil {
		return history.Failed{Text: err.Error(), NotSent: true}
	}
	r.Body = io.NopCloser(once{bytes.NewReader(b)})
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
		return failure(ctx, err)
	}
	defer func() { _ = s.Body.Close() }()
	return outcome(ctx, s, a.kind.AnswerSize)
}

func failure(ctx context.Context, err error) history.Outcome {
	if ctx.Err() != nil {
		return history.TimedOut{}
	}
	o := (*net.OpError)(nil)
	return history.Failed{Text: err.Error(), NotSent: errors.As(err, &o) && o.Op == "dial"}
}

func outcome(ctx context.Context, s *http.Response, size int) history.Outcome {
	b, err := io.ReadAll(io.LimitReader(s.Body, maxAnswer))
	if err != nil {
		if ctx.Err() != nil {
			return history.TimedOut{}
		}
		return history.Cut{}
	}
	if v := s.Header.Get(runHeader); v != "" {
		return history.Refused{Status: s.StatusCode, NotRun: v == notRun, Reason: reason(b)}
	}
	return answered(s.StatusCode, string(b), size)
}

// reason returns the detail of a problem document.
func reason(b []byte) string {
	p := struct {
		Detail string `json:"detail"`
	}{}
	if json.Unmarshal(b, &p) != nil {
		return ""
	}
	return p.Detail
}

// answered reads an answer as backend.Body writes it.
func answered(status int, b string, size int) history.Answered {
	a := history.Answered{Status: status}
	head, rest, ok := strings.Cut(b, "\n")
	f := strings.Fields(head)
	if !ok || len(f) != 3 {
		return a
	}
	a.ID, a.BodyDigest, a.Server = f[0], f[1], f[2]
	a.Whole = strings.HasSuffix(rest, "\nend "+a.ID+"\n") && len(b) >= size
	return a
}
