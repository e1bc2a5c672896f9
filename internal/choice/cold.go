package choice

import (
	"net/netip"
)

// pickCold picks a server in cold start or in doubt for which the allowance of
// all entry VMs together has a unit left.
func (s *Set) pickCold(tried []netip.AddrPort) *server {
	n := len(s.servers)
	if n == 0 || s.Cold == nil {
		return nil
	}
	o := s.Rand.IntN(n)
	for i := range n {
		v := s.servers[(o+i)%n]
		if !v.start.bounded() || !v.usable(tried) || !s.mayWarm(v) {
			continue
		}
		if s.Cold.Take(s.now, v.address) {
			v.coldTaken++
			return v
		}
		v.start.asked = s.now
	}
	return nil
}

// pickTrial picks a server whose suspension is over and not yet followed by a
// good answer, or whose word that it drains is to be checked. It gets one
// request at a time.
func (s *Set) pickTrial(tried []netip.AddrPort) *server {
	for _, v := range s.servers {
		if v.calls.count > 0 || !v.usable(tried) || v.start.bounded() || v.health.suspended(s.now) {
			continue
		}
		if v.drain.open(s.now) || v.health.trial() && !v.drain.said {
			return v
		}
	}
	return nil
}

// mayWarm says whether a server that is not warm may get a request now, as far
// as this VM alone can tell.
func (s *Set) mayWarm(v *server) bool {
	if v.drains(s.now) || v.health.suspended(s.now) {
		return false
	}
	if v.start.phase == phaseDoubt && v.calls.count > 0 {
		return false
	}
	return s.now.Sub(v.start.asked) >= coldWait
}
