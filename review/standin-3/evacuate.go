package main

import (
	"context"
	"fmt"
	"time"
)

// Times of the case evacuate, from the start of the traffic. The pages name the bounds.
const (
	copyTakenAt  = 5500 * time.Millisecond
	evacuatedAt  = 6 * time.Second
	storeGoneAt  = 10 * time.Second
	storeBackAt  = 10500 * time.Millisecond
	writtenAgain = 18 * time.Second
	evacuateEnd  = 20 * time.Second

	evacuationBound = 5 * time.Second
	stableWindow    = 3 * time.Second
)

// evacuate takes a zone out. Later the store comes back from a copy that is some seconds
// old, and the operator writes the evacuation again.
func evacuate(r *record, trouble bool) (result, error) {
	zones := []string{"kgl-a", "kgl-b", "kgl-c"}
	f, err := newFleet(r, zones, []string{"kgl-a", "kgl-a", "kgl-b", "kgl-b", "kgl-c", "kgl-c"})
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
	at := func(t time.Duration) { time.Sleep(t - r.now()) }

	at(copyTakenAt)
	f.store.takeCopy("copy")
	at(evacuatedAt)
	revision := f.store.put("op/evacuate/kgl-b", "{}")
	acknowledged := r.now()
	r.event("the operator evacuates kgl-b; acknowledged at revision %d", revision)
	if trouble {
		at(storeGoneAt)
		f.store.leave()
		r.event("the store is away")
		at(storeBackAt)
		f.store.restore("copy")
		r.event("the store is back from a copy taken %.1f s before it went", (storeGoneAt - copyTakenAt).Seconds())
		at(writtenAgain)
		revision = f.store.put("op/evacuate/kgl-b", "{}")
		r.event("the operator writes the evacuation of kgl-b again; revision %d", revision)
	}
	at(evacuateEnd)
	cancel()
	time.Sleep(2 * time.Second)

	from := acknowledged + evacuationBound
	if trouble {
		// The VMs are in touch again stableWindow after the end of the disruption.
		from = max(from, storeBackAt+stableWindow)
	}
	r.mu.Lock()
	late, before, served := 0, 0, 0
	for _, n := range r.runs {
		switch {
		case n.instance.zone == "kgl-b" && n.at > from:
			late++
		case n.instance.zone == "kgl-b" && n.at < acknowledged:
			before++
		}
	}
	for _, a := range r.answers {
		if a.status == 200 {
			served++
		}
	}
	r.mu.Unlock()
	if before == 0 || served < 100 {
		return result{}, fmt.Errorf("%d requests reached kgl-b before the evacuation, %d were served in all", before, served)
	}
	return result{broken: late > 0, summary: fmt.Sprintf(
		"EVAC: after %.1f s, %d requests ran on instances of kgl-b, which was evacuated at %.1f s and not taken back (%d before the evacuation, %d served in all)",
		from.Seconds(), late, acknowledged.Seconds(), before, served)}, nil
}
