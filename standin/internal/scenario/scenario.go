// Package scenario is a small language for stories of faults: commands for
// testscript that run a fleet, bring faults about and judge what happened.
package scenario

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/load"
)

// Times of a scenario.
const (
	// patience bounds every wait for something that must happen.
	patience     = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	callTimeout  = 20 * time.Second
)

// stateKey finds the state of a script.
type stateKey struct{}

// state is what one script has built up.
type state struct {
	bin        string
	dir        string
	ctx        context.Context
	cancel     context.CancelFunc
	deployment fleet.Deployment
	lag        time.Duration
	fleet      *fleet.Fleet
	watch      sync.WaitGroup

	mu    sync.Mutex
	loads map[string]*running
}

// running is a load that was begun.
type running struct {
	done   chan struct{}
	result *load.Result
	err    error
}

// Params returns the parameters to run the scripts in dir with the program
// lentilbend in bin.
func Params(dir, bin string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(e *testscript.Env) error {
			s := &state{bin: bin, dir: e.WorkDir, deployment: fleet.SmallDeployment(0), loads: map[string]*running{}}
			s.ctx, s.cancel = context.WithCancel(context.Background())
			e.Values[stateKey{}] = s
			e.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"service":  command(setService),
			"row":      command(setRow),
			"lag":      command(setLag),
			"fleet":    command(startFleet),
			"backend":  command(setBackend),
			"leave":    command(leave),
			"platform": command(setPlatform),
			"withdraw": command(withdraw),
			"give":     command(give),
			"centre":   command(setCentre),
			"edit":     command(edit),
			"mend":     command(mend),
			"vm":       command(setVM),
			"cut":      command(cut),
			"heal":     command(heal),
			"crash":    command(crash),
			"pause":    command(pause),
			"resume":   command(resume),
			"shutdown": command(shutdown),
			"start":    command(start),
			"call":     command(call),
			"until":    command(until),
			"load":     command(runLoad),
			"begin":    command(beginLoad),
			"finish":   command(finishLoad),
			"pass":     command(pass),
			"in-force": command(inForce),
			"expect":   command(expect),
			"check":    command(check),
		},
	}
}

// command makes a testscript command of a function that returns an error.
func command(f func(s *state, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(t *testscript.TestScript, neg bool, args []string) {
		s := t.Value(stateKey{}).(*state)
		err := f(s, args)
		if neg && err == nil {
			t.Fatalf("succeeded unexpectedly")
		}
		if neg {
			return
		}
		if err != nil && s.fleet != nil && os.Getenv("SCENARIO_LOGS") != "" {
			for _, e := range s.fleet.Entries {
				t.Logf("entry VM %d: %s", e.Index+1, e.LogTail())
			}
		}
		t.Check(err)
	}
}

func (s *state) close() {
	s.cancel()
	for _, r := range s.loads {
		<-r.done
	}
	s.watch.Wait()
	if s.fleet != nil {
		s.fleet.Close()
	}
}

// option is one argument such as "rate=20".
type option struct {
	name, value string
}

// options splits arguments into plain ones and options.
func options(args []string) ([]string, []option) {
	var plain []string
	var os []option
	for _, a := range args {
		n, v, ok := strings.Cut(a, "=")
		if ok {
			os = append(os, option{name: n, value: v})
		} else {
			plain = append(plain, a)
		}
	}
	return plain, os
}

// want fails unless there are n plain arguments.
func want(args []string, n int, usage string) error {
	if len(args) != n {
		return fmt.Errorf("usage: %s", usage)
	}
	return nil
}

// eventually polls until f returns nil.
func eventually(s *state, f func() error) error {
	t := time.Now().Add(patience)
	for {
		err := f()
		if err == nil || s.ctx.Err() != nil {
			return err
		}
		if time.Now().After(t) {
			return fmt.Errorf("not within %s: %w", patience, err)
		}
		time.Sleep(pollInterval)
	}
}
