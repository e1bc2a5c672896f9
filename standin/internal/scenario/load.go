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

// callEntries sends a request to every running entry VM and checks the status of
// the answer: call WORKSPACE METHOD PATH STATUS. For an unknown WORKSPACE, such as
// "nobody", the request has no key.
func callEntries(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if err := checkArgCount(args, 4, "call WORKSPACE METHOD PATH STATUS"); err != nil {
		return err
	}
	for _, e := range s.fleet.Entries {
		if !e.Running() {
			continue
		}
		c, err := s.sendRequest(e, args[0], args[1], args[2])
		if err != nil {
			return err
		}
		if strconv.Itoa(c) != args[3] {
			return fmt.Errorf("entry VM %d answered with status %d", e.Index+1, c)
		}
	}
	return nil
}

// retryCall repeats callEntries until it succeeds:
// until WORKSPACE METHOD PATH STATUS.
func retryCall(s *state, args []string) error {
	return waitUntil(s, func() error { return callEntries(s, args) })
}

func (s *state) sendRequest(e *fleet.Entry, workspace, method, path string) (int, error) {
	key := ""
	for _, w := range s.deployment.Workspaces {
		if w.Name == workspace {
			key = w.Key
		}
	}
	return e.Call(s.ctx, method, path, key)
}

// runLoad sends calls at a rate, in calls per second, and waits until all have
// ended:
// load NAME rate=N for=D [kind=NAME] [workspace=NAME] [entry=N] [timeout=D].
func runLoad(s *state, args []string) error {
	if err := startLoad(s, args); err != nil {
		return err
	}
	return finishLoad(s, args[:1])
}

// startLoad starts to send calls in the background, with the options of runLoad:
// begin NAME OPTION=VALUE....
func startLoad(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	p, opts := splitOptions(args)
	if err := checkArgCount(p, 1, "begin|load NAME OPTION=VALUE..."); err != nil {
		return err
	}
	g := s.fleet.NewGenerator()
	g.Prefix = p[0] + "-"
	g.Timeout = callTimeout
	for _, o := range opts {
		if err := setLoadOption(g, o); err != nil {
			return err
		}
	}
	r := &loadRun{done: make(chan struct{})}
	s.mu.Lock()
	s.loads[p[0]] = r
	s.mu.Unlock()
	go func() {
		r.result, r.err = g.Run(s.ctx)
		close(r.done)
	}()
	return nil
}

func setLoadOption(g *load.Generator, o option) error {
	var err error
	switch o.name {
	case "rate":
		g.Rate, err = strconv.ParseFloat(o.value, 64)
	case "for":
		g.Duration, err = time.ParseDuration(o.value)
	case "timeout":
		g.Timeout, err = time.ParseDuration(o.value)
	case "kind":
		g.Kinds = filter(g.Kinds, func(k load.Kind) bool { return k.Name == o.value })
	case "workspace":
		g.Workspaces = filter(g.Workspaces, func(w load.Workspace) bool { return w.Name == o.value })
	case "entry":
		n, e := strconv.Atoi(o.value)
		if e != nil || n < 1 || n > len(g.Entries) {
			return fmt.Errorf("no entry VM with number %q", o.value)
		}
		g.Entries = g.Entries[n-1 : n]
	default:
		return fmt.Errorf("unknown option %q", o.name)
	}
	return err
}

func filter[T any](all []T, match func(T) bool) []T {
	var ts []T
	for _, t := range all {
		if match(t) {
			ts = append(ts, t)
		}
	}
	return ts
}

// finishLoad waits for the end of a load and returns its error: finish NAME.
func finishLoad(s *state, args []string) error {
	if err := checkArgCount(args, 1, "finish NAME"); err != nil {
		return err
	}
	r, ok := s.loads[args[0]]
	if !ok {
		return fmt.Errorf("no load was started with the name %q", args[0])
	}
	<-r.done
	return r.err
}

// sleep waits for a duration or until the script ends: pass DURATION.
func sleep(s *state, args []string) error {
	if err := checkArgCount(args, 1, "pass DURATION"); err != nil {
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

// waitInForce waits until the newest table revision is in force on every running
// entry VM: in-force.
func waitInForce(s *state, args []string) error {
	if err := checkArgCount(args, 0, "in-force"); err != nil {
		return err
	}
	if s.fleet == nil {
		return errNoFleet
	}
	n := s.fleet.Platform.Revision()
	return waitUntil(s, func() error { return s.checkInForce(s.ctx, n) })
}

func (s *state) checkInForce(ctx context.Context, revision uint64) error {
	for _, e := range s.fleet.Entries {
		if !e.Running() {
			continue
		}
		n, err := e.Metric(ctx, fleet.RevisionMetric)
		if err != nil {
			return err
		}
		if uint64(n) < revision {
			return fmt.Errorf("table revision %g is in force on entry VM %d, want at least %d", n, e.Index+1, revision)
		}
	}
	return nil
}

// expectCount waits for the end of a load and compares one of its counts with a
// number or with a percentage of its calls:
// expect NAME COUNT at-least|at-most N[%].
func expectCount(s *state, args []string) error {
	if err := checkArgCount(args, 4, "expect NAME COUNT at-least|at-most N[%]"); err != nil {
		return err
	}
	if err := finishLoad(s, args[:1]); err != nil {
		return err
	}
	r := s.loads[args[0]].result
	l := r.Total
	n, ok := callCounts(l)[args[1]]
	if !ok {
		return fmt.Errorf("unknown count %q", args[1])
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
		return fmt.Errorf("%s is %d of %d calls: %+v, refusals: %+v", args[1], n, l.Calls, callCounts(l), r.Refusals)
	case args[2] != "at-least" && args[2] != "at-most":
		return fmt.Errorf("%q is neither at-least nor at-most", args[2])
	}
	return nil
}

func callCounts(l load.CallStats) map[string]uint64 {
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

// maxShownViolations is how many violations a failed check prints.
const maxShownViolations = 10

// checkHistory waits for all loads and searches the history for violations, by
// all checks or by those named: check [NAME...].
func checkHistory(s *state, args []string) error {
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
		return errors.New("the history has no calls or no executions to check")
	}
	vs, err := h.FindViolations(args...)
	if err != nil || len(vs) == 0 {
		return err
	}
	var b strings.Builder
	for _, v := range vs[:min(len(vs), maxShownViolations)] {
		b.WriteString("\n" + v.String())
	}
	return fmt.Errorf("%d violations:%s", len(vs), b.String())
}
