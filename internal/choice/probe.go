package choice

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
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

// Unheard tells whether nothing was reported of a server for longer than age.
func (s *Set) Unheard(now time.Time, a netip.AddrPort, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	v := s.find(a)
	return v != nil && s.now.Sub(v.reported) > age
}

// Candidates returns at most n servers that a request of a kind would best go
// to and of which nothing was reported for maxAge, so that they can be asked
// just before the choice.
func (s *Set) Candidates(now time.Time, kind string, tried []netip.AddrPort, n int, maxAge time.Duration) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	p, ok := s.Policy.(Informed)
	if !ok || !s.probed || len(s.servers) < 2 {
		return nil
	}
	s.asked = s.kind(kind)
	if s.score(p, tried) == tierNone {
		return nil
	}
	order := s.neighbours()
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.scores[a], s.scores[b]) })
	var as []netip.AddrPort
	for _, i := range order[:min(n, len(order))] {
		v := s.servers[i]
		if math.IsInf(s.scores[i], 1) {
			break
		}
		if s.now.Sub(v.reported) > maxAge && s.now.Sub(v.probed) > maxAge {
			v.probed = s.now
			as = append(as, v.address)
		}
	}
	return as
}

// neighbourhood is how many servers of a service a VM asks before a choice. Each
// connection that a server accepts has its price, and there are enough servers
// among so many that are well and free.
const neighbourhood = 24

// neighbours returns the places of the servers that this VM asks, in random
// order: all of a small service, else those that rendezvous hashing gives it.
func (s *Set) neighbours() []int {
	order := s.Rand.Perm(len(s.servers))
	if len(order) <= neighbourhood {
		return order
	}
	near := slices.Clone(order)
	slices.SortFunc(near, func(a, b int) int {
		return cmp.Compare(weight(s.Self, s.servers[b].address), weight(s.Self, s.servers[a].address))
	})
	near = slices.DeleteFunc(near[:min(2*neighbourhood, len(near))], func(i int) bool { return math.IsInf(s.scores[i], 1) })
	return near[:min(neighbourhood, len(near))]
}

// Probed takes the answer to a probe, nil when there was none. It is one
// witness: it ends a drain or a suspension, but only an answer to a request
// ends a cold start.
func (s *Set) Probed(now time.Time, a netip.AddrPort, r *load.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	v := s.find(a)
	if v == nil {
		return
	}
	if r == nil {
		v.mute = s.now
		return
	}
	v.heard = s.now
	if r.Pace > 0 {
		v.take(s.now, r)
		s.mean.add(float64(r.Running + r.Queued))
		s.paced(r)
	}
	v.health.until = time.Time{}
	if r.Draining {
		v.drain.hear(s.now)
	} else {
		v.drain = drain{}
	}
	if r.Cold {
		s.chill(v, r)
	}
}
