package choice

import "net/netip"

// pickRandom picks a random usable server.
func (s *Set) pickRandom(tried []netip.AddrPort) *server {
	var v *server
	n := 0
	for _, o := range s.servers {
		if !o.usable(s.now, tried) {
			continue
		}
		n++
		if s.Rand.IntN(n) == 0 {
			v = o
		}
	}
	return v
}

// pickRoundRobin picks the next usable server after the last one picked.
func (s *Set) pickRoundRobin(tried []netip.AddrPort) *server {
	for range s.servers {
		s.lastPicked = (s.lastPicked + 1) % len(s.servers)
		if v := s.servers[s.lastPicked]; v.usable(s.now, tried) {
			return v
		}
	}
	return nil
}

// pickLeastOfTwo picks the one of two random usable servers that has fewer
// requests of this VM in flight.
func (s *Set) pickLeastOfTwo(tried []netip.AddrPort) *server {
	a := s.pickRandom(tried)
	if a == nil {
		return nil
	}
	b := s.pickRandom(append(tried[:len(tried):len(tried)], a.address))
	if b == nil || a.calls.count <= b.calls.count {
		return a
	}
	return b
}
