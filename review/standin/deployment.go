package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lentilbend.example/platform/platformtest"
)

// deployment is a small deployment on loopback addresses: a store, instances and
// entry VMs.
type deployment struct {
	record *record
	// grace is the platform's grace period; 0 for 6 s.
	grace time.Duration

	mu        sync.Mutex
	dir       string
	store     *platformtest.Store
	instances []*instance
	vms       []*vm
}

// vm is an entry VM: a process of the deploy file's role.
type vm struct {
	index                       int
	caller, ready, peer, metric string
	settings                    string
	cmd                         *exec.Cmd
	done                        chan struct{}
}

// startStore starts the platform's store with the operator's configuration.
func (d *deployment) startStore(config string) {
	d.store = platformtest.NewStore()
	d.store.Put("op/config", config)
}

// addInstance starts an instance of a service and enters it in the store.
func (d *deployment) addInstance(service, id, zone string) (*instance, error) {
	i, err := newInstance(d.record, service, id)
	if err != nil {
		return nil, err
	}
	d.instances = append(d.instances, i)
	d.store.Put("servers/"+id, i.entry(zone))
	return i, nil
}

// startVMs starts n entry VMs and waits until all are ready.
func (d *deployment) startVMs(n int) error {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return err
	}
	d.dir = dir
	ports, err := freePorts(4 * n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		p := ports[4*i:]
		v := &vm{index: i, caller: loopback(p[0]), ready: loopback(p[1]), peer: loopback(p[2]), metric: loopback(p[3])}
		if i < 3 {
			seeds = append(seeds, v.peer)
		}
		d.vms = append(d.vms, v)
	}
	for _, v := range d.vms {
		if err := d.writeSettings(v, seeds, true); err != nil {
			return err
		}
		if err := d.startVM(v); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, v := range d.vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("entry VM %d is not ready", v.index)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The platform starts traffic 8 s after the machines.
	time.Sleep(3 * time.Second)
	return nil
}

// writeSettings fills in the deployment's settings template as the platform does.
func (d *deployment) writeSettings(v *vm, seeds []string, bootstrap bool) error {
	b, err := os.ReadFile("platform/settings.toml.tmpl")
	if err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(v.metric)
	if err != nil {
		return err
	}
	t, err := platformtest.FillTemplate(string(b), map[string]any{
		"zone":                "zone-a",
		"bootstrap":           bootstrap,
		"ip_address":          host,
		"internal_port_range": []string{port},
		"seed_addresses":      seeds,
		"contracts":           []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "tenants", "quota", "platform"},
		"listen_addresses":    map[string]any{"frontend_address": v.caller, "ready": v.ready, "control_plane": v.peer},
		"platform":            map[string]any{"address": d.store.Address().String()},
		"limits":              map[string]any{"cpu_share": 0.32},
		"bounds": map[string]any{
			"grace_period":  cmp.Or(d.grace, 6*time.Second).String(),
			"quota_overage": 0.25, "quota_tolerance": 20,
			"retry_budget_ratio": 0.2, "retry_budget_slack": 58, "retry_window": "10s",
		},
	})
	if err != nil {
		return err
	}
	v.settings = filepath.Join(d.dir, fmt.Sprintf("settings-%d.toml", v.index))
	return os.WriteFile(v.settings, []byte(t), 0o600)
}

// startVM starts the process of an entry VM with the command of the deploy file. It
// must be called from the main goroutine.
func (d *deployment) startVM(v *vm) error {
	log, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("log-%d-%d.txt", v.index, time.Now().UnixNano())))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command("target/lentilbend", "serve", "-s", v.settings)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	v.cmd, v.done = c, make(chan struct{})
	go func(done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(v.done)
	d.record.logf("entry VM %d started, process %d, callers at %s", v.index, c.Process.Pid, v.caller)
	return nil
}

// isReady asks the readiness check of an entry VM.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + v.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// kill ends the processes of all entry VMs.
func (d *deployment) kill() {
	for _, v := range d.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
		}
	}
}

// stop ends all that the run started.
func (d *deployment) stop() {
	d.kill()
	for _, v := range d.vms {
		if v.done != nil {
			<-v.done
		}
	}
	for _, i := range d.instances {
		i.stop()
	}
	if d.store != nil {
		d.store.Stop()
	}
	if d.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// freePorts returns n TCP ports that are free now.
func freePorts(n int) ([]int, error) {
	var ls []net.Listener
	defer func() {
		for _, l := range ls {
			_ = l.Close()
		}
	}()
	var ps []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		ls = append(ls, l)
		ps = append(ps, l.Addr().(*net.TCPAddr).Port)
	}
	return ps, nil
}

// config is the operator's configuration: three tenants without a limit and three
// routes to one service each: safe, download and unsafe.
const config = `{"version":"r%d",
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout":"5s","idle_timeout":"15s"},
"tenants":[{"name":"north","api_keys":["north-key-4f7a1c"]},{"name":"south","api_keys":["south-key-93be02"]}],
"listeners":[{"host":"a.example","rule_set":[
 {"name":"look","kind":"safe","target_latency":"400ms","match":{"prefix":"/look/"},"action":{"service":"cat","timeout":"1500ms","attempts":2}},
 {"name":"sheet","kind":"download","target_latency":"400ms","match":{"prefix":"/sheet/"},"action":{"service":"sheets","timeout":"1500ms","attempts":2}},
 {"name":"hold","kind":"unsafe","target_latency":"400ms","match":{"prefix":"/hold/"},"action":{"service":"till","timeout":"1500ms","attempts":2}}]}],
"clusters":[
 {"name":"cat","health_check_path":"/health","connection_limit":220,"cold_start":"3s","cold_per_s":11},
 {"name":"sheets","health_check_path":"/health","connection_limit":220,"cold_start":"3s","cold_per_s":11},
 {"name":"till","health_check_path":"/health","connection_limit":220,"cold_start":"3s","cold_per_s":11}]}`

const northKey = "north-key-4f7a1c"
