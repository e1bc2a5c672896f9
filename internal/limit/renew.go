package limit

import (
	"slices"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Times of renewals.
const (
	minPeriod = time.Second
	maxPeriod = 1600 * time.Millisecond
	// loanPeriods is the length of a loan in periods.
	loanPeriods = 3
	minLoan     = 500 * time.Millisecond
	// hastenEvery is the least time between renewals before their time.
	hastenEvery = 500 * time.Millisecond
)

// period is the time between renewals to one peer: longer when many peers share
// the budget.
func (f *Fleet) period() time.Duration {
	d := time.Duration(float64(len(f.peers)) * f.size / f.Budget * float64(time.Second))
	return min(max(d, minPeriod), maxPeriod)
}

// loanFor is the length of a loan of a share. It ends with the share, by any
// clock.
func (f *Fleet) loanFor(now time.Time) time.Duration {
	d := min(loanPeriods*f.period(), f.less(f.less(LoanMax)))
	return min(d, f.less(f.less(f.share.Until.Sub(now)))).Truncate(time.Millisecond)
}

// renew sends the renewals that are due.
func (f *Fleet) renew(now time.Time) {
	due := map[member.ID]*peer{}
	for id, p := range f.peers {
		if !now.Before(p.due) && (f.isMember(id) || now.Sub(p.heard) < LoanMax) {
			due[id] = p
			p.due = now.Add(f.period())
		}
	}
	if len(due) == 0 {
		return
	}
	ms := map[member.ID]*peerpb.LimitMessage{}
	for id, p := range due {
		ms[id] = &peerpb.LimitMessage{Renewal: true, Echo: p.echo}
	}
	for _, b := range f.buckets.Load().order {
		f.enter(now, b, due, ms)
	}
	for _, id := range sortedIDs(due) {
		n := f.post(now, due[id], ms[id])
		f.size += (float64(n) - f.size) / 16
	}
}

// enter puts what is to be said of a bucket into the renewals.
func (f *Fleet) enter(now time.Time, b *bucket, due map[member.ID]*peer, ms map[member.ID]*peerpb.LimitMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &b.taker
	if t.announced || t.self && now.Sub(t.demand.short) < wantedFor && b.large() {
		for _, m := range ms {
			m.Wanted = append(m.Wanted, b.id)
		}
	}
	p := t.home
	if b.lent.part > 0 {
		p = f.peers[b.lent.to]
	}
	if p == nil || due[p.id] == nil {
		return
	}
	if p.wanted[b.id] {
		t.demand.wanted = now
	}
	d := f.loanFor(now)
	if now.Sub(p.heard) > d/2 || d < minLoan || f.leaving {
		return
	}
	end := now.Add(f.more(d))
	if b.kind.counted() {
		end = now.Add(f.more(d + aheadValid + b.longest))
	}
	if !b.lend(now, p.id, end) {
		return
	}
	m := ms[p.id]
	m.LoanMs, m.Count, m.RunningCount = uint32(d.Milliseconds()), uint32(f.share.Count), uint32(f.share.RunningCount)
	m.Lent = append(m.Lent, b.id)
	m.Serial = append(m.Serial, b.lent.serial)
	m.Part = append(m.Part, uint32(b.lent.part))
	m.Level = append(m.Level, uint32(b.lent.level*milli))
}

// renewed takes in a renewal of a peer.
func (f *Fleet) renewed(now time.Time, p *peer, m *peerpb.LimitMessage) {
	clear(p.wanted)
	for _, id := range m.GetWanted() {
		p.wanted[id] = true
		if !f.lends(p, id) {
			p.due = now
		}
	}
	listed := map[uint32]uint32{}
	for i, id := range m.GetLent() {
		if i >= len(m.GetSerial()) || i >= len(m.GetPart()) || i >= len(m.GetLevel()) {
			break
		}
		listed[id] = m.GetSerial()[i]
		f.borrow(now, p, m, i)
	}
	for id := range p.borrowed {
		if _, ok := listed[id]; !ok {
			f.recall(now, p, id)
		}
	}
	p.borrowed = listed
}

// lends reports whether a part of the own share of a limit is lent to p.
func (f *Fleet) lends(p *peer, id uint32) bool {
	b := f.buckets.Load().byID[id]
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share <= 0 || b.lent.part > 0
}

// borrow takes in entry i of a renewal.
func (f *Fleet) borrow(now time.Time, p *peer, m *peerpb.LimitMessage, i int) {
	id, serial := m.GetLent()[i], m.GetSerial()[i]
	b := f.buckets.Load().byID[id]
	if b == nil || m.GetEcho() < f.notBefore {
		return
	}
	if r := p.ended[id]; r.GetSerial() == serial {
		f.post(now, p, &peerpb.LimitMessage{Returns: []*peerpb.LimitReturn{r}})
		return
	}
	n := m.GetCount()
	if b.kind.counted() {
		n = m.GetRunningCount()
	}
	if n == 0 || m.GetPart()[i] > parts {
		return
	}
	d := time.Duration(m.GetLoanMs()) * time.Millisecond
	l := loan{
		from:   p.id,
		serial: serial,
		part:   float64(m.GetPart()[i]) / parts / float64(n),
		until:  f.start.Add(time.Duration(m.GetEcho())*time.Microsecond + f.less(d)),
	}
	var level float64
	if p.credited[id] != serial {
		level = float64(m.GetLevel()[i]) / milli
	}
	p.credited[id] = serial
	b.mu.Lock()
	b.borrow(now, l, level)
	b.mu.Unlock()
}

func (f *Fleet) recall(now time.Time, p *peer, id uint32) {
	if b := f.buckets.Load().byID[id]; b != nil {
		b.mu.Lock()
		b.recall(now, p.id)
		b.mu.Unlock()
	}
}

// giveBack returns the loans that are recalled or came to a VM that is not the
// home.
func (f *Fleet) giveBack(now time.Time, b *bucket, out map[member.ID]*peerpb.LimitMessage) {
	if len(b.loans) == 0 {
		return
	}
	if !b.taker.mine {
		for _, l := range b.loans {
			b.recall(now, l.from)
		}
	}
	for _, l := range b.giveBack(now) {
		p := f.peers[l.from]
		if p == nil {
			continue
		}
		r := &peerpb.LimitReturn{Limit: b.id, Serial: l.serial, Level: uint32(l.level * milli)}
		p.ended[b.id] = r
		m := message(out, l.from)
		m.Returns = append(m.Returns, r)
	}
}

func message(out map[member.ID]*peerpb.LimitMessage, to member.ID) *peerpb.LimitMessage {
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
