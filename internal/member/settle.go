package member

import (
	"iter"
	"slices"
	"time"
)

// settle ends what has run out by now, and works out the standing and the
// share.
func (n *Node) settle(now time.Time) {
	n.last = now
	n.lapse(now)
	n.expire(now)
	n.forget(now)
	if !n.standing {
		n.derive(now)
	}
	n.digest = n.hash(now)
	n.stand(now)
	n.update(now)
}

// lapse ends a standing that was not prolonged in time.
func (n *Node) lapse(now time.Time) {
	if n.standing && !now.Before(n.until) {
		n.lose(now)
	}
}

// expire drops released VMs, VMs that only were candidates, and what was kept
// about ended processes.
func (n *Node) expire(now time.Time) {
	for _, p := range n.order {
		switch {
		case !p.dropAt.IsZero() && !now.Before(p.dropAt):
			n.drop(now, p)
		case !p.counted && !p.derived && n.idle(now, p):
			n.remove(p)
		}
	}
	for id, t := range n.ghosts {
		if !now.Before(t) {
			delete(n.ghosts, id)
		}
	}
	for id, t := range n.gone {
		delete(n.missed, id)
		if !now.Before(t) {
			delete(n.gone, id)
		}
	}
	for id, t := range n.missed {
		if !now.Before(t) {
			delete(n.missed, id)
		}
	}
}

// idle tells whether a VM that is not counted can be left out of what is known.
func (n *Node) idle(now time.Time, p *peer) bool {
	if _, ok := n.list.vms[p.id.Address]; ok {
		return false
	}
	return now.Sub(p.known) > 3*n.Promise && now.Sub(p.heard) > 3*n.Promise
}

// drop ends counting a VM. Its running requests still count until they end.
func (n *Node) drop(now time.Time, p *peer) {
	n.inherit(p)
	if p.counted || p.derived {
		n.haunt(now, p.id, n.runningEnd(now, p))
	}
	n.bury(now, p.id)
	n.remove(p)
}

// forget ends counting VMs that the platform's list has not shown for long
// enough and whose promise has ended.
func (n *Node) forget(now time.Time) {
	for _, p := range n.order {
		if p.counted && n.forgettable(now, p) {
			n.forgot = n.forgot || !n.standing
			n.inherit(p)
			if p.listed == 0 {
				n.missed[p.id] = now.Add(n.longer(n.Outage))
			}
			n.haunt(now, p.id, now.Add(n.longer(n.RunningMax)))
			n.remove(p)
		}
	}
}

func (n *Node) forgettable(now time.Time, p *peer) bool {
	if now.Before(p.granted.Add(n.longer(n.LoanMax))) {
		return false
	}
	if p.asked > 0 && p.listed == 0 {
		return true
	}
	if p.absent.IsZero() || now.Sub(n.list.sent) > n.keep() {
		return false
	}
	absent := n.list.sent.Sub(p.absent)
	if absent < n.evidence() {
		return false
	}
	return n.majority(now) || absent >= n.evidence()+n.longer(n.Outage)
}

// evidence is how long own reads must have shown no trace of a VM: so long that
// the VM's own reads must have shown that too, and its use must have ended.
func (n *Node) evidence() time.Duration {
	return n.longer(2*n.ListAge + n.keep())
}

// counts yields the VMs counted besides this one, in the order of addresses.
func (n *Node) counts() iter.Seq[*peer] {
	return func(yield func(*peer) bool) {
		for _, p := range n.order {
			if (p.counted || p.derived) && !yield(p) {
				return
			}
		}
	}
}

// majority tells whether more than half of the VMs that are counted, or were
// forgotten lately without a majority, have a running promise here; or half with
// the lowest address.
func (n *Node) majority(now time.Time) bool {
	return now.Before(n.majorityUntil(now))
}

// majorityUntil returns until when a majority's promises run, if none is
// renewed.
func (n *Node) majorityUntil(now time.Time) time.Time {
	low, lowHeld := n.Self, time.Time{}
	ts := make([]time.Time, 0, len(n.order))
	for p := range n.counts() {
		ts = append(ts, p.held)
		if p.id.Compare(low) < 0 {
			low, lowHeld = p.id, p.held
		}
	}
	for id := range n.missed {
		ts = append(ts, time.Time{})
		if id.Compare(low) < 0 {
			low, lowHeld = id, time.Time{}
		}
	}
	slices.SortFunc(ts, func(a, b time.Time) int { return b.Compare(a) })
	far := now.Add(n.shorter(n.Promise))
	total := len(ts) + 1
	t := far
	if k := total / 2; k > 0 {
		t = ts[k-1]
	}
	if total%2 == 1 {
		return t
	}
	h := far
	if k := total/2 - 1; k > 0 {
		h = ts[k-1]
	}
	if low != n.Self && lowHeld.Before(h) {
		h = lowHeld
	}
	if h.After(t) {
		return h
	}
	return t
}
