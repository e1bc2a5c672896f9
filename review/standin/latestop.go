package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case, as at the users' site rprca-gw-large: the grace period, the
// clients' deadline and the work of a sale (1.1 s on average, 6.4 s at most).
const (
	stopGrace    = 10 * time.Second
	stopClients  = 24
	stopDeadline = 10 * time.Second
	shortWork    = 500 * time.Millisecond
	longWork     = 6200 * time.Millisecond
	// The clients send their second requests from firstLate to lastLate after the
	// SIGTERM. The rule excuses requests that are sent up to excusedUntil after it.
	excusedUntil = 3 * time.Second
	firstLate    = 3200 * time.Millisecond
	lastLate     = 4100 * time.Millisecond
)

// lateRequest is a request that a client sends on a kept connection during a stop.
type lateRequest struct {
	id     string
	after  time.Duration // after the SIGTERM
	answer answer
}

// playLateStop checks that requests which reach a stopping entry VM on kept
// connections, later than 3 s after the SIGTERM, are answered or refused.
func playLateStop(r *run) error {
	d := r.dep
	d.grace = stopGrace
	d.startStore(strings.NewReplacer("1500ms", "10s", `"400ms"`, `"2500ms"`).Replace(fmt.Sprintf(config, 1)))
	for n := range 8 {
		i, err := d.addInstance("till", fmt.Sprintf("i-till-%d", n+1), "zone-a")
		if err != nil {
			return err
		}
		i.work = shortWork
	}
	if err := d.startVMs(3); err != nil {
		return err
	}
	v := d.vms[0]
	stop := time.Now().Add(3 * time.Second)
	late := make([]lateRequest, stopClients)
	var g sync.WaitGroup
	failed := make(chan error, stopClients)
	for k := range stopClients {
		g.Go(func() {
			at := firstLate + (lastLate-firstLate)*time.Duration(k)/stopClients
			q, err := lateClient(r, v, k, stop.Add(at))
			if err != nil {
				failed <- err
				return
			}
			q.after = at
			late[k] = q
		})
	}
	time.Sleep(time.Until(stop))
	if r.trouble {
		r.record.logf("trouble: SIGTERM to entry VM 0")
		if err := v.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	d.setWork(longWork)
	g.Wait()
	select {
	case err := <-failed:
		return err
	default:
	}
	if r.trouble {
		select {
		case <-v.done:
			r.record.logf("entry VM 0 has ended: %v", v.cmd.ProcessState)
		case <-time.After(time.Until(stop.Add(stopGrace))):
			r.record.logf("entry VM 0 is killed at the end of the grace period")
			_ = v.cmd.Process.Kill()
		}
	}
	runs := d.executions()
	for _, q := range late {
		a := q.answer
		r.record.logf("client: request %s sent %s after the SIGTERM, ended %s after it: status=%d body=%q err=%v, runs=%d",
			q.id, q.after, (q.after + a.duration).Round(time.Millisecond), a.status, a.body, a.err, len(runs[q.id]))
		if a.status == 0 && a.duration < stopDeadline && q.after > excusedUntil && len(runs[q.id]) > 0 {
			r.record.violatef("LOST: request %s was sent %s after the SIGTERM and passed on to %s; its connection ended without an answer %s after the SIGTERM, before its deadline",
				q.id, q.after, runs[q.id][0].instance, (q.after + a.duration).Round(time.Millisecond))
		}
	}
	return nil
}

// lateClient opens a connection, sends a request on it and, at a given time, another.
func lateClient(r *run, v *vm, k int, at time.Time) (lateRequest, error) {
	c, err := net.DialTimeout("tcp", v.caller, time.Second)
	if err != nil {
		return lateRequest{}, err
	}
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	first := fmt.Sprintf("early-%02d", k)
	if a := sendOn(c, b, first); a.status != 200 {
		return lateRequest{}, fmt.Errorf("request %s: %+v", first, a)
	}
	r.record.logf("client: request %s answered", first)
	time.Sleep(time.Until(at))
	q := lateRequest{id: fmt.Sprintf("late-%02d", k)}
	q.answer = sendOn(c, b, q.id)
	return q, nil
}

// sendOn sends a sale on a connection and reads the answer.
func sendOn(c net.Conn, b *bufio.Reader, id string) answer {
	start := time.Now()
	_ = c.SetDeadline(start.Add(stopDeadline + clientPatience))
	_, _ = fmt.Fprintf(c, "POST /hold/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: 4\r\n\r\nsale",
		id, id, stopDeadline.Milliseconds(), northKey)
	a := readAnswer(b)
	a.duration = time.Since(start)
	return a
}

// setWork sets how long all instances work on a request.
func (d *deployment) setWork(t time.Duration) {
	for _, i := range d.instances {
		i.mu.Lock()
		i.work = t
		i.mu.Unlock()
	}
}
