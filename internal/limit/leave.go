package limit

import "time"

// Pause drops the share, delegations and tokens that may have expired while the
// process was suspended. Nothing is granted until SetMembers is called.
func (f *Fleet) Pause(now time.Time) {
	f.mu.Lock()
	if f.startedAt.IsZero() {
		f.mu.Unlock()
		return
	}
	f.paused = true
	f.minEcho = f.timestamp(now)
	var rs []reply
	for _, b := range f.buckets.Load().byKey {
		b.mu.Lock()
		rs = append(rs, b.pause(now)...)
		b.mu.Unlock()
	}
	f.mu.Unlock()
	deliver(rs)
}

// pause drops what this VM holds of the limit and refuses the waiting requests.
// Permits from the owner that are in use stay.
func (b *bucket) pause(now time.Time) []reply {
	b.refill(now)
	b.share = 0
	b.received = nil
	b.recompute()
	if b.kind.limitsConcurrency() {
		b.dropIdle()
	} else {
		b.client.batches = nil
	}
	return b.client.refuseWaiting()
}

// Leave begins a graceful shutdown. This VM's share is no longer used, and delegations
// are returned in both directions. Requests are served with tokens granted by
// the owners.
func (f *Fleet) Leave(now time.Time) {
	f.mu.Lock()
	if f.startedAt.IsZero() {
		f.mu.Unlock()
		return
	}
	f.leaving = true
	f.updateShares(now)
	f.assignOwners(now)
	for _, p := range f.peers {
		p.nextRenewal = now
	}
	f.mu.Unlock()
	f.Tick(now)
}

// RunningUntil is the latest time until which requests may run under this VM's
// share of limits on concurrent requests.
func (f *Fleet) RunningUntil(now time.Time) time.Time {
	r := now
	n := f.buckets.Load()
	if n == nil {
		return r
	}
	for _, b := range n.byKey {
		if !b.kind.limitsConcurrency() {
			continue
		}
		b.mu.Lock()
		r = b.outstandingUntil(now, r)
		b.mu.Unlock()
	}
	return r
}

// outstandingUntil is the later of r and the end of the bucket's delegation, grants
// and running requests.
func (b *bucket) outstandingUntil(now, r time.Time) time.Time {
	b.refill(now)
	if b.delegated.pieces > 0 && b.delegated.until.After(r) {
		r = b.delegated.until
	}
	for _, g := range b.outstanding {
		if g.until.After(r) {
			r = g.until
		}
	}
	if b.running+b.client.running > 0 && b.runningUntil.After(r) {
		r = b.runningUntil
	}
	return r
}
