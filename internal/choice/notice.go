package choice

import (
	"net/http"
	"net/netip"
	"time"

	"lentilbend.example/internal/dialect"
)

// Notice is what a server says of itself in the header of an answer. It applies to
// the run of the server that answered, not to a later one at its address.
type Notice struct {
	// Leaving means that the server will end soon, and wants no more requests.
	Leaving bool
	// Pause is how long the server wants no requests from this VM; 0 for none.
	Pause time.Duration
}

// ParseNotice returns the notice in the header of an answer. An answer with status 421
// comes from another server at the address and has none.
func ParseNotice(d *dialect.Dialect, status int, h http.Header) Notice {
	var n Notice
	if status == http.StatusMisdirectedRequest {
		return n
	}
	n.Leaving = d.IsLeaving != nil && d.IsLeaving(h)
	if status == http.StatusServiceUnavailable {
		n.Pause = dialect.ParseRetryAfter(h)
	}
	return n
}

// maxPause bounds the pause that a server may ask for.
const maxPause = time.Hour

// notices holds the notices of a server that are in force.
type notices struct {
	leaving     bool
	pausedUntil time.Time
}

// add adds a notice received now. A later pause never shortens an earlier one.
func (n *notices) add(now time.Time, m Notice) {
	n.leaving = n.leaving || m.Leaving
	if u := now.Add(min(m.Pause, maxPause)); m.Pause > 0 && u.After(n.pausedUntil) {
		n.pausedUntil = u
	}
}

// inForce reports whether the server wants no requests, probes included.
func (n *notices) inForce(now time.Time) bool {
	return n.leaving || now.Before(n.pausedUntil)
}

// Record records a notice that came with the answer to the call.
func (c *call) Record(now time.Time, n Notice) {
	s := c.set
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	c.server.notices.add(s.now, n)
}

// RecordProbeNotice records a notice that came with the answer to a probe. name is
// the name that the server gave in it, empty if none. The notice is ignored if
// another run of the server is at the address by now.
func (s *Set) RecordProbeNotice(now time.Time, a netip.AddrPort, name string, n Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	if v := s.find(a); v != nil && (name == "" || name == v.name) {
		v.notices.add(s.now, n)
	}
}

// absentServer is a server with a notice that the table no longer contains.
type absentServer struct {
	*server
	since time.Time
}

// Limits of the absent servers that are remembered.
const (
	absentTime       = time.Minute
	maxAbsentServers = 64
)

// rememberAbsent remembers the servers of old that are not in current and whose
// notices are in force, since the table may contain them again.
func (s *Set) rememberAbsent(old map[netip.AddrPort]*server, current []*server) {
	for _, v := range current {
		if old[v.address] == v {
			delete(old, v.address)
		}
	}
	var kept []absentServer
	for _, a := range s.absent {
		if s.now.Sub(a.since) < absentTime && s.find(a.address) != a.server {
			kept = append(kept, a)
		}
	}
	for _, v := range old {
		if v.notices.inForce(s.now) && len(kept) < maxAbsentServers {
			kept = append(kept, absentServer{server: v, since: s.now})
		}
	}
	s.absent = kept
}

// findAbsent returns the remembered server that is the same run as v, or nil.
func (s *Set) findAbsent(v Server) *server {
	for _, a := range s.absent {
		if a.address == v.Address && a.isSameRun(v) {
			return a.server
		}
	}
	return nil
}

// pauseLeft returns how long the shortest pause lasts of the servers that could
// otherwise get a request; 0 if there is none.
func (s *Set) pauseLeft(tried []netip.AddrPort) time.Duration {
	least := time.Duration(0)
	for _, v := range s.servers {
		d := v.notices.pausedUntil.Sub(s.now)
		if d > 0 && !v.notices.leaving && v.inService(tried) && (least == 0 || d < least) {
			least = d
		}
	}
	return least
}
