// Package scenario provides testscript commands for fault scenarios: they start
// a fleet, inject faults, send calls and check the recorded history.
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

const (
	// waitTimeout bounds every wait for a condition that a script expects.
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// callTimeout bounds each call of a load, unless the load has the option
	// timeout.
	callTimeout = 20 * time.Second
)

// stateKey is the key of a script's state in testscript.Env.Values.
type stateKey struct{}

// state is the state of one script: its deployment, fleet and loads.
type state struct {
	binDir     string
	workDir    string
	ctx        context.Context
	cancel     context.CancelFunc
	deployment fleet.Deployment
	listLag    time.Duration
	fleet      *fleet.Fleet
	observers  sync.WaitGroup

	mu    sync.Mutex
	loads map[string]*loadRun
}

// loadRun is a load that was started. The result is valid once done is closed.
type loadRun struct {
	done   chan struct{}
	result *load.Result
	err    error
}

// Params returns the testscript parameters that run the scripts in dir with the
// lentilbend program in binDir.
//
// The condition known-red holds if the environment variable KNOWN_RED is set. It
// guards the checks listed in KNOWN-RED.txt.
func Params(dir, binDir string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(e *testscript.Env) error {
			s := &state{binDir: binDir, workDir: e.WorkDir, deployment: fleet.SmallDeployment(0), loads: map[string]*loadRun{}}
			s.ctx, s.cancel = context.WithCancel(context.Background())
			e.Values[stateKey{}] = s
			e.Defer(s.close)
			return nil
		},
		Condition: func(name string) (bool, error) {
			if name != "known-red" {
				return false, fmt.Errorf("unknown condition %q", name)
			}
			return os.Getenv("KNOWN_RED") != "", nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"service":  adaptCommand(setService),
			"row":      adaptCommand(setRow),
			"lag":      adaptCommand(setListLag),
			"fleet":    adaptCommand(startFleet),
			"backend":  adaptCommand(setBackend),
			"leave":    adaptCommand(setLeaving),
			"platform": adaptCommand(setPlatform),
			"withdraw": adaptCommand(withdrawKey),
			"give":     adaptCommand(restoreKey),
			"centre":   adaptCommand(setDataCentre),
			"edit":     adaptCommand(editTable),
			"mend":     adaptCommand(undoEdit),
			"vm":       adaptCommand(setVM),
			"cut":      adaptCommand(cutLinks),
			"heal":     adaptCommand(healLinks),
			"crash":    adaptCommand(killEntry),
			"pause":    adaptCommand(pauseEntry),
			"resume":   adaptCommand(resumeEntry),
			"shutdown": adaptCommand(shutDownEntry),
			"start":    adaptCommand(startEntry),
			"call":     adaptCommand(callEntries),
			"until":    adaptCommand(retryCall),
			"load":     adaptCommand(runLoad),
			"begin":    adaptCommand(startLoad),
			"finish":   adaptCommand(finishLoad),
			"pass":     adaptCommand(sleep),
			"in-force": adaptCommand(waitInForce),
			"expect":   adaptCommand(expectCount),
			"check":    adaptCommand(checkHistory),
		},
	}
}

// adaptCommand returns f as a testscript command, which fails the script if f
// returns an error, or for a negated command if it does not. With SCENARIO_LOGS
// set, an unexpected error also prints the end of each entry VM's log.
func adaptCommand(f func(s *state, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(t *testscript.TestScript, neg bool, args []string) {
		s := t.Value(stateKey{}).(*state)
		err := f(s, args)
		if neg && err == nil {
			t.Fatalf("command succeeded, but the script expects it to fail")
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
	s.observers.Wait()
	if s.fleet != nil {
		s.fleet.Close()
	}
}

// option is an argument of the form NAME=VALUE, such as "rate=20".
type option struct {
	name, value string
}

// splitOptions separates positional arguments from options.
func splitOptions(args []string) ([]string, []option) {
	var positional []string
	var opts []option
	for _, a := range args {
		n, v, ok := strings.Cut(a, "=")
		if ok {
			opts = append(opts, option{name: n, value: v})
		} else {
			positional = append(positional, a)
		}
	}
	return positional, opts
}

// checkArgCount returns a usage error unless there are n positional arguments.
func checkArgCount(args []string, n int, usage string) error {
	if len(args) != n {
		return fmt.Errorf("usage: %s", usage)
	}
	return nil
}

// waitUntil polls until f returns nil, the script ends or waitTimeout has passed.
func waitUntil(s *state, f func() error) error {
	t := time.Now().Add(waitTimeout)
	for {
		err := f()
		if err == nil || s.ctx.Err() != nil {
			return err
		}
		if time.Now().After(t) {
			return fmt.Errorf("condition not met within %s: %w", waitTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}
