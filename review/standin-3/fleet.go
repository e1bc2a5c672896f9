package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lentilbend.example/platform/platformtest"
)

// Ports of the processes and stand-ins, each at a loopback address of its own.
const (
	callerPort  = 8045
	readyPort   = 8048
	peerPort    = 8042
	metricsPort = 7100
	storePort   = 8041
	serverPort  = 8566
	// listenPort is where a process listens for its peers if a proxy stands before it.
	listenPort = 7101
)

// block returns a free block of loopback addresses, as a prefix such as "127.3.4.".
func block() (string, error) {
	for range 100 {
		p := fmt.Sprintf("127.%d.%d.", 1+rand.Intn(250), rand.Intn(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", p, callerPort))
		if err == nil {
			_ = l.Close()
			return p, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// vm is an entry VM: a process of the deploy file's command.
type vm struct {
	name, zone, ip string
	dir, program   string
	fields         map[string]any
	template       string
	// proxied is set if a proxy stands before the peer address.
	proxied bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	code int
	ends int // how often the process ended without having been told to
	told bool
}

func (v *vm) caller() string { return fmt.Sprintf("%s:%d", v.ip, callerPort) }

// start writes the settings and starts the process. bootstrap is set at the first start of
// the whole system.
func (v *vm) start(bootstrap bool) error {
	v.fields["bootstrap"] = bootstrap
	text, err := platformtest.FillTemplate(v.template, v.fields)
	if err != nil {
		return err
	}
	if v.proxied {
		text = strings.Replace(text, "[Peer]\n", fmt.Sprintf("[Peer]\nListen = \"%s:%d\"\n", v.ip, listenPort), 1)
	}
	file := filepath.Join(v.dir, v.name+".conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(v.program, "serve", "-s", file)
	c.Stdout, c.Stderr = log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done, v.told = c, done, false
	v.mu.Unlock()
	go func() {
		_ = c.Wait()
		v.mu.Lock()
		v.code = c.ProcessState.ExitCode()
		if !v.told {
			v.ends++
		}
		v.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process. SIGKILL and SIGTERM tell it to end.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return
	}
	v.told = v.told || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = v.cmd.Process.Signal(s)
}

func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	d := v.done
	v.mu.Unlock()
	if d != nil {
		<-d
	}
}

// ready reports whether the process says that it is ready.
func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", v.ip, readyPort))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// running is the fleet that is to be closed if the case is aborted.
var running atomic.Pointer[fleet]

// closeFleet closes the running fleet, if there is one.
func closeFleet() {
	if f := running.Load(); f != nil {
		f.close()
	}
}

// fleet is a small deployment.
type fleet struct {
	prefix, dir string
	store       *store
	vms         []*vm
	instances   []*instance
	record      *record
}

// newFleet makes a deployment with entry VMs and instances in the given zones.
func newFleet(r *record, vmZones, instanceZones []string) (*fleet, error) {
	p, err := block()
	if err != nil {
		return nil, err
	}
	d, err := os.MkdirTemp("", "lentilbend-review-")
	if err != nil {
		return nil, err
	}
	t, err := os.ReadFile("platform/settings.toml.tmpl")
	if err != nil {
		return nil, err
	}
	f := &fleet{prefix: p, dir: d, store: newStore(), record: r}
	running.Store(f)
	if err := f.store.listen(fmt.Sprintf("%s250:%d", p, storePort)); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(3, len(vmZones)) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", p, i+1, peerPort))
	}
	program, err := filepath.Abs("target/lentilbend")
	if err != nil {
		return nil, err
	}
	for i, z := range vmZones {
		v := &vm{name: fmt.Sprintf("vm-%d", i+1), zone: z, ip: fmt.Sprintf("%s%d", p, i+1), dir: d, program: program, template: string(t)}
		v.fields = fields(v, p, seeds)
		f.vms = append(f.vms, v)
	}
	for i, z := range instanceZones {
		n := &instance{id: fmt.Sprintf("i-%d", i+1), service: "till", zone: z, work: 30 * time.Millisecond, store: f.store, record: r,
			address: fmt.Sprintf("%s%d:%d", p, 100+i, serverPort)}
		f.instances = append(f.instances, n)
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// fields returns the fields of the platform's settings for a VM; see DEPLOY.md.
func fields(v *vm, prefix string, seeds []string) map[string]any {
	return map[string]any{
		"zone": v.zone, "ip_address": v.ip, "seed_addresses": seeds,
		"internal_port_range": []string{fmt.Sprint(metricsPort), "7115"},
		"listen_addresses": map[string]any{
			"frontend_address": v.caller(), "ready": fmt.Sprintf("%s:%d", v.ip, readyPort), "control_plane": fmt.Sprintf("%s:%d", v.ip, peerPort),
		},
		"platform":  map[string]any{"address": fmt.Sprintf("%s250:%d", prefix, storePort)},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "tenants", "quota", "platform"},
		"limits":    map[string]any{"cpu_share": "0.32"},
		"bounds": map[string]any{"grace_period": "6s", "quota_overage": "0.25", "quota_tolerance": "20",
			"retry_budget_ratio": "0.2", "retry_budget_slack": "58", "retry_window": "10s"},
	}
}

// useProxies puts a proxy before the peer address of each VM.
func (f *fleet) useProxies() (*network, error) {
	n := &network{cut: map[string]bool{}}
	for _, v := range f.vms {
		v.proxied = true
		p := &proxy{net: n, target: fmt.Sprintf("%s:%d", v.ip, listenPort), owner: v.ip}
		if err := p.listen(fmt.Sprintf("%s:%d", v.ip, peerPort)); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// startAll starts all VMs and waits until they are ready.
func (f *fleet) startAll() error {
	for _, v := range f.vms {
		if err := v.start(true); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, v := range f.vms {
		for !v.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s did not become ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, v := range f.vms {
		v.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}
