package limit

import "time"

// Pause drops everything that may have ended while the process did not run. It
// grants nothing until Members is called.
func (f *Fleet) Pause(now time.Time) {
	f.mu.Lock()
	if f.start.IsZero() {
		f.mu.Unlock()
		return
	}
	f.paused = true
	f.notBefore = f.stamp(now)
	var rs []reply
	for _, b := range f.buckets.Load().byKey {
		b.mu.Lock()
		rs = append(rs, b.pause(now)...)
		b.mu.Unlock()
	}
	f.mu.Unlock()
	answer(rs)
}

func (b *bucket) pause(now time.Time) []reply {
	b.refill(now)
	b.share = 0
	b.loans = nil
	b.recount()
	if b.kind.counted() {
		b.drop()
	} else {
		b.taker.lots = nil
	}
	return b.taker.dismiss()
}

// Leave begins a planned stop: the own share is used no more, and loans go back
// both ways. Requests are served with tokens of the homes.
func (f *Fleet) Leave(now time.Time) {
	f.mu.Lock()
	if f.start.IsZero() {
		f.mu.Unlock()
		return
	}
	f.leaving = true
	f.shares(now)
	f.place(now)
	for _, p := range f.peers {
		p.due = now
	}
	f.mu.Unlock()
	f.Tick(now)
}

// RunningUntil is the latest time at which work may run under this VM's share
// of limits on requests at once.
func (f *Fleet) RunningUntil(now time.Time) time.Time {
	r := now
	n := f.buckets.Load()
	if n == nil {
		return r
	}
	for _, b := range n.byKey {
		if !b.kind.counted() {
			continue
		}
		b.mu.Lock()
		r = b.busyUntil(now, r)
		b.mu.Unlock()
	}
	return r
}

// busyUntil is the later of r and the end of what is out of the bucket.
func (b *bucket) busyUntil(now, r time.Time) time.Time {
	b.refill(now)
	if b.lent.part > 0 && b.lent.until.After(r) {
		r = b.lent.until
	}
	for _, c := range b.charges {
		if c.until.After(r) {
			r = c.until
		}
	}
	if b.running+b.taker.running > 0 && b.runningUntil.After(r) {
		r = b.runningUntil
	}
	return r
}
