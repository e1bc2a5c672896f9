package choice

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/load"
)

// probeInterval is the least time between two probes of a server without
// traffic, and between its last contact and a probe.
const probeInterval = 2 * time.Second

// NextProbe returns a server whose load endpoint is to be probed: one that gets
// no requests because it is draining or suspect, so that nothing else shows its
// state. Each probe takes a token of the Probes allowance.
func (s *Set) NextProbe(now time.Time) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	if s.Probes == nil || !s.probeable || len(s.servers) == 0 {
		return netip.AddrPort{}, false
	}
	o := s.Rand.IntN(len(s.servers))
	for i := range s.servers {
		v := s.servers[(o+i)%len(s.servers)]
		if !s.needsProbe(v) {
			continue
		}
		v.probedAt = s.now
		return v.address, s.Probes.Take(s.now, v.address)
	}
	return netip.AddrPort{}, false
}

func (s *Set) needsProbe(v *server) bool {
	if !v.usable(s.now, nil) || s.now.Sub(v.lastContact) < probeInterval || s.now.Sub(v.probedAt) < probeInterval {
		return false
	}
	return v.draining(s.now) || v.coldStart.phase == phaseSuspect
}

// ReportOlderThan reports whether the last load report of a server is older than
// age or missing. It returns false for an unknown server and for one that wants no
// requests.
func (s *Set) ReportOlderThan(now time.Time, a netip.AddrPort, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	v := s.find(a)
	return v != nil && s.now.Sub(v.reportedAt) > age && !v.notices.inForce(s.now)
}

// ProbeCandidates returns those of the n best servers for a request of a kind
// that have neither reported their load nor been probed for maxAge, so that they
// can be probed just before the choice.
func (s *Set) ProbeCandidates(now time.Time, kind string, tried []netip.AddrPort, n int, maxAge time.Duration) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	p, ok := s.Policy.(Informed)
	if !ok || !s.probeable || len(s.servers) < 2 {
		return nil
	}
	s.kind = s.kindStats(kind)
	if s.scoreServers(p, tried) == tierNone {
		return nil
	}
	order := s.probeSubset()
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.scores[a], s.scores[b]) })
	var as []netip.AddrPort
	for _, i := range order[:min(n, len(order))] {
		v := s.servers[i]
		if math.IsInf(s.scores[i], 1) {
			break
		}
		if s.now.Sub(v.reportedAt) > maxAge && s.now.Sub(v.probedAt) > maxAge {
			v.probedAt = s.now
			as = append(as, v.address)
		}
	}
	return as
}

// probeSubsetSize bounds the servers of a service that one VM probes before a
// choice. It limits the connections that each server has to accept; a subset of
// this size has enough good servers with free slots.
const probeSubsetSize = 24

// probeSubset returns the indexes of the servers that this VM probes before a
// choice: all of a small service, in random order, else those of the best tier
// among the servers with the greatest rendezvous weights.
func (s *Set) probeSubset() []int {
	order := s.Rand.Perm(len(s.servers))
	if len(order) <= probeSubsetSize {
		return order
	}
	subset := slices.Clone(order)
	slices.SortFunc(subset, func(a, b int) int {
		return cmp.Compare(rendezvousWeight(s.Self, s.servers[b].address), rendezvousWeight(s.Self, s.servers[a].address))
	})
	subset = slices.DeleteFunc(subset[:min(2*probeSubsetSize, len(subset))], func(i int) bool { return math.IsInf(s.scores[i], 1) })
	return subset[:min(probeSubsetSize, len(subset))]
}

// RecordProbe records the answer to a probe, nil when there was none. An answer
// ends an ejection, and a drain unless it announces one. It is weaker evidence
// than an answer to a request, so it does not end a cold or suspect phase. That
// ends with an answer to a request or at the stated end of the cold start.
func (s *Set) RecordProbe(now time.Time, a netip.AddrPort, r *load.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	s.probes++
	v := s.find(a)
	if v == nil {
		return
	}
	if r == nil {
		v.probeFailedAt = s.now
		return
	}
	v.lastContact = s.now
	if r.Pace > 0 {
		v.storeReport(s.now, r)
		s.meanRequests.add(float64(r.Running + r.Queued))
		s.learnPace(r)
	}
	v.health.ejectedUntil = time.Time{}
	if r.Draining {
		v.drain.addAnnouncement(s.now)
	} else {
		v.drain = drain{}
	}
	if r.Cold {
		s.applyCold(v, r)
	}
}
