package member

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/peerpb"
)

// dueMessages returns the requests that are due, or the release messages of a
// leaving VM, ordered by address.
func (n *Node) dueMessages(now time.Time) []Envelope {
	var ps []*peer
	for _, p := range n.order {
		if !now.Before(p.nextRequestAt) {
			ps = append(ps, p)
		}
	}
	ss := make([]Envelope, 0, len(ps))
	for _, p := range ps {
		if n.leaving {
			ss = append(ss, n.releaseMessage(now, p))
			continue
		}
		m := &peerpb.MemberMessage{Digest: n.digest}
		n.addRequest(now, p, m)
		ss = append(ss, Envelope{To: p.id, Message: m})
	}
	return ss
}

// addRequest adds a request for a lease, or a probe, to m.
func (n *Node) addRequest(now time.Time, p *peer, m *peerpb.MemberMessage) {
	n.sequence++
	m.Request = n.sequence
	m.Standing = n.active
	m.Probe = m.Probe || n.probing(now)
	if p.viewDigest != n.digest {
		m.Seen = p.viewDigest
	}
	if n.list.hasSelf {
		m.Listed = n.list.revision + 1
	} else {
		p.knowsListed, p.lastUnlistedRequest = false, n.sequence
	}
	p.pending = append(p.pending, request{sequence: n.sequence, sentAt: now, digest: n.digest, listed: n.list.hasSelf, probe: m.Probe})
	if len(p.pending) > maxPendingRequests {
		p.pending = p.pending[1:]
	}
	p.nextRequestAt = now.Add(retryInterval)
	if p.heldUntil.Sub(now) > n.LeaseDuration/3 {
		p.nextRequestAt = now.Add(n.LeaseDuration / 3)
	}
}

// probing reports whether this VM only sends probes: it was never active, and a
// VM that it counts does not answer, or it counts none. If other VMs counted it
// now, their shares would shrink although it could not use its own.
func (n *Node) probing(now time.Time) bool {
	if n.active || n.wasActive {
		return false
	}
	found := false
	for p := range n.countedPeers() {
		if !n.answering(now, p) {
			return true
		}
		found = true
	}
	return !found
}

// answering reports whether a VM recently answered a request or a probe.
func (n *Node) answering(now time.Time, p *peer) bool {
	return now.Before(p.heldUntil) || now.Before(p.probeValidUntil)
}

// buildView returns the VMs that this VM counts, except the receiver, with the
// tombstones and the processes that ended recently.
func (n *Node) buildView(now time.Time, to ID) []*peerpb.MemberEntry {
	es := []*peerpb.MemberEntry{}
	for _, id := range n.countedExcept(to) {
		es = append(es, encodeID(id))
	}
	for id, t := range n.tombstones {
		e := encodeID(id)
		e.RunningOnly = max(1, millisecondsUntil(now, t))
		_, e.Ended = n.ended[id]
		es = append(es, e)
	}
	for id, t := range n.ended {
		if _, ok := n.tombstones[id]; !ok && n.recentlyEnded(now, t) {
			e := encodeID(id)
			e.Ended = true
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(a, b *peerpb.MemberEntry) int {
		x, _ := decodeID(a)
		y, _ := decodeID(b)
		return x.Compare(y)
	})
	return es
}

// countedExcept returns the processes counted besides this one, without except.
func (n *Node) countedExcept(except ID) []ID {
	var ids []ID
	for p := range n.countedPeers() {
		if p.id != except {
			ids = append(ids, p.id)
		}
	}
	return ids
}

// computeDigest returns a hash over this VM, the VMs that it counts, the
// tombstones and the processes that ended recently. The sum does not depend on
// their order; the factors tell apart what is known of a process.
func (n *Node) computeDigest(now time.Time) uint64 {
	d := n.selfHash
	for p := range n.countedPeers() {
		d += p.hash
	}
	for id := range n.tombstones {
		d += 3 * hashID(id)
	}
	for id, t := range n.ended {
		if n.recentlyEnded(now, t) {
			d += 5 * hashID(id)
		}
	}
	return d
}

func hashID(id ID) uint64 {
	h := fnv.New64a()
	b := id.Address.Addr().As16()
	_, _ = h.Write(b[:])
	var u [10]byte
	binary.BigEndian.PutUint16(u[:], id.Address.Port())
	binary.BigEndian.PutUint64(u[2:], id.Incarnation)
	_, _ = h.Write(u[:])
	return h.Sum64()
}

func encodeID(id ID) *peerpb.MemberEntry {
	b := id.Address.Addr().Unmap().AsSlice()
	return &peerpb.MemberEntry{
		Address:     binary.BigEndian.AppendUint16(b, id.Address.Port()),
		Incarnation: id.Incarnation,
	}
}

func decodeID(e *peerpb.MemberEntry) (ID, bool) {
	b := e.GetAddress()
	if len(b) < 2 {
		return ID{}, false
	}
	i := len(b) - 2
	a, ok := netip.AddrFromSlice(b[:i])
	if !ok {
		return ID{}, false
	}
	p := netip.AddrPortFrom(a, binary.BigEndian.Uint16(b[i:]))
	return ID{Address: p, Incarnation: e.GetIncarnation()}, true
}

// millisecondsUntil returns the milliseconds from now to t, rounded up, and 0 if
// t has passed.
func millisecondsUntil(now, t time.Time) uint32 {
	d := t.Sub(now)
	if d <= 0 || t.IsZero() {
		return 0
	}
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, math.MaxUint32))
}

func milliseconds(m uint32) time.Duration {
	return time.Duration(m) * time.Millisecond
}
