package choice

import "net/netip"

// pickLeastBad picks the suspect server with the least failure score, for a request
// that no other server may get. Servers that sent a few invalid answers, or reset
// connections because they were full, are suspect but not down. Servers that did not
// accept the last connection are left out, and so are all where servers do not state
// when they are cold: a suspect server may then be in cold start.
func (s *Set) pickLeastBad(tried []netip.AddrPort) *server {
	if !s.coldStated {
		return nil
	}
	var best *server
	n := 0
	for _, v := range s.servers {
		if v.coldStart.phase != phaseSuspect || !v.usable(s.now, tried) || v.draining(s.now) || !v.acceptsConns() {
			continue
		}
		c := 0.0
		if best != nil {
			c = v.health.score(s.now) - best.health.score(s.now)
		}
		switch {
		case best == nil || c < 0:
			best, n = v, 1
		case c == 0:
			if n++; s.Rand.IntN(n) == 0 {
				best = v
			}
		}
	}
	if best != nil {
		s.leastBad++
	}
	return best
}

// acceptsConns reports whether the server did not refuse the last connection.
func (s *server) acceptsConns() bool {
	return s.noConnAt.IsZero() || s.noConnAt.Before(s.lastContact)
}
