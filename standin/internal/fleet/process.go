package fleet

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lentilbend.example/standin/internal/history"
)

// Entry is one entry VM: a process and its addresses.
type Entry struct {
	// Index is the position in Fleet.Entries, from 0. Files are numbered from 1.
	Index int
	// Caller, Operator and Peer are the addresses that callers, operators and
	// other entry VMs connect to.
	Caller   netip.AddrPort
	Operator netip.AddrPort
	Peer     netip.AddrPort

	fleet  *Fleet
	client http.Client

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has exited with exitCode.
	done     chan struct{}
	exitCode int
}

// processStarter starts processes that the kernel kills when this process
// exits. Pdeathsig acts when the thread that started a process exits, so all of
// them are started from one thread that lives as long as the fleet.
type processStarter struct {
	jobs chan func()
}

func newProcessStarter() *processStarter {
	s := &processStarter{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for f := range s.jobs {
			f()
		}
	}()
	return s
}

func (s *processStarter) start(c *exec.Cmd) error {
	done := make(chan error, 1)
	s.jobs <- func() { done <- c.Start() }
	return <-done
}

func (s *processStarter) close() {
	close(s.jobs)
}

func (f *Fleet) startEntry(i int) error {
	e := &Entry{
		Index:    i,
		Caller:   f.entryAddress(i, callerPort),
		Operator: f.entryAddress(i, operatorPort),
		Peer:     f.entryAddress(i, peerPort),
		fleet:    f,
	}
	e.client.Timeout = 5 * time.Second
	f.Entries = append(f.Entries, e)
	return e.Start()
}

// settingsTOML returns the text of the settings file.
func (e *Entry) settingsTOML() string {
	f := e.fleet
	return fmt.Sprintf(`DataCentre = %q

[Caller]
Address = %q

[Operator]
Address = %q

[Peer]
Address = %q
Listen = %q
Seeds = [%s]
ListAge = "5s"

[Platform]
%s

[Stop]
Wait = "1s"

%s`, f.Deployment.EntryDataCentres[e.Index], e.Caller, e.Operator, e.Peer, f.peerListenAddress(e.Index), f.seedsTOML(), f.platformTOML(e.Index), f.Settings)
}

// platformTOML returns the settings of the platform that entry VM i reads.
func (f *Fleet) platformTOML(i int) string {
	if f.StoreAddress.IsValid() {
		return fmt.Sprintf("Addresses = [%q]\nForm = \"Store\"\nTimeout = \"400ms\"", f.StoreAddress)
	}
	return fmt.Sprintf("Addresses = [%q]", f.platformAddress(i))
}

// seedsTOML returns the peer addresses of all entry VMs created so far, as
// elements of a TOML array.
func (f *Fleet) seedsTOML() string {
	var as []string
	for _, e := range f.Entries {
		as = append(as, strconv.Quote(e.Peer.String()))
	}
	return strings.Join(as, ", ")
}

// Start writes the settings file and starts the process, which must not be
// running. It does not wait until the entry VM is ready.
func (e *Entry) Start() error {
	f := e.fleet
	file := filepath.Join(f.Dir, fmt.Sprintf("entry-%d.toml", e.Index+1))
	if err := os.WriteFile(file, []byte(e.settingsTOML()), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	log, err := os.OpenFile(f.logFile(e.Index), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(filepath.Join(f.Bin, "lentilbend"), "serve", "--settings", file)
	c.Env = append(os.Environ(), f.Environment...)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.starter.start(c); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	d := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.done = c, d
	e.mu.Unlock()
	go func() {
		_ = c.Wait()
		e.mu.Lock()
		e.exitCode = c.ProcessState.ExitCode()
		e.mu.Unlock()
		close(d)
	}()
	return nil
}

// Running reports whether the process runs.
func (e *Entry) Running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return false
	}
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

func (e *Entry) signal(s os.Signal) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("fleet: entry VM %d: %w", e.Index, err)
	}
	return nil
}

// Kill sends SIGKILL and waits until the process has exited.
func (e *Entry) Kill() error {
	e.fleet.Recorder.RecordEvent(history.EntryInterrupted{Entry: e.Caller, At: time.Now()})
	if err := e.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-e.done
	return nil
}

// Pause suspends the process with SIGSTOP until Resume. It is recorded as
// history.EntryInterrupted, since calls may be aborted because of the pause.
func (e *Entry) Pause() error {
	e.fleet.Recorder.RecordEvent(history.EntryInterrupted{Entry: e.Caller, At: time.Now()})
	return e.signal(syscall.SIGSTOP)
}

// Reload makes the process read its settings again, by SIGHUP.
func (e *Entry) Reload() error {
	return e.signal(syscall.SIGHUP)
}

// Resume continues the process after Pause. It is recorded as
// history.EntryInterrupted, since calls may be aborted when the pause ends.
func (e *Entry) Resume() error {
	e.fleet.Recorder.RecordEvent(history.EntryInterrupted{Entry: e.Caller, At: time.Now()})
	return e.signal(syscall.SIGCONT)
}

// Stop starts a graceful shutdown by SIGTERM, waits until the process has exited
// and returns the exit code.
func (e *Entry) Stop() (int, error) {
	b := time.Now()
	if err := e.signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-e.done:
	case <-time.After(stopTimeout):
		return 0, fmt.Errorf("fleet: entry VM %d did not exit after SIGTERM", e.Index)
	}
	e.fleet.Recorder.RecordEvent(history.GracefulShutdown{Entry: e.Caller, Start: b, End: time.Now()})
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exitCode, nil
}

func (e *Entry) killIfRunning() {
	if !e.Running() {
		return
	}
	_ = e.signal(syscall.SIGKILL)
	<-e.done
}
