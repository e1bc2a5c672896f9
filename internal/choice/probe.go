package choice

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/load"
)

// probeAfter is how long nothing must have been heard of a server that gets no
// work before it is probed.
const probeAfter = 2 * time.Second

// Probe returns a server whose load endpoint is to be asked: one that gets no
// work because it drains or failed, so that nothing else tells of it. Each
// probe uses a unit of the budget of all VMs together.
func (s *Set) Probe(now time.Time) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	if s.Probes == nil || !s.probed || len(s.servers) == 0 {
		return netip.AddrPort{}, false
	}
	o := s.Rand.IntN(len(s.servers))
	for i := range s.servers {
		v := s.servers[(o+i)%len(s.servers)]
		if !s.untold(v) {
			continue
		}
		v.probed = s.now
		return v.address, s.Probes.Take(s.now, v.address)
	}
	return netip.AddrPort{}, false
}

func (s *Set) untold(v *server) bool {
	if !v.usable(nil) || s.now.Sub(v.heard) < probeAfter || s.now.Sub(v.probed) < probeAfter {
		return false
	}
	return v.drains(s.now) || v.start.phase == phaseDoubt
}

// Probed takes the answer to a probe, nil when there was none. It is one
// witness: it ends a drain or a suspension, but only an answer to a request
// ends a cold start.
func (s *Set) Probed(now time.Time, a netip.AddrPort, r *load.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	v := s.find(a)
	if v == nil || r == nil {
		return
	}
	v.heard = s.now
	v.health.until = time.Time{}
	if r.Draining {
		v.drain.hear(s.now)
	} else {
		v.drain = drain{}
	}
	if r.Cold {
		v.start.cold(s.now)
		s.tell(v, StateCold)
	}
}
