package main

import (
	"context"
	"fmt"
	"sort"
	"time"
)

// Times and numbers of the case seeds.
const (
	seedsCutAt   = 4 * time.Second
	seedsCutFor  = 12 * time.Second
	othersKilled = 4300 * time.Millisecond
	othersBack   = 5300 * time.Millisecond
	hotFrom      = 7500 * time.Millisecond
	hotFor       = 6500 * time.Millisecond
	seedCount    = 3

	// tenantRate is the tenant's rate_per_s and burst. Its usual requests are 1/1.6 of
	// the rate, as on the site; the hot tenant sends 7.5 times as many, 6.5 times beside
	// the usual ones.
	tenantRate    = 58
	usualInterval = 14 * 1600 * time.Millisecond / tenantRate
	hotInterval   = usualInterval * 2 / 13
	quotaWindow   = 5 * time.Second
	quotaBound    = (tenantRate*5+tenantRate)*1.25 + 20
)

// seeds cuts the seeds off from the other VMs, kills those and starts them again, and lets
// a tenant send many times its usual.
func seeds(r *record, trouble bool) (result, error) {
	var zones []string
	for i := range 14 {
		zones = append(zones, []string{"kgl-a", "kgl-b", "kgl-c"}[i%3])
	}
	f, err := newFleet(r, zones, []string{"kgl-a", "kgl-a", "kgl-b", "kgl-b", "kgl-c", "kgl-c"})
	if err != nil {
		return result{}, err
	}
	defer f.close()
	n, err := f.useProxies()
	if err != nil {
		return result{}, err
	}
	f.store.put("op/config", config(7, tenantRate))
	if err := f.startAll(); err != nil {
		return result{}, err
	}
	r.start = time.Now()
	r.event("all VMs are ready; the traffic starts")
	usual, endUsual := context.WithCancel(context.Background())
	defer endUsual()
	for _, v := range f.vms {
		go load(usual, r, v, usualInterval, shopKey)
	}
	at := func(t time.Duration) { time.Sleep(t - r.now()) }
	var cut []string
	for _, v := range f.vms[:seedCount] {
		cut = append(cut, v.ip)
	}
	at(seedsCutAt)
	if trouble {
		n.setCut(cut, true)
		r.event("the %d seeds are cut off from all other VMs", seedCount)
	}
	at(othersKilled)
	for _, v := range f.vms[seedCount:] {
		go v.kill()
	}
	r.event("the other %d VMs are killed", len(f.vms)-seedCount)
	at(othersBack)
	for _, v := range f.vms[seedCount:] {
		if err := v.start(false); err != nil {
			return result{}, err
		}
	}
	r.event("they start again")
	at(hotFrom)
	r.event("the tenant sends 7.5 times its usual")
	hot, endHot := context.WithCancel(context.Background())
	defer endHot()
	for _, v := range f.vms {
		go load(hot, r, v, hotInterval, shopKey)
	}
	at(hotFrom + hotFor)
	endHot()
	endUsual()
	at(seedsCutAt + seedsCutFor)
	n.setCut(cut, false)
	most, when := r.mostRuns(quotaWindow)
	if most < tenantRate {
		return result{}, fmt.Errorf("only %d requests ran in %v", most, quotaWindow)
	}
	return result{broken: float64(most) > quotaBound, summary: fmt.Sprintf(
		"QUOTA: %d requests of the tenant were sent and run in %v from %.3f s on; %.0f are allowed", most, quotaWindow, when.Seconds(), quotaBound)}, nil
}

// mostRuns returns how many requests were sent and run within a window, at most.
func (r *record) mostRuns(window time.Duration) (int, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := map[string]time.Duration{}
	for _, a := range r.answers {
		sent[a.id] = a.sent
	}
	seen := map[string]bool{}
	type request struct{ sent, at time.Duration }
	var qs []request
	for _, n := range r.runs {
		if s, ok := sent[n.id]; ok && !seen[n.id] {
			seen[n.id] = true
			qs = append(qs, request{s, n.at})
		}
	}
	sort.Slice(qs, func(i, j int) bool { return qs[i].sent < qs[j].sent })
	most, when := 0, time.Duration(0)
	for i, first := range qs {
		c := 0
		for _, q := range qs[i:] {
			if q.sent > first.sent+window {
				break
			}
			if q.at <= first.sent+window {
				c++
			}
		}
		if c > most {
			most, when = c, first.sent
		}
	}
	return most, when
}
