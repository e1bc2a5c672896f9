package choice

import "net/netip"

// pickRandom picks any usable server.
func (s *Set) pickRandom(tried []netip.AddrPort) *server {
	var v *server
	n := 0
	for _, o := range s.servers {
		if !o.usable(tried) {
			continue
		}
		n++
		if s.Rand.IntN(n) == 0 {
			v = o
		}
	}
	return v
}

// pickInTurn picks the usable server after the last one.
func (s *Set) pickInTurn(tried []netip.AddrPort) *server {
	for range s.servers {
		s.next = (s.next + 1) % len(s.servers)
		if v := s.servers[s.next]; v.usable(tried) {
			return v
		}
	}
	return nil
}

// pickLeastOfTwo picks of two usable servers the one with fewer calls.
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
