package member

import (
	"slices"
	"time"

	"lentilbend.example/internal/peerpb"
)

// Receive takes a message of another VM, and returns the answers.
func (n *Node) Receive(now time.Time, from ID, m *peerpb.MemberMessage) []Send {
	n.begin(now)
	n.lapse(now)
	if from.Address == n.Self.Address {
		return nil
	}
	p := n.know(now, from)
	if p == nil {
		return nil
	}
	p.heard, p.absent = now, time.Time{}
	delete(n.missed, from)
	if m.GetRelease() {
		n.release(now, p, m)
		n.settle(now)
		return n.due(now)
	}
	n.take(now, p, m)
	if m.GetRequest() > 0 && !m.GetProbe() && !n.leaving {
		n.promise(now, p, m)
	}
	n.settle(now)
	var ss []Send
	if m.GetRequest() > 0 {
		ss = append(ss, n.grant(now, p, m))
	}
	return append(ss, n.due(now)...)
}

// know returns the entry of a process, or nil when a later process runs at its
// address or it has ended.
func (n *Node) know(now time.Time, id ID) *peer {
	if _, ok := n.gone[id]; ok || id.Incarnation == 0 {
		return nil
	}
	p := n.peers[id.Address]
	if p == nil {
		p = &peer{id: id, known: now}
		n.add(p)
		return p
	}
	if id.Incarnation < p.id.Incarnation {
		return nil
	}
	if id.Incarnation > p.id.Incarnation {
		p = n.replace(now, p, id)
	}
	return p
}

// replace puts a later process in the place of the one before, which has
// ended because an address belongs to one process.
func (n *Node) replace(now time.Time, p *peer, id ID) *peer {
	o := &peer{id: id, known: now, centre: p.centre, leaving: p.leaving, derived: p.derived}
	n.add(o)
	if p.id.Incarnation == 0 {
		return o
	}
	n.inherit(p)
	if p.counted || p.derived {
		n.haunt(now, p.id, n.runningEnd(now, p))
	}
	if p.counted {
		n.count(now, o)
	}
	n.bury(now, p.id)
	return o
}

// inherit keeps the waits that an ended VM asked for.
func (n *Node) inherit(p *peer) {
	n.useFrom = latest(n.useFrom, p.useFrom)
	n.runningFrom = latest(n.runningFrom, p.runningFrom)
}

// runningEnd returns when the last request of an ended process ends.
func (n *Node) runningEnd(now time.Time, p *peer) time.Time {
	if !p.runningUntil.IsZero() {
		return p.runningUntil
	}
	return now.Add(n.longer(n.RunningMax))
}

// haunt goes on counting an ended process for running requests. Without
// standing, this VM also waits for them and for the loans: they may be from
// before this VM was counted.
func (n *Node) haunt(now time.Time, id ID, until time.Time) {
	n.ghosts[id] = latest(n.ghosts[id], until)
	if !n.standing {
		n.useFrom = latest(n.useFrom, now.Add(n.longer(n.LoanMax)))
		n.runningFrom = latest(n.runningFrom, until)
	}
}

// bury remembers that a process ended, so that late messages do not bring it
// back.
func (n *Node) bury(now time.Time, id ID) {
	n.gone[id] = now.Add(n.memory())
}

func (n *Node) memory() time.Duration {
	return n.longer(n.Promise) + n.Outage
}

// recent tells whether a process that is remembered until t ended so lately
// that others may not know.
func (n *Node) recent(now, t time.Time) bool {
	return t.Sub(now) > n.memory()-2*n.Promise
}

// count begins to count a VM.
func (n *Node) count(now time.Time, p *peer) {
	if p.counted {
		return
	}
	p.counted = true
	p.needless = now.Add(n.shorter(n.Promise) / 4)
	if n.used.IsZero() {
		return
	}
	p.loanFree = now.Add(n.longer(n.LoanMax))
	p.runningFree = p.loanFree
	if n.RunningUntil == nil {
		return
	}
	if t := n.RunningUntil(now); t.After(p.runningFree) {
		p.runningFree = now.Add(n.longer(t.Sub(now)))
	}
}

// release notes that a VM gives up its share.
func (n *Node) release(now time.Time, p *peer, m *peerpb.MemberMessage) {
	p.leaving = true
	if !p.dropAt.IsZero() {
		return
	}
	p.dropAt = now.Add(n.longer(milliseconds(m.GetWait())))
	p.runningUntil = now.Add(n.longer(milliseconds(m.GetRunningWait())))
}

// merge takes in the sender's view, which goes with a promise.
func (n *Node) merge(now time.Time, p *peer, m *peerpb.MemberMessage) {
	p.view = p.view[:0]
	p.seen = m.GetDigest()
	for _, e := range m.GetView() {
		id, ok := decode(e)
		switch t := milliseconds(e.GetRunningOnly()); {
		case !ok:
		case e.GetEnded():
			n.end(now, id, t)
		case t > 0 && !n.standing:
			n.haunt(now, id, now.Add(n.longer(t)))
		case t > 0:
		case id.Address == n.Self.Address:
			n.outrun = max(n.outrun, id.Incarnation)
		default:
			p.view = append(p.view, id)
		}
	}
	n.introduce(now, p.view)
}

// end takes note that a process released its share or was replaced, as another
// VM knows. Its loans may still run.
func (n *Node) end(now time.Time, id ID, running time.Duration) {
	p := n.peers[id.Address]
	if p != nil && p.id == id && p.dropAt.IsZero() {
		p.dropAt = now.Add(n.longer(n.LoanMax))
		p.runningUntil = now.Add(n.longer(running))
		return
	}
	if running > 0 && !n.standing {
		n.haunt(now, id, now.Add(n.longer(running)))
	}
	if _, ok := n.gone[id]; !ok && (p == nil || p.id != id) {
		n.bury(now, id)
	}
}

// introduce makes the processes of a view known, so that they are asked.
func (n *Node) introduce(now time.Time, ids []ID) {
	for _, id := range ids {
		if id.Incarnation > 0 {
			n.know(now, id)
			continue
		}
		if n.peers[id.Address] == nil {
			n.add(&peer{id: id, known: now})
		}
	}
}

// take takes in a promise. It counts only if the sender's view at that time is
// known here.
func (n *Node) take(now time.Time, p *peer, m *peerpb.MemberMessage) {
	i := slices.IndexFunc(p.pending, func(r request) bool { return r.sequence == m.GetGrant() })
	if i < 0 {
		return
	}
	r := p.pending[i]
	switch {
	case m.GetHasView():
		n.merge(now, p, m)
	case m.GetDigest() == p.seen:
	case m.GetDigest() == r.digest && r.digest == n.digest:
		p.view = n.others(p.id)
		p.seen = r.digest
	default:
		p.next = now
		return
	}
	p.pending = p.pending[i+1:]
	p.standing = m.GetStanding()
	if m.GetProbe() {
		p.probed = r.sent.Add(n.shorter(n.Promise))
		return
	}
	p.useFrom = now.Add(n.longer(milliseconds(m.GetWait())))
	p.runningFrom = now.Add(n.longer(milliseconds(m.GetRunningWait())))
	p.told = p.told || r.listed && r.sequence > p.untold
	if t := r.sent.Add(n.shorter(n.Promise)); t.After(p.held) {
		p.held = t
	}
}

// grant answers a request: a promise to go on counting the sender, or the view
// that a probe asked for.
func (n *Node) grant(now time.Time, p *peer, m *peerpb.MemberMessage) Send {
	if n.leaving {
		return n.farewell(now, p)
	}
	free := p.loanFree
	if !n.standing && !m.GetStanding() {
		free = latest(free, n.useFrom)
	}
	o := &peerpb.MemberMessage{
		Grant:       m.GetRequest(),
		Probe:       m.GetProbe(),
		Digest:      n.digest,
		Standing:    n.standing,
		Wait:        until(now, free),
		RunningWait: until(now, p.runningFree),
	}
	if m.GetDigest() != n.digest && m.GetSeen() != n.digest {
		o.HasView = true
		o.View = n.view(now, p.id)
	}
	if p.next.Sub(now) < n.Promise/6 && n.probing(now) == m.GetProbe() && !p.underway(now) {
		n.ask(now, p, o)
	}
	return Send{To: p.id, Message: o}
}

// underway tells whether a request was sent so lately that its answer may still
// come. Without this, many messages that come at once, as after a pause, would
// each start an exchange that pushes the requests of the others out.
func (p *peer) underway(now time.Time) bool {
	k := len(p.pending)
	return k > 0 && now.Sub(p.pending[k-1].sent) < retry/2
}

// promise counts a VM from now on.
func (n *Node) promise(now time.Time, p *peer, m *peerpb.MemberMessage) {
	n.count(now, p)
	p.granted = now.Add(n.longer(n.Promise))
	if m.GetRequest() > p.asked {
		p.asked, p.listed = m.GetRequest(), m.GetListed()
	}
}

// farewell tells that the own share is released.
func (n *Node) farewell(now time.Time, p *peer) Send {
	p.next = now.Add(retry)
	o := &peerpb.MemberMessage{
		Release: true,
		Wait:    until(now, n.released.Add(n.longer(n.LoanMax))),
	}
	o.RunningWait = o.Wait
	if n.RunningUntil != nil {
		o.RunningWait = max(o.Wait, until(now, n.RunningUntil(now)))
	}
	return Send{To: p.id, Message: o}
}
