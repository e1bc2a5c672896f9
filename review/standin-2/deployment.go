package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"lentilbend.example/platform/platformtest"
)

// Times of the deployment, as those of the site rprca-gw.
const (
	gracePeriod       = 6 * time.Second
	stableWindow      = 3 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
)

// host and key are those of all requests.
const (
	host = "a.example"
	key  = "north-key-4711-abcdefgh"
)

// rule is a route of the configuration.
type rule struct {
	name, kind, prefix, service string
	timeout                     time.Duration
	attempts                    int
}

// config returns the operator's configuration.
func config(version int, services []string, rules []rule) string {
	var rs, cs []map[string]any
	for _, r := range rules {
		rs = append(rs, map[string]any{
			"name": r.name, "kind": r.kind, "target_latency": "500ms", "priority": 1,
			"match":  map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout": r.timeout.String(), "attempts": r.attempts},
		})
	}
	for _, s := range services {
		cs = append(cs, map[string]any{
			"name": s, "health_check_path": "/health", "connection_limit": 220, "cold_start": "3s", "cold_per_s": 11,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
			"header_timeout": "10s", "idle_timeout": "15s"},
		"tenants":   []any{map[string]any{"name": "north", "api_keys": []string{key}}},
		"listeners": []any{map[string]any{"host": host, "rule_set": rs}},
		"clusters":  cs,
	})
	return string(b)
}

// deployment is a store and entry VMs on loopback.
type deployment struct {
	dir   string
	store *platformtest.Store
	vms   []*vm
}

// vm is an entry VM.
type vm struct {
	name                                    string
	settings                                string
	frontend, ready, controlPlane, internal string
	process                                 *exec.Cmd
	exited                                  chan struct{}
	code                                    int
}

// portsPerVM is the number of ports that an entry VM listens on.
const portsPerVM = 4

// freeAddresses returns free addresses on a loopback IP of a VM's own, so that no other VM
// or stand-in takes their ports. The ports are held until all are chosen, so that they
// differ.
func freeAddresses() [portsPerVM]string {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	var as [portsPerVM]string
	for n := range as {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		defer func() { _ = l.Close() }()
		as[n] = l.Addr().String()
	}
	return as
}

// newDeployment returns a store and n entry VMs that are not started.
func newDeployment(n int) *deployment {
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	d := &deployment{dir: dir, store: platformtest.NewStore()}
	for i := range n {
		as := freeAddresses()
		d.vms = append(d.vms, &vm{
			name: fmt.Sprintf("vm%d", i+1), frontend: as[0], ready: as[1], controlPlane: as[2], internal: as[3],
		})
	}
	return d
}

// seeds returns the addresses at which the entry VMs find each other.
func (d *deployment) seeds() []string {
	var as []string
	for _, v := range d.vms[:min(3, len(d.vms))] {
		as = append(as, v.controlPlane)
	}
	return as
}

// start starts an entry VM with the command of the deploy file. bootstrap says that the
// whole system starts for the first time.
func (d *deployment) start(v *vm, bootstrap bool) {
	template, err := os.ReadFile("platform/settings.toml.tmpl")
	check(err)
	ip, internalPort, err := net.SplitHostPort(v.internal)
	check(err)
	text, err := platformtest.FillTemplate(string(template), map[string]any{
		"zone": "z1", "bootstrap": bootstrap, "ip_address": ip,
		"internal_port_range": []string{internalPort},
		"seed_addresses":      d.seeds(),
		"contracts":           []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "tenants", "quota", "platform"},
		"listen_addresses": map[string]any{
			"frontend_address": v.frontend, "ready": v.ready, "control_plane": v.controlPlane,
		},
		"platform": map[string]any{"address": d.store.Address()},
		"limits":   map[string]any{"cpu_share": 0.32},
		"bounds": map[string]any{
			"grace_period": gracePeriod.String(), "quota_overage": 0.25, "quota_tolerance": 20,
			"retry_budget_ratio": 0.2, "retry_budget_slack": 58, "retry_window": "10s",
		},
	})
	check(err)
	v.settings = filepath.Join(d.dir, v.name+".conf")
	check(os.WriteFile(v.settings, []byte(text), 0o600))
	log, err := os.OpenFile(filepath.Join(d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	c := exec.Command("target/lentilbend", "serve", "-s", v.settings)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(c.Start())
	_ = log.Close()
	v.process, v.exited = c, make(chan struct{})
	go func(exited chan struct{}) {
		_ = c.Wait()
		v.code = c.ProcessState.ExitCode()
		close(exited)
	}(v.exited)
}

// awaitReady waits until an entry VM answers its readiness check with 200.
func (v *vm) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := http.Get("http://" + v.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	panic(fmt.Errorf("%s does not become ready", v.name))
}

// signal sends a signal to the process of an entry VM.
func (v *vm) signal(s syscall.Signal) { check(v.process.Process.Signal(s)) }

// close ends all processes and removes the folder of the settings.
func (d *deployment) close() {
	for _, v := range d.vms {
		if v.process == nil {
			continue
		}
		_ = v.process.Process.Kill()
		<-v.exited
	}
	d.store.Stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// check panics on an error: the case could not run.
func check(err error) {
	if err != nil {
		panic(err)
	}
}
