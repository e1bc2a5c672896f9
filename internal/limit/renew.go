package limit

import (
	"slices"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Timing of renewals.
const (
	minRenewalPeriod = time.Second
	maxRenewalPeriod = 1600 * time.Millisecond
	// delegationPeriods is the length of a delegation in renewal periods.
	delegationPeriods = 3
	minDelegationTime = 500 * time.Millisecond
	// earlyRenewalInterval is the minimum time between renewals ahead of schedule.
	earlyRenewalInterval = 500 * time.Millisecond
)

// renewalPeriod is the time between renewals to one peer. It grows with the number
// of peers that share the budget.
func (f *Fleet) renewalPeriod() time.Duration {
	d := time.Duration(float64(len(f.peers)) * f.renewalSize / f.RenewalBudget * float64(time.Second))
	return min(max(d, minRenewalPeriod), maxRenewalPeriod)
}

// delegationTime is the length of a delegation. A delegation expires no later than
// the share, by the clock of any VM.
func (f *Fleet) delegationTime(now time.Time) time.Duration {
	d := min(delegationPeriods*f.renewalPeriod(), f.shortenForDrift(f.shortenForDrift(MaxDelegationTime)))
	return min(d, f.shortenForDrift(f.shortenForDrift(f.share.Until.Sub(now)))).Truncate(time.Millisecond)
}

// sendRenewals sends the renewals that are due.
func (f *Fleet) sendRenewals(now time.Time) {
	due := map[member.ID]*peer{}
	for id, p := range f.peers {
		if !now.Before(p.nextRenewal) && (f.isMember(id) || now.Sub(p.lastReceived) < MaxDelegationTime) {
			due[id] = p
			p.nextRenewal = now.Add(f.renewalPeriod())
		}
	}
	if len(due) == 0 {
		return
	}
	ms := map[member.ID]*peerpb.LimitMessage{}
	for id, p := range due {
		ms[id] = &peerpb.LimitMessage{Renewal: true, Echo: p.lastTimestamp}
	}
	for _, b := range f.buckets.Load().order {
		f.addToRenewals(now, b, due, ms)
	}
	for _, id := range sortedIDs(due) {
		n := f.send(now, due[id], ms[id])
		f.renewalSize += (float64(n) - f.renewalSize) / 16
	}
}

// addToRenewals adds the delegations of a bucket, and a request for delegations if
// they are wanted, to the renewals.
func (f *Fleet) addToRenewals(now time.Time, b *bucket, due map[member.ID]*peer, ms map[member.ID]*peerpb.LimitMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &b.client
	if c.delegationsWanted || c.isOwner && now.Sub(c.demand.lastRemoteShortage) < ownerShortageTTL && b.shareIsLarge() {
		for _, m := range ms {
			m.Wanted = append(m.Wanted, b.id)
		}
	}
	p := c.owner
	if b.delegated.pieces > 0 {
		p = f.peers[b.delegated.to]
	}
	if p == nil || due[p.id] == nil {
		return
	}
	if p.wanted[b.id] {
		c.demand.lastRemoteRequest = now
	}
	d := f.delegationTime(now)
	if now.Sub(p.lastReceived) > d/2 || d < minDelegationTime || f.leaving {
		return
	}
	end := now.Add(f.extendForDrift(d))
	if b.kind.limitsConcurrency() {
		// A permit granted just before the delegation expires may be taken into
		// use prefetchValidity later and then be held for maxHoldTime.
		end = now.Add(f.extendForDrift(d + prefetchValidity + b.maxHoldTime))
	}
	if !b.delegate(now, p.id, end) {
		return
	}
	m := ms[p.id]
	m.LoanMs, m.Count, m.RunningCount = uint32(d.Milliseconds()), uint32(f.share.Count), uint32(f.share.RunningCount)
	m.Lent = append(m.Lent, b.id)
	m.Serial = append(m.Serial, b.delegated.serial)
	m.Part = append(m.Part, uint32(b.delegated.pieces))
	m.Level = append(m.Level, uint32(b.delegated.level*milliTokens))
}

// applyRenewal applies a renewal of a peer. Delegations that it no longer lists are
// revoked.
func (f *Fleet) applyRenewal(now time.Time, p *peer, m *peerpb.LimitMessage) {
	clear(p.wanted)
	for _, id := range m.GetWanted() {
		p.wanted[id] = true
		if !f.hasDelegated(p, id) {
			p.nextRenewal = now
		}
	}
	listed := map[uint32]uint32{}
	for i, id := range m.GetLent() {
		if i >= len(m.GetSerial()) || i >= len(m.GetPart()) || i >= len(m.GetLevel()) {
			break
		}
		listed[id] = m.GetSerial()[i]
		f.applyDelegation(now, p, m, i)
	}
	for id := range p.delegations {
		if _, ok := listed[id]; !ok {
			f.revoke(now, p, id)
		}
	}
	p.delegations = listed
}

// hasDelegated reports whether a part of this VM's share is delegated, or there is
// nothing to delegate.
func (f *Fleet) hasDelegated(p *peer, id uint32) bool {
	b := f.buckets.Load().byID[id]
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share <= 0 || b.delegated.pieces > 0
}

// applyDelegation applies entry i of a renewal. The delegation's length counts
// from this VM's own timestamp that the renewal echoes. If the delegation was
// returned already, the return is sent again.
func (f *Fleet) applyDelegation(now time.Time, p *peer, m *peerpb.LimitMessage, i int) {
	id, serial := m.GetLent()[i], m.GetSerial()[i]
	b := f.buckets.Load().byID[id]
	if b == nil || m.GetEcho() < f.minEcho {
		return
	}
	if r := p.returned[id]; r.GetSerial() == serial {
		f.send(now, p, &peerpb.LimitMessage{Returns: []*peerpb.LimitReturn{r}})
		return
	}
	n := m.GetCount()
	if b.kind.limitsConcurrency() {
		n = m.GetRunningCount()
	}
	if n == 0 || m.GetPart()[i] > sharePieces {
		return
	}
	d := time.Duration(m.GetLoanMs()) * time.Millisecond
	l := delegationIn{
		from:     p.id,
		serial:   serial,
		fraction: float64(m.GetPart()[i]) / sharePieces / float64(n),
		until:    f.startedAt.Add(time.Duration(m.GetEcho())*time.Microsecond + f.shortenForDrift(d)),
	}
	var level float64
	if p.credited[id] != serial {
		level = float64(m.GetLevel()[i]) / milliTokens
	}
	p.credited[id] = serial
	b.mu.Lock()
	b.addDelegation(now, l, level)
	b.mu.Unlock()
}

// revoke revokes the delegation of a limit by p.
func (f *Fleet) revoke(now time.Time, p *peer, id uint32) {
	if b := f.buckets.Load().byID[id]; b != nil {
		b.mu.Lock()
		b.revoke(now, p.id)
		b.mu.Unlock()
	}
}

// returnDelegations returns the delegations that are revoked, and all if another VM
// ranks before this one as the owner.
func (f *Fleet) returnDelegations(now time.Time, b *bucket, out map[member.ID]*peerpb.LimitMessage) {
	if len(b.received) == 0 {
		return
	}
	if !b.client.selfFirst {
		for _, d := range b.received {
			b.revoke(now, d.from)
		}
	}
	for _, d := range b.removeRevoked(now) {
		p := f.peers[d.from]
		if p == nil {
			continue
		}
		r := &peerpb.LimitReturn{Limit: b.id, Serial: d.serial, Level: uint32(d.level * milliTokens)}
		p.returned[b.id] = r
		m := messageTo(out, d.from)
		m.Returns = append(m.Returns, r)
	}
}

// messageTo returns the message to a VM in out, which it adds if needed.
func messageTo(out map[member.ID]*peerpb.LimitMessage, to member.ID) *peerpb.LimitMessage {
	if out[to] == nil {
		out[to] = &peerpb.LimitMessage{}
	}
	return out[to]
}

func sortedIDs[T any](m map[member.ID]T) []member.ID {
	var ids []member.ID
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b member.ID) int {
		if c := a.Address.Compare(b.Address); c != 0 {
			return c
		}
		return int(a.Incarnation) - int(b.Incarnation)
	})
	return ids
}
