package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"time"
)

// Times of the case cold.
const (
	coldAt   = 6 * time.Second
	coldTime = 3 * time.Second // cold_start
	// coldNotice is how long the VMs have to learn of the entry before the check begins.
	coldNotice = 1500 * time.Millisecond
	coldEnd    = 11 * time.Second
)

// coldBound is how many requests a cold instance may get in a second:
// cold_per_s 11 x cold_overage 1.5 + cold_tolerance 5.
const coldBound = 21.5

// cold lets an instance of a service that does not tell its load become cold again.
func cold(r *record, trouble bool) (result, error) {
	f, err := newFleet(r, []string{"kgl-a", "kgl-b", "kgl-c"}, []string{"kgl-a", "kgl-b", "kgl-c"})
	if err != nil {
		return result{}, err
	}
	defer f.close()
	for _, i := range f.instances {
		i.work, i.quiet = 50*time.Millisecond, os.Getenv("TELLS") == ""
	}
	f.store.put("op/config", config(7, 1000))
	if err := f.startAll(); err != nil {
		return result{}, err
	}
	r.start = time.Now()
	r.event("all VMs are ready; the traffic starts")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, v := range f.vms {
		go load(ctx, r, v, 15*time.Millisecond, shopKey)
	}
	time.Sleep(coldAt - r.now())
	n := f.instances[0]
	if trouble {
		n.turnCold(coldTime)
		r.event("%s is cold again for %v; its entry is acknowledged", n.id, coldTime)
	}
	from := r.now() + coldNotice
	to := r.now() + coldTime
	time.Sleep(coldEnd - r.now())
	cancel()
	time.Sleep(2 * time.Second)
	m, when := r.mostInASecond(n, from, to)
	if !trouble {
		return result{summary: fmt.Sprintf("FAILBACK: no instance was cold; %s got at most %d requests in a second", n.id, m)}, nil
	}
	return result{broken: float64(m) > coldBound, summary: fmt.Sprintf(
		"FAILBACK: from %v after it became cold, %s got at most %d requests in a second, from %.3f s on; %.1f are allowed", coldNotice, n.id, m, when.Seconds(), coldBound)}, nil
}

// mostInASecond returns how many requests were sent and arrived at an instance in the same
// second, at most, between two times.
func (r *record) mostInASecond(n *instance, from, to time.Duration) (int, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := map[string]time.Duration{}
	for _, a := range r.answers {
		sent[a.id] = a.sent
	}
	type request struct{ sent, at time.Duration }
	var qs []request
	for _, a := range r.arrivals {
		if s, ok := sent[a.id]; ok && a.instance == n && s >= from && a.at < to {
			qs = append(qs, request{s, a.at})
		}
	}
	sort.Slice(qs, func(i, j int) bool { return qs[i].sent < qs[j].sent })
	most, when := 0, time.Duration(0)
	for _, first := range qs {
		c := 0
		for _, q := range qs {
			if q.sent >= first.sent && q.at <= first.sent+time.Second {
				c++
			}
		}
		if c > most {
			most, when = c, first.sent
		}
	}
	return most, when
}
