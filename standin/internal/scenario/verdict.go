package scenario

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/load"
)

// call sends a request to every running entry VM and compares the status:
// call WORKSPACE METHOD PATH STATUS, where WORKSPACE may be "nobody".
func call(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if err := want(args, 4, "call WORKSPACE METHOD PATH STATUS"); err != nil {
		return err
	}
	for _, e := range s.fleet.Entries {
		if !e.Running() {
			continue
		}
		c, err := s.send(e, args[0], args[1], args[2])
		if err != nil {
			return err
		}
		if strconv.Itoa(c) != args[3] {
			return fmt.Errorf("entry VM %d answered %d", e.Index+1, c)
		}
	}
	return nil
}

// until repeats call until it succeeds.
func until(s *state, args []string) error {
	return eventually(s, func() error { return call(s, args) })
}

func (s *state) send(e *fleet.Entry, workspace, method, path string) (int, error) {
	key := ""
	for _, w := range s.deployment.Workspaces {
		if w.Name == workspace {
			key = w.Key
		}
	}
	return e.Call(s.ctx, method, path, key)
}

// runLoad sends calls and waits for their ends:
// load NAME rate=N for=D [kind=NAME] [workspace=NAME] [entry=N] [timeout=D].
func runLoad(s *state, args []string) error {
	if err := beginLoad(s, args); err != nil {
		return err
	}
	return finishLoad(s, args[:1])
}

// beginLoad starts to send calls: begin NAME OPTION=VALUE....
func beginLoad(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	p, os := options(args)
	if err := want(p, 1, "begin|load NAME OPTION=VALUE..."); err != nil {
		return err
	}
	g := s.fleet.NewGenerator()
	g.Prefix = p[0] + "-"
	g.Timeout = callTimeout
	for _, o := range os {
		if err := loadOption(g, o); err != nil {
			return err
		}
	}
	r := &running{done: make(chan struct{})}
	s.mu.Lock()
	s.loads[p[0]] = r
	s.mu.Unlock()
	go func() {
		r.result, r.err = g.Run(s.ctx)
		close(r.done)
	}()
	return nil
}

func loadOption(g *load.Generator, o option) error {
	var err error
	switch o.name {
	case "rate":
		g.Rate, err = strconv.ParseFloat(o.value, 64)
	case "for":
		g.Duration, err = time.ParseDuration(o.value)
	case "timeout":
		g.Timeout, err = time.ParseDuration(o.value)
	case "kind":
		g.Kinds = keep(g.Kinds, func(k load.Kind) bool { return k.Name == o.value })
	case "workspace":
		g.Workspaces = keep(g.Workspaces, func(w load.Workspace) bool { return w.Name == o.value })
	case "entry":
		n, e := strconv.Atoi(o.value)
		if e != nil || n < 1 || n > len(g.Entries) {
			return fmt.Errorf("no entry VM %q", o.value)
		}
		g.Entries = g.Entries[n-1 : n]
	default:
		return fmt.Errorf("no option %q", o.name)
	}
	return err
}

func keep[T any](all []T, f func(T) bool) []T {
	var ts []T
	for _, t := range all {
		if f(t) {
			ts = append(ts, t)
		}
	}
	return ts
}

// finishLoad waits for the end of a load: finish NAME.
func finishLoad(s *state, args []string) error {
	if err := want(args, 1, "finish NAME"); err != nil {
		return err
	}
	r, ok := s.loads[args[0]]
	if !ok {
		return fmt.Errorf("no load %q", args[0])
	}
	<-r.done
	return r.err
}

// pass lets time pass: pass D.
func pass(s *state, args []string) error {
	if err := want(args, 1, "pass DURATION"); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	select {
	case <-time.After(d):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// inForce waits until the newest revision is in force at every running VM:
// in-force.
func inForce(s *state, args []string) error {
	if err := want(args, 0, "in-force"); err != nil {
		return err
	}
	if s.fleet == nil {
		return errNoFleet
	}
	n := s.fleet.Platform.Revision()
	return eventually(s, func() error { return s.inForce(s.ctx, n) })
}

func (s *state) inForce(ctx context.Context, revision uint64) error {
	for _, e := range s.fleet.Entries {
		if !e.Running() {
			continue
		}
		n, err := e.Metric(ctx, fleet.RevisionMetric)
		if err != nil {
			return err
		}
		if uint64(n) < revision {
			return fmt.Errorf("revision %g is in force at entry VM %d, not %d", n, e.Index+1, revision)
		}
	}
	return nil
}

// expect compares a count of a finished load: expect NAME COUNT
// at-least|at-most N[%].
func expect(s *state, args []string) error {
	if err := want(args, 4, "expect NAME COUNT at-least|at-most N[%]"); err != nil {
		return err
	}
	if err := finishLoad(s, args[:1]); err != nil {
		return err
	}
	r := s.loads[args[0]].result
	l := r.Total
	n, ok := counts(l)[args[1]]
	if !ok {
		return fmt.Errorf("no count %q", args[1])
	}
	t, percent := strings.CutSuffix(args[3], "%")
	b, err := strconv.ParseFloat(t, 64)
	if err != nil {
		return err
	}
	if percent {
		b *= float64(l.Calls) / 100
	}
	switch {
	case args[2] == "at-least" && float64(n) < b, args[2] == "at-most" && float64(n) > b:
		return fmt.Errorf("%s is %d of %d calls: %+v, refusals: %+v", args[1], n, l.Calls, counts(l), r.Refusals)
	case args[2] != "at-least" && args[2] != "at-most":
		return fmt.Errorf("%q is neither at-least nor at-most", args[2])
	}
	return nil
}

func counts(l load.CallStats) map[string]uint64 {
	return map[string]uint64{
		"calls":     l.Calls,
		"served":    l.Served,
		"limited":   l.Limited,
		"refused":   l.Refused,
		"errors":    l.Errors,
		"unknown":   l.Unknown,
		"cut":       l.Cut,
		"timed-out": l.TimedOut,
		"failed":    l.Failed,
	}
}

// mostShown bounds how many violations are told.
const mostShown = 10

// check waits for all loads and judges the history by all checks or by those
// named: check [NAME...].
func check(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	for n := range s.loads {
		if err := finishLoad(s, []string{n}); err != nil {
			return err
		}
	}
	h := s.fleet.History()
	if len(h.Calls) == 0 || len(h.Executions) == 0 {
		return errors.New("the history is empty")
	}
	vs, err := h.FindViolations(args...)
	if err != nil || len(vs) == 0 {
		return err
	}
	var b strings.Builder
	for _, v := range vs[:min(len(vs), mostShown)] {
		b.WriteString("\n" + v.String())
	}
	return fmt.Errorf("%d violations:%s", len(vs), b.String())
}
