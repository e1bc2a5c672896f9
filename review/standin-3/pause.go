package main

import (
	"context"
	"fmt"
	"time"
)

// Times of the case pause.
const (
	pauseFrom = 4 * time.Second
	pauseEnd  = 12 * time.Second
	// askedPause is the Retry-After, in seconds: a service in maintenance for 2 hours.
	askedPause = 7200
	// pauseSlack is how long after such an answer requests may still arrive, and
	// pauseRequests how many may after that from one machine.
	pauseSlack    = 500 * time.Millisecond
	pauseRequests = 2
)

// pause lets all instances of a service turn requests away with 503 and a Retry-After of
// two hours.
func pause(r *record, trouble bool) (result, error) {
	f, err := newFleet(r, []string{"kgl-a", "kgl-b", "kgl-c"}, []string{"kgl-a", "kgl-b", "kgl-c"})
	if err != nil {
		return result{}, err
	}
	defer f.close()
	f.store.put("op/config", config(7, 1000))
	if err := f.startAll(); err != nil {
		return result{}, err
	}
	r.start = time.Now()
	r.event("all VMs are ready; the traffic starts")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, v := range f.vms {
		go load(ctx, r, v, 40*time.Millisecond, shopKey)
	}
	time.Sleep(pauseFrom - r.now())
	first := r.now()
	if trouble {
		for _, i := range f.instances {
			i.pause.Store(askedPause)
		}
		r.event("all instances turn requests away with 503 and Retry-After: %d", askedPause)
	}
	time.Sleep(pauseEnd - r.now())
	cancel()
	time.Sleep(2 * time.Second)

	// The instances can't tell the machines apart on loopback. After a machine's first
	// refusal, pauseRequests may still come; so all machines together may send that many
	// each, and one request each that is refused first.
	allowed := len(f.vms) * (pauseRequests + 1)
	reached := map[*instance]int{}
	most := f.instances[0]
	r.mu.Lock()
	for _, a := range r.arrivals {
		if a.at > first+pauseSlack {
			if reached[a.instance]++; reached[a.instance] > reached[most] {
				most = a.instance
			}
		}
	}
	r.mu.Unlock()
	if !trouble {
		return result{summary: fmt.Sprintf("BUDGET: no instance asked for a pause; %d requests reached %s", reached[most], most.id)}, nil
	}
	return result{broken: reached[most] > allowed, summary: fmt.Sprintf("BUDGET: %d requests reached %s later than %v after its first 503 with Retry-After; at most %d are allowed of %d machines",
		reached[most], most.id, pauseSlack, allowed, len(f.vms))}, nil
}
