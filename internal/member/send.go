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

// due returns the requests that are due, in the order of addresses.
func (n *Node) due(now time.Time) []Send {
	var ps []*peer
	for _, p := range n.order {
		if !now.Before(p.next) {
			ps = append(ps, p)
		}
	}
	ss := make([]Send, 0, len(ps))
	for _, p := range ps {
		if n.leaving {
			ss = append(ss, n.farewell(now, p))
			continue
		}
		m := &peerpb.MemberMessage{Digest: n.digest}
		n.ask(now, p, m)
		ss = append(ss, Send{To: p.id, Message: m})
	}
	return ss
}

// ask puts a request for a promise into m.
func (n *Node) ask(now time.Time, p *peer, m *peerpb.MemberMessage) {
	n.sequence++
	m.Request = n.sequence
	m.Standing = n.standing
	m.Probe = m.Probe || n.probing(now)
	if p.seen != n.digest {
		m.Seen = p.seen
	}
	if n.list.self {
		m.Listed = n.list.revision + 1
	} else {
		p.told, p.untold = false, n.sequence
	}
	p.pending = append(p.pending, request{sequence: n.sequence, sent: now, digest: n.digest, listed: n.list.self, probe: m.Probe})
	if len(p.pending) > pendingLimit {
		p.pending = p.pending[1:]
	}
	p.next = now.Add(retry)
	if p.held.Sub(now) > n.Promise/3 {
		p.next = now.Add(n.Promise / 3)
	}
}

// probing tells whether this VM never had standing and a VM that it counts
// does not answer. It then asks nobody to count it yet, which would only lessen
// the part of the others.
func (n *Node) probing(now time.Time) bool {
	if n.standing || n.stood {
		return false
	}
	found := false
	for p := range n.counts() {
		if !n.answers(now, p) {
			return true
		}
		found = true
	}
	return !found
}

// answers tells whether a VM lately answered a request or a probe.
func (n *Node) answers(now time.Time, p *peer) bool {
	return now.Before(p.held) || now.Before(p.probed)
}

// view returns whom this VM counts, but for the receiver.
func (n *Node) view(now time.Time, to ID) []*peerpb.MemberEntry {
	es := []*peerpb.MemberEntry{}
	for _, id := range n.others(to) {
		es = append(es, encode(id))
	}
	for id, t := range n.ghosts {
		e := encode(id)
		e.RunningOnly = max(1, until(now, t))
		_, e.Ended = n.gone[id]
		es = append(es, e)
	}
	for id, t := range n.gone {
		if _, ok := n.ghosts[id]; !ok && n.recent(now, t) {
			e := encode(id)
			e.Ended = true
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(a, b *peerpb.MemberEntry) int {
		x, _ := decode(a)
		y, _ := decode(b)
		return x.Compare(y)
	})
	return es
}

// others returns the processes counted besides this one and another.
func (n *Node) others(but ID) []ID {
	var ids []ID
	for p := range n.counts() {
		if p.id != but {
			ids = append(ids, p.id)
		}
	}
	return ids
}

// hash returns a digest over this VM, those that it counts and the ended ones
// that it counts for running requests or knows to have ended lately.
func (n *Node) hash(now time.Time) uint64 {
	d := n.selfHash
	for p := range n.counts() {
		d += p.hash
	}
	for id := range n.ghosts {
		d += 3 * hash(id)
	}
	for id, t := range n.gone {
		if n.recent(now, t) {
			d += 5 * hash(id)
		}
	}
	return d
}

func hash(id ID) uint64 {
	h := fnv.New64a()
	b := id.Address.Addr().As16()
	_, _ = h.Write(b[:])
	var u [10]byte
	binary.BigEndian.PutUint16(u[:], id.Address.Port())
	binary.BigEndian.PutUint64(u[2:], id.Incarnation)
	_, _ = h.Write(u[:])
	return h.Sum64()
}

func encode(id ID) *peerpb.MemberEntry {
	b := id.Address.Addr().Unmap().AsSlice()
	return &peerpb.MemberEntry{
		Address:     binary.BigEndian.AppendUint16(b, id.Address.Port()),
		Incarnation: id.Incarnation,
	}
}

func decode(e *peerpb.MemberEntry) (ID, bool) {
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

// until returns the milliseconds from now to t, rounded up, and 0 when t has
// passed.
func until(now, t time.Time) uint32 {
	d := t.Sub(now)
	if d <= 0 || t.IsZero() {
		return 0
	}
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, math.MaxUint32))
}

func milliseconds(m uint32) time.Duration {
	return time.Duration(m) * time.Millisecond
}
