package main

import (
	"fmt"
	"sync"
	"time"
)

// Traffic and dose of the case. At the users' site (rprca-gw) the disruption garble
// spoils up to 0.05 of the answers of up to 0.6 of the servers, for 5.5 s at most.
const (
	statusClients  = 12
	statusDuration = 12 * time.Second
	statusPause    = 30 * time.Millisecond
	// statusSpoilEvery spoils each 40th answer (0.025) of two of four instances.
	statusSpoilEvery = 40
	statusTroubleAt  = 4 * time.Second
	statusTroubleFor = 5 * time.Second
)

// playStatusBelow100 checks what callers get when an instance sends bytes that are
// not an answer since the first digit of the status is wrong.
func playStatusBelow100(r *run) error {
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
		time.AfterFunc(statusTroubleAt, func() { d.setTrouble(2, func(i *instance) { i.spoilEvery = statusSpoilEvery }) })
		time.AfterFunc(statusTroubleAt+statusTroubleFor, func() { d.setTrouble(2, func(i *instance) { i.spoilEvery = 0 }) })
	}
	var mu sync.Mutex
	answers := map[string]answer{}
	var g sync.WaitGroup
	end := time.Now().Add(statusDuration)
	for k := range statusClients {
		g.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				v := d.vms[(k+n)%len(d.vms)]
				id := fmt.Sprintf("%02d-%05d", k, n)
				a := send(v.caller, 1200*time.Millisecond, part{text: fmt.Sprintf(
					"POST /hold/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1200\r\nX-Api-Key: %s\r\nContent-Length: 5\r\n\r\nstock", id, id, northKey)})
				r.record.logf("client: request %s to entry VM %d, answer status=%d signature=%q body=%q err=%v raw=%q", id, v.index, a.status, a.signature, a.body, a.err, a.raw)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(statusPause)
			}
		})
	}
	g.Wait()
	served := 0
	runs := d.executions()
	for id, a := range answers {
		if a.raw != "" {
			r.record.violatef("MIXED: request %s got bytes that are no answer in the protocol: %q; it ran as %+v", id, a.raw, runs[id])
			continue
		}
		if a.status/100 != 2 {
			continue
		}
		served++
		i := d.find(a.signature)
		if i == nil || a.err != nil || a.body != i.bodyFor(id) {
			r.record.violatef("MIXED: request %s got a success that is not the whole answer of an instance: %+v", id, a)
		}
	}
	r.record.logf("requests: %d, served: %d", len(answers), served)
	if served < len(answers)/2 {
		return fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	return nil
}
