package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Traffic and dose of the case. At the users' site (rprca-gw) the disruption srv_slow
// lasts up to 9 s with work up to 12 times as long, at up to 0.4 of a service's
// servers; its variant "all" spares none.
const (
	pipeClients  = 60
	pipeDuration = 20 * time.Second
	pipeDeadline = 1200 * time.Millisecond
	// pipeGap is the time between the two requests that a client has under way.
	pipeGap       = 30 * time.Millisecond
	pipePause     = 5 * time.Millisecond
	pipeSlow      = 1.75
	pipeTroubleAt = 5 * time.Second
	pipeSlowFor   = 8 * time.Second
	// restartDelay is how long the platform takes to restart a process.
	restartDelay = time.Second
	// maxLost is how many requests the rule lets a machine lose.
	maxLost = 3
)

// pipelined is a request of a client that has two under way on a connection.
type pipelined struct {
	id, path string
	vm       int
	// kept is set if the connection has carried an answer before.
	kept     bool
	sent     time.Time
	ended    time.Time
	answered bool
	err      error
}

// playTrailers checks that pipelined requests on kept connections are answered, while
// the instances of one of two services are slow. The answers have a trailer.
func playTrailers(r *run) error {
	d := r.dep
	d.startStore(fmt.Sprintf(config, 1))
	for n := range 8 {
		for _, s := range []string{"cat", "sheets"} {
			i, err := d.addInstance(s, fmt.Sprintf("i-%s-%d", s, n+1), "zone-a")
			if err != nil {
				return err
			}
			i.trailers = true
		}
	}
	if err := d.startVMs(3); err != nil {
		return err
	}
	if r.trouble {
		time.AfterFunc(pipeTroubleAt, func() { d.setSlow("cat", pipeSlow) })
		time.AfterFunc(pipeTroubleAt+pipeSlowFor, func() { d.setSlow("cat", 1) })
	}
	var mu sync.Mutex
	var all []*pipelined
	var g sync.WaitGroup
	end := time.Now().Add(pipeDuration)
	for k := range pipeClients {
		g.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				qs := pipeline(d.vms[k%len(d.vms)], fmt.Sprintf("%02d-%03d", k, n), end)
				mu.Lock()
				all = append(all, qs...)
				mu.Unlock()
				time.Sleep(pipePause)
			}
		})
	}
	ends := d.restartEnded(end)
	g.Wait()
	d.checkLost(r, all, ends)
	return nil
}

// pipeline sends pairs of requests on a connection until it ends.
func pipeline(v *vm, name string, end time.Time) []*pipelined {
	c, err := net.DialTimeout("tcp", v.caller, time.Second)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	var all []*pipelined
	for n := 0; time.Now().Before(end); n++ {
		pair := make(chan *pipelined, 2)
		go func() {
			for m, p := range []string{"/look/", "/sheet/"} {
				id := fmt.Sprintf("%s-%04d-%d", name, n, m)
				q := &pipelined{id: id, path: p + id, vm: v.index, kept: n > 0, sent: time.Now()}
				if m > 0 {
					time.Sleep(pipeGap)
				}
				_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n\r\n", q.path, id, pipeDeadline.Milliseconds(), northKey)
				pair <- q
			}
			close(pair)
		}()
		ok := true
		for q := range pair {
			all = append(all, q)
			if !ok {
				q.ended, q.err = time.Now(), io.EOF
				continue
			}
			_ = c.SetReadDeadline(q.sent.Add(pipeDeadline + clientPatience))
			a, err := http.ReadResponse(b, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, a.Body)
			}
			q.ended, q.err, q.answered = time.Now(), err, err == nil
			ok = err == nil && !a.Close
		}
		if !ok {
			break
		}
		time.Sleep(pipePause)
	}
	return all
}

// restartEnded restarts processes that end until the given time, and returns how often
// those of each entry VM ended by themselves.
func (d *deployment) restartEnded(end time.Time) map[int]int {
	n := map[int]int{}
	for time.Now().Before(end) {
		for _, v := range d.vms {
			select {
			case <-v.done:
				n[v.index]++
				d.record.logf("the process of entry VM %d has ended by itself: %v", v.index, v.cmd.ProcessState)
				time.Sleep(restartDelay)
				_ = d.startVM(v)
			default:
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return n
}

// checkLost counts the requests of kept connections that were passed on to an instance
// that was not slow, and whose connection ended without an answer before the deadline.
func (d *deployment) checkLost(r *run, all []*pipelined, ends map[int]int) {
	runs := d.executions()
	lost := map[int]int{}
	served := 0
	for _, q := range all {
		es := runs[q.id]
		r.record.logf("client: request GET %s to entry VM %d, kept=%t, answered=%t after %s, err=%v, runs=%d",
			q.path, q.vm, q.kept, q.answered, q.ended.Sub(q.sent).Round(time.Millisecond), q.err, len(es))
		if q.answered {
			served++
			continue
		}
		early := q.ended.Sub(q.sent) < pipeDeadline
		if q.kept && early && len(es) > 0 && es[0].service == "sheets" {
			lost[q.vm]++
		}
	}
	r.record.logf("requests: %d, answered: %d, processes that ended by themselves, by entry VM: %v", len(all), served, ends)
	for v, n := range lost {
		if n > maxLost {
			r.record.violatef("LOST: entry VM %d passed %d requests of kept connections on to sound instances and closed their connections without an answer; its process ended by itself %d times", v, n, ends[v])
		}
	}
}
