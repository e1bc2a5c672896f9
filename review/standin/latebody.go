package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Traffic and dose of the case. At the users' site (rprca-gw) the disruption garble
// meets up to 0.05 of the answers of up to 0.6 of the servers, for 5.5 s at most; its
// variant "early" rejects long requests before they are in.
const (
	earlyClients  = 24
	earlyDuration = 12 * time.Second
	earlyDeadline = 1500 * time.Millisecond
	// earlyRejectEvery rejects each 25th request (0.04) at two of four instances.
	earlyRejectEvery = 25
	earlyTroubleAt   = 4 * time.Second
	earlyTroubleFor  = 5 * time.Second
	// chunkPause is the time between the parts of a request: its header and three
	// chunks.
	chunkPause = 80 * time.Millisecond
	chunkLines = 150
)

// playEarlyReject checks that instances get the bodies that clients sent in chunks,
// while some instances reject some requests before their bodies are in.
func playEarlyReject(r *run) error {
	d := r.dep
	d.startStore(fmt.Sprintf(config, 1))
	for n := range 4 {
		if _, err := d.addInstance("till", fmt.Sprintf("i-till-%d", n+1), "zone-a"); err != nil {
			return err
		}
	}
	if err := d.startVMs(3); err != nil {
		return err
	}
	if r.trouble {
		time.AfterFunc(earlyTroubleAt, func() { d.setTrouble(2, func(i *instance) { i.rejectEvery = earlyRejectEvery }) })
		time.AfterFunc(earlyTroubleAt+earlyTroubleFor, func() { d.setTrouble(2, func(i *instance) { i.rejectEvery = 0 }) })
	}
	var mu sync.Mutex
	bodies := map[string]string{}
	served, total := 0, 0
	var g sync.WaitGroup
	end := time.Now().Add(earlyDuration)
	for k := range earlyClients {
		g.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				v := d.vms[(k+n)%len(d.vms)]
				id := fmt.Sprintf("%02d-%05d", k, n)
				body, parts := newOrder(id)
				mu.Lock()
				bodies[id] = body
				total++
				mu.Unlock()
				a := send(v.caller, earlyDeadline, parts...)
				r.record.logf("client: request %s to entry VM %d, body of %d bytes %s, answer status=%d signature=%q body=%q err=%v raw=%q", id, v.index, len(body), digest(body), a.status, a.signature, a.body, a.err, a.raw)
				if a.status == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		})
	}
	g.Wait()
	d.checkBodies(r, bodies)
	r.record.logf("requests: %d, served: %d", total, served)
	if served < total/2 {
		return fmt.Errorf("only %d of %d requests were served", served, total)
	}
	return nil
}

// newOrder returns the body of a request and the parts in which it is sent: the
// header, and three chunks.
func newOrder(id string) (string, []part) {
	parts := []part{{text: fmt.Sprintf("POST /hold/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, id, earlyDeadline.Milliseconds(), northKey)}}
	body := ""
	for n := range 3 {
		c := strings.Repeat(fmt.Sprintf("order %s part %d: 12 litres of oil\n", id, n+1), chunkLines)
		body += c
		parts = append(parts, part{pause: chunkPause, text: fmt.Sprintf("%x\r\n%s\r\n", len(c), c)})
	}
	parts[len(parts)-1].text += "0\r\n\r\n"
	return body, parts
}

// checkBodies checks that each run had what its client sent.
func (d *deployment) checkBodies(r *run, bodies map[string]string) {
	for id, es := range d.executions() {
		for _, e := range es {
			want := bodies[id]
			if e.method == "POST" && e.path == "/hold/"+id && e.body == want {
				continue
			}
			r.record.violatef("UNASKED: request %s ran on %s as %s %s with a body of %d bytes that begins %q; the client sent %d bytes that begin %q",
				id, e.instance, e.method, e.path, len(e.body), begin(e.body), len(want), begin(want))
		}
		if len(es) > 1 {
			r.record.violatef("TWICE: request %s ran %d times", id, len(es))
		}
	}
}

// begin returns the first line of a text.
func begin(s string) string {
	s, _, _ = strings.Cut(s, "\n")
	return s
}
