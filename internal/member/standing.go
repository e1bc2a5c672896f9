package member

import "time"

// derive counts, beside the VMs that asked this one, those that the VMs with
// standing count; or, where none with standing answers, all that anybody names.
func (n *Node) derive(now time.Time) {
	s := false
	for _, p := range n.order {
		s = s || p.standing && n.answers(now, p)
	}
	for _, p := range n.order {
		p.derived = false
	}
	marked := map[uint64]bool{}
	for _, p := range n.order {
		if !n.answers(now, p) || s && !p.standing {
			continue
		}
		p.derived = true
		if marked[p.seen] {
			continue
		}
		marked[p.seen] = true
		n.introduce(now, p.view)
		for _, id := range p.view {
			n.mark(id)
		}
	}
	if s {
		return
	}
	for a := range n.list.vms {
		n.mark(ID{Address: a})
	}
}

// sponsored tells whether a VM with standing promises to count this one.
func (n *Node) sponsored(now time.Time) bool {
	for _, p := range n.order {
		if p.standing && now.Before(p.held) {
			return true
		}
	}
	return false
}

func (n *Node) mark(id ID) {
	if _, ok := n.gone[id]; ok {
		return
	}
	p := n.peers[id.Address]
	if p == nil || id.Incarnation > 0 && id.Incarnation < p.id.Incarnation {
		return
	}
	p.derived = true
}

// stand works out the standing and until when it is sure.
func (n *Node) stand(now time.Time) {
	if n.leaving {
		n.lose(now)
		return
	}
	if n.standing {
		n.until = n.promisedUntil(now, n.keepUntil(now))
		if !now.Before(n.until) {
			n.lose(now)
		}
		return
	}
	promised := n.promisedUntil(now, time.Time{})
	if !now.Before(promised) {
		return
	}
	if !n.sponsored(now) && !n.founding(now) && !n.unchanged(now) {
		return
	}
	n.standing, n.stood, n.until = true, true, promised
	for _, p := range n.order {
		if p.derived {
			n.count(now, p)
		}
	}
}

// promisedUntil returns until when every counted VM's promise runs, or none is
// needed: a VM that knows this one as listed forgets it only after keep.
func (n *Node) promisedUntil(now, keep time.Time) time.Time {
	t := now.Add(n.shorter(n.Promise))
	for p := range n.counts() {
		h := p.held
		if n.standing {
			h = latest(h, p.needless)
		}
		if p.told {
			h = latest(h, keep)
		}
		if h.Before(t) {
			t = h
		}
	}
	return t
}

// keepUntil returns until when the standing lasts without the promises of VMs
// that do not answer: while an own read shows this VM, or, without a readable
// list, while most VMs answer.
func (n *Node) keepUntil(now time.Time) time.Time {
	if !n.list.self {
		return time.Time{}
	}
	last := n.list.sent
	t := last.Add(n.shorter(n.keep()))
	if now.Sub(last) < n.keep()/2 {
		return t
	}
	m := n.majorityUntil(now)
	if e := last.Add(n.shorter(n.Outage)); e.Before(m) {
		m = e
	}
	return latest(t, m)
}

// founding tells whether this VM may get standing without a VM that has it: an
// own read shows this VM, and all others in it promise.
func (n *Node) founding(now time.Time) bool {
	if now.Sub(n.started) < foundingWait {
		return false
	}
	if !n.list.self || !n.list.sent.After(n.lostAt) || now.Sub(n.list.sent) > n.Promise {
		return false
	}
	for a := range n.list.vms {
		if a == n.Self.Address {
			continue
		}
		if p := n.peers[a]; p == nil || !now.Before(p.held) {
			return false
		}
	}
	return true
}

// unchanged tells whether, without a readable list, all VMs that were counted
// when the standing was lost promise again.
func (n *Node) unchanged(now time.Time) bool {
	if !n.stood || n.forgot || n.list.sent.After(n.lostAt) {
		return false
	}
	for _, p := range n.order {
		if p.counted {
			return true
		}
	}
	return false
}

// update works out the share.
func (n *Node) update(now time.Time) {
	c := 1
	for range n.counts() {
		c++
	}
	s := Share{Count: c, RunningCount: c + len(n.ghosts), Epoch: n.share.Epoch}
	if s.Count != n.share.Count || s.RunningCount != n.share.RunningCount {
		s.Epoch++
	}
	use, running := n.useFrom, n.runningFrom
	for p := range n.counts() {
		use = latest(use, p.useFrom)
		running = latest(running, p.runningFrom)
	}
	s.Usable = n.standing && !now.Before(use)
	s.RunningUsable = n.standing && !now.Before(running)
	if n.standing {
		s.Until = n.until
	}
	if s.Usable || s.RunningUsable {
		n.used = now
	}
	n.share = s
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
