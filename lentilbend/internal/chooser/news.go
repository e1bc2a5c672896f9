package chooser

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/peerpb"
)

// Bounds of the news that came before the table.
const (
	earlyServices = 64
	earlyNews     = 256
	earlyFor      = time.Minute
)

// newsPerMessage bounds the entries read from one message.
const newsPerMessage = 1024

// News returns what the other VMs are to be told now.
func (s *Services) News(now time.Time) []*peerpb.LoadMessage {
	var ms []*peerpb.LoadMessage
	s.each(func(n string, v *service) {
		if ns := v.set.TakeUpdates(now); len(ns) > 0 {
			ms = append(ms, encode(n, ns))
		}
	})
	return ms
}

// Standing returns what a VM that just came is to be told.
func (s *Services) Standing(now time.Time) []*peerpb.LoadMessage {
	var ms []*peerpb.LoadMessage
	s.each(func(n string, v *service) {
		if ns := v.set.CurrentStates(now); len(ns) > 0 {
			ms = append(ms, encode(n, ns))
		}
	})
	return ms
}

// Hear takes the news of the VM from.
func (s *Services) Hear(now time.Time, from netip.AddrPort, ms []*peerpb.LoadMessage) {
	for _, m := range ms {
		ns := decode(m)
		if v := s.find(m.GetService()); v != nil {
			v.set.ApplyUpdates(now, from, ns)
			continue
		}
		s.keep(now, from, m.GetService(), ns)
	}
}

// keep holds the news of a service that is not known yet. Its ages are then
// counted from now.
func (s *Services) keep(now time.Time, from netip.AddrPort, name string, ns []choice.StateUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.early == nil {
		s.early = map[string][]early{}
	}
	if _, ok := s.early[name]; !ok && len(s.early) >= earlyServices {
		return
	}
	for _, n := range ns {
		if len(s.early[name]) < earlyNews {
			s.early[name] = append(s.early[name], early{news: n, from: from, at: now})
		}
	}
}

// early is news that came before its service.
type early struct {
	news choice.StateUpdate
	from netip.AddrPort
	at   time.Time
}

// hearEarly gives a service the news that came before it. The lock is held.
func (s *Services) hearEarly(now time.Time, name string, v *service) {
	for _, e := range s.early[name] {
		if d := now.Sub(e.at); d < earlyFor {
			e.news.Age += d
			v.set.ApplyUpdates(now, e.from, []choice.StateUpdate{e.news})
		}
	}
	delete(s.early, name)
}

func encode(service string, ns []choice.StateUpdate) *peerpb.LoadMessage {
	m := &peerpb.LoadMessage{Service: service}
	for _, n := range ns {
		a, err := n.Server.MarshalBinary()
		if err != nil {
			continue
		}
		m.News = append(m.News, &peerpb.ServerNews{
			Address:   a,
			State:     peerpb.ServerState(n.State),
			AgeMillis: uint32(min(n.Age.Milliseconds(), maxAge.Milliseconds())),
		})
	}
	return m
}

// maxAge is the greatest age of news.
const maxAge = 24 * time.Hour

func decode(m *peerpb.LoadMessage) []choice.StateUpdate {
	var ns []choice.StateUpdate
	for i, n := range m.GetNews() {
		if i >= newsPerMessage {
			break
		}
		var a netip.AddrPort
		if a.UnmarshalBinary(n.GetAddress()) != nil {
			continue
		}
		ns = append(ns, choice.StateUpdate{
			Server: a,
			State:  choice.State(n.GetState()),
			Age:    min(time.Duration(n.GetAgeMillis())*time.Millisecond, maxAge),
		})
	}
	return ns
}
