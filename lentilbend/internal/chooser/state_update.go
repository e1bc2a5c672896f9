package chooser

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/peerpb"
)

// Bounds of the state updates kept for services that are not in the table yet.
const (
	maxPendingServices = 64
	maxPendingUpdates  = 256 // per service
	pendingTTL         = time.Minute
)

// maxUpdatesPerMessage bounds the state updates read from one message.
const maxUpdatesPerMessage = 1024

// TakeUpdates returns the state updates of all services to send to the other
// VMs now, one message for each service.
func (s *Services) TakeUpdates(now time.Time) []*peerpb.LoadMessage {
	var ms []*peerpb.LoadMessage
	s.each(func(n string, v *service) {
		if updates := v.set.TakeUpdates(now); len(updates) > 0 {
			ms = append(ms, encodeUpdates(n, updates))
		}
	})
	return ms
}

// CurrentStates returns the messages that tell a VM that just joined the
// current states of the backend servers.
func (s *Services) CurrentStates(now time.Time) []*peerpb.LoadMessage {
	var ms []*peerpb.LoadMessage
	s.each(func(n string, v *service) {
		if updates := v.set.CurrentStates(now); len(updates) > 0 {
			ms = append(ms, encodeUpdates(n, updates))
		}
	})
	return ms
}

// ApplyUpdates applies the state updates received from the VM at from. Updates
// for a service that is not known yet are kept for a while.
func (s *Services) ApplyUpdates(now time.Time, from netip.AddrPort, ms []*peerpb.LoadMessage) {
	for _, m := range ms {
		updates := decodeUpdates(m)
		if v := s.find(m.GetService()); v != nil {
			v.set.ApplyUpdates(now, from, updates)
			continue
		}
		s.addPending(now, from, m.GetService(), updates)
	}
}

// addPending keeps the updates of a service that is not known yet. Their ages
// grow by the time that they are kept.
func (s *Services) addPending(now time.Time, from netip.AddrPort, name string, updates []choice.StateUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[string][]pendingUpdate{}
	}
	if _, ok := s.pending[name]; !ok && len(s.pending) >= maxPendingServices {
		return
	}
	for _, u := range updates {
		if len(s.pending[name]) < maxPendingUpdates {
			s.pending[name] = append(s.pending[name], pendingUpdate{update: u, sender: from, receivedAt: now})
		}
	}
}

// pendingUpdate is a state update that was received before its service became
// known.
type pendingUpdate struct {
	update     choice.StateUpdate
	sender     netip.AddrPort
	receivedAt time.Time
}

// applyPending applies the updates that were kept for a service; mu is held.
func (s *Services) applyPending(now time.Time, name string, v *service) {
	for _, e := range s.pending[name] {
		if d := now.Sub(e.receivedAt); d < pendingTTL {
			e.update.Age += d
			v.set.ApplyUpdates(now, e.sender, []choice.StateUpdate{e.update})
		}
	}
	delete(s.pending, name)
}

func encodeUpdates(service string, updates []choice.StateUpdate) *peerpb.LoadMessage {
	m := &peerpb.LoadMessage{Service: service}
	for _, u := range updates {
		a, err := u.Server.MarshalBinary()
		if err != nil {
			continue
		}
		m.News = append(m.News, &peerpb.ServerNews{
			Address:   a,
			State:     peerpb.ServerState(u.State),
			AgeMillis: uint32(min(u.Age.Milliseconds(), maxUpdateAge.Milliseconds())),
		})
	}
	return m
}

// maxUpdateAge caps the age of an update in messages sent and received.
const maxUpdateAge = 24 * time.Hour

func decodeUpdates(m *peerpb.LoadMessage) []choice.StateUpdate {
	var updates []choice.StateUpdate
	for i, u := range m.GetNews() {
		if i >= maxUpdatesPerMessage {
			break
		}
		var a netip.AddrPort
		if a.UnmarshalBinary(u.GetAddress()) != nil {
			continue
		}
		updates = append(updates, choice.StateUpdate{
			Server: a,
			State:  choice.State(u.GetState()),
			Age:    min(time.Duration(u.GetAgeMillis())*time.Millisecond, maxUpdateAge),
		})
	}
	return updates
}
