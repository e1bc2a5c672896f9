// Package fleet runs a fleet of entry VMs on one machine, for tests and
// measurements: each entry VM is a process of the program lentilbend with
// loopback addresses of its own. Simulated backend servers and a simulated
// platform run inside this process.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lentilbend.example/internal/platformpb"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/history"
	"lentilbend.example/standin/internal/platform"
)

const (
	startTimeout = 30 * time.Second
	// servingTimeout includes the time until the fleet-wide limits are usable
	// after all entry VMs have started at once.
	servingTimeout = 2 * time.Minute
	stopTimeout    = 30 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// Fleet runs a deployment in its own block of loopback addresses. Set the
// exported fields up to Seed before Start, which sets the others.
type Fleet struct {
	// Bin is the directory that holds the program lentilbend.
	Bin string
	// Dir is where settings and logs are written. If empty, Start creates a
	// temporary directory and Close removes it.
	Dir        string
	Deployment Deployment
	// Settings is TOML text added to the settings of each entry VM.
	Settings string
	// Environment is added to the environment of each entry VM.
	Environment []string
	// FaultProxies puts a TCP proxy in front of each entry VM's peer address, for
	// SetPartition, SetLinkFaults and ResetConnections.
	FaultProxies bool
	// StoreAddress, if valid, is the address of a store that the entry VMs read as
	// their platform (Form = "Store" in their settings). The fleet then simulates
	// neither the platform nor backend servers; the caller provides them.
	StoreAddress netip.AddrPort
	// ListLag is the age of the VM list in the platform's answers.
	ListLag time.Duration
	// Seed makes the random choices of the simulated backend servers and the load
	// generators repeatable.
	Seed uint64

	// Platform and Backends are simulated; unset if StoreAddress is valid.
	Platform *platform.Server
	Backends []*backend.Server
	Entries  []*Entry
	Recorder *history.Recorder

	executions *backend.Recorder
	block      *addressBlock
	// removeDir is set if Dir is a temporary directory.
	removeDir    bool
	startedAt    time.Time
	starter      *processStarter
	faultProxies []*faultProxy

	mu sync.Mutex
	// published holds the last published text of each value of the table.
	published map[string]string
}

// Start starts the simulated platform and backend servers and the entry VMs, and
// waits until all entry VMs are ready and, unless StoreAddress is valid, serve
// calls. Call Close even if Start fails.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.prepare(); err != nil {
		return err
	}
	if !f.StoreAddress.IsValid() {
		if err := f.startPlatform(); err != nil {
			return err
		}
		if err := f.startBackends(); err != nil {
			return err
		}
	}
	if err := f.startFaultProxies(); err != nil {
		return err
	}
	for i := range f.Deployment.EntryDataCentres {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	if err := f.WaitReady(ctx); err != nil || f.StoreAddress.IsValid() {
		return err
	}
	return f.WaitServing(ctx)
}

func (f *Fleet) prepare() error {
	f.startedAt = time.Now()
	f.executions = &backend.Recorder{}
	f.Recorder = &history.Recorder{}
	f.published = map[string]string{}
	f.starter = newProcessStarter()
	if f.Dir == "" {
		d, err := os.MkdirTemp("", "lentilbend-fleet-")
		if err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		f.Dir, f.removeDir = d, true
	}
	var err error
	f.block, err = newAddressBlock()
	return err
}

// entryAddress returns the address of an entry VM with the given port.
func (f *Fleet) entryAddress(i, port int) netip.AddrPort {
	return netip.AddrPortFrom(f.block.address(1+i), uint16(port))
}

func (f *Fleet) startPlatform() error {
	f.Platform = &platform.Server{Lag: f.ListLag}
	var vs []*platformpb.Vm
	for i, c := range f.Deployment.EntryDataCentres {
		f.Platform.Addresses = append(f.Platform.Addresses, f.platformAddress(i))
		vs = append(vs, platform.EntryVM(f.entryAddress(i, peerPort), c))
	}
	for _, s := range f.Deployment.assignServers(f.block) {
		vs = append(vs, platform.BackendVM(s.Address, s.DataCentre))
	}
	f.Platform.SetVMs(vs)
	f.Publish()
	go func() { _ = f.Platform.Run() }()
	for _, a := range f.Platform.Addresses {
		if err := waitListening(a); err != nil {
			return err
		}
	}
	return nil
}

// platformAddress returns the address at which entry VM i reads the platform.
// Each has its own, so that the platform can answer one of them with a fault.
func (f *Fleet) platformAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(f.block.address(platformHost), uint16(platformPort+i))
}

func (f *Fleet) startBackends() error {
	for i := range f.Deployment.Services {
		s := &f.Deployment.Services[i]
		for _, p := range s.Servers {
			b := s.newBackend(p)
			b.Seed = f.Seed
			b.Recorder = f.executions
			b.Keys = f.Deployment.keys()
			f.Backends = append(f.Backends, b)
			go func() { _ = b.Run() }()
		}
	}
	for _, b := range f.Backends {
		if err := waitListening(b.Address); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until all running entry VMs are ready. It returns an error if
// one exits or is not ready in time.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range f.runningEntries() {
		for e.Running() && !e.Ready(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("fleet: entry VM %d is not ready: %s", e.Index, e.LogTail())
			}
			time.Sleep(pollInterval)
		}
		if !e.Running() {
			return fmt.Errorf("fleet: entry VM %d exited: %s", e.Index, e.LogTail())
		}
	}
	return nil
}

// WaitServing waits until all running entry VMs have answered a call with
// status 200.
func (f *Fleet) WaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	k, w := f.Deployment.Kinds()[0], f.Deployment.Workspaces[0]
	for _, e := range f.runningEntries() {
		for {
			c, err := e.Call(ctx, k.Method, k.Path, w.Key)
			if err == nil && c == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("fleet: entry VM %d does not serve: status %d: %s", e.Index, c, e.LogTail())
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func (f *Fleet) runningEntries() []*Entry {
	var es []*Entry
	for _, e := range f.Entries {
		if e.Running() {
			es = append(es, e)
		}
	}
	return es
}

// Close kills the entry VMs and stops everything else that Start started.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.killIfRunning()
	}
	for _, p := range f.faultProxies {
		p.close()
	}
	for _, b := range f.Backends {
		b.Close()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
	if f.starter != nil {
		f.starter.close()
	}
	if f.block != nil {
		f.block.close()
	}
	if f.removeDir {
		_ = os.RemoveAll(f.Dir)
	}
}

// waitListening waits until a accepts connections.
func waitListening(a netip.AddrPort) error {
	until := time.Now().Add(startTimeout)
	for {
		c, err := net.Dial("tcp", a.String())
		if err == nil {
			return c.Close()
		}
		if time.Now().After(until) {
			return fmt.Errorf("fleet: %w", err)
		}
		time.Sleep(pollInterval)
	}
}

// ErrNoEntry means that there is no entry VM with the given index.
var ErrNoEntry = errors.New("fleet: no entry VM has this index")

// Entry returns the entry VM with the given index, counted from 0, or
// ErrNoEntry.
func (f *Fleet) Entry(i int) (*Entry, error) {
	if i < 0 || i >= len(f.Entries) {
		return nil, ErrNoEntry
	}
	return f.Entries[i], nil
}

func (f *Fleet) logFile(i int) string {
	return filepath.Join(f.Dir, fmt.Sprintf("entry-%d.log", i+1))
}
