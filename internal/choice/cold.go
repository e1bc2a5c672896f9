package choice

import (
	"net/netip"
)

// pickCold picks a cold or suspect server for which the cold allowance has a
// token.
func (s *Set) pickCold(tried []netip.AddrPort) *server {
	n := len(s.servers)
	if n == 0 || s.Cold == nil {
		return nil
	}
	o := s.Rand.IntN(n)
	for i := range n {
		v := s.servers[(o+i)%n]
		if !v.coldStart.needsAllowance() || !v.usable(s.now, tried) || !s.coldEligible(v) {
			continue
		}
		if s.Cold.Take(s.now, v.address) {
			v.coldTaken++
			return v
		}
		v.coldStart.deniedAt = s.now
	}
	return nil
}

// pickTrial picks a server that gets one request at a time as a trial: one whose
// ejection is over without a good answer since, or one whose drain announcement
// is to be checked.
func (s *Set) pickTrial(tried []netip.AddrPort) *server {
	for _, v := range s.servers {
		if v.calls.count > 0 || !v.usable(s.now, tried) || v.coldStart.needsAllowance() || v.health.ejected(s.now) {
			continue
		}
		if v.drain.checkDue(s.now) || v.health.halfOpen() && !v.drain.announced {
			return v
		}
	}
	return nil
}

// coldEligible reports whether a cold or suspect server may get a request if the
// allowance has a token. A suspect server gets one request at a time.
func (s *Set) coldEligible(v *server) bool {
	if v.draining(s.now) || v.health.ejected(s.now) {
		return false
	}
	if v.coldStart.phase == phaseSuspect && v.calls.count > 0 {
		return false
	}
	return s.now.Sub(v.coldStart.deniedAt) >= allowanceRetryDelay
}
