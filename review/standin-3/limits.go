package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"
)

// Sizes and numbers of the case limits.
const (
	raisedLimit = 96 << 20
	bigBody     = 65 << 20
	bigCount    = 30
	// configApply is the bound within which a version must be in force.
	configApply = 2 * time.Second
	// uploadDeadline is how long a client waits for the answer to a big request.
	uploadDeadline = 10 * time.Second
)

// limits raises max_body_bytes by a new version. Clients then send bodies between the old
// and the new limit; without the change they stay within the old one.
func limits(r *record, trouble bool) (result, error) {
	f, err := newFleet(r, []string{"kgl-a", "kgl-b", "kgl-c"}, []string{"kgl-a", "kgl-a", "kgl-b", "kgl-b", "kgl-c", "kgl-c"})
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
	time.Sleep(3 * time.Second)
	size := bigBody
	if trouble {
		revision := f.store.put("op/config", configWithLimit(8, 1000, raisedLimit))
		r.event("the operator raises max_body_bytes from %d to %d; acknowledged at revision %d", bodyLimit, raisedLimit, revision)
	} else {
		size = bodyLimit
	}
	time.Sleep(configApply + 4*time.Second)
	r.event("clients begin to send orders of %d bytes", size)
	body := bytes.Repeat([]byte("x"), size)
	denied, served := 0, 0
	for i := range bigCount {
		c := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
		id := fmt.Sprintf("b%06d", requestCount.Add(1))
		switch s := sendBody(r, c, f.vms[i%len(f.vms)], id, http.MethodPost, "/buy/1", shopKey, body, uploadDeadline); {
		case s == http.StatusOK:
			served++
		case s/100 == 4:
			denied++
		}
	}
	cancel()
	time.Sleep(2 * time.Second)
	r.mu.Lock()
	all := len(r.answers)
	r.mu.Unlock()
	bound := 5 + float64(all)/500
	if served+denied < bigCount {
		r.event("%d of the orders got neither 200 nor 4xx", bigCount-served-denied)
	}
	if !trouble && served < bigCount {
		return result{broken: true, summary: fmt.Sprintf("only %d of %d orders were served", served, bigCount)}, nil
	}
	return result{broken: float64(denied) > bound, summary: fmt.Sprintf(
		"DENIED: %d of %d orders of %d bytes were ended with 4xx, and %d served; more than %.1f of %d requests break the rule", denied, bigCount, size, served, bound, all)}, nil
}
