package chooser

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/table"
)

// Times of backend servers that are missing after the platform was away.
const (
	// awayAfter is how old the newest read of the platform is when it counts as
	// away: more than a wait for changes, a gap and the way of the answer.
	awayAfter = 1500 * time.Millisecond
	// heldFor is how long a server that is missing then stays in use: the
	// platform says that entries which lapsed meanwhile are back in two seconds.
	heldFor = 2 * time.Second
)

// held is a server that the table no longer has.
type held struct {
	table.Server
	until time.Time
	// connections is how many the server accepts.
	connections int
}

// Held returns how many connections a server accepts that is not in the table
// but stays in use; false for one that does not.
func (s *Services) Held(server netip.AddrPort) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := 0, false
	s.each(func(_ string, v *service) {
		for _, h := range v.held {
			if h.Address == server && (!ok || h.connections < n) {
				n, ok = h.connections, true
			}
		}
	})
	return n, ok
}

// sample notes whether the platform is away.
func (s *Services) sample(now time.Time) {
	if s.ReadAge == nil {
		return
	}
	if d, ok := s.ReadAge(); ok && d > awayAfter {
		s.away = now
	}
}

// hold returns the servers of a service that the table no longer has and that
// stay in use for a while, since the platform was away of late. A server that
// said that it leaves, or whose address another one has, does not.
func (s *Services) hold(now time.Time, v *service, t *table.Table, c *table.Service) []held {
	until := s.away.Add(heldFor)
	before := v.servers
	v.servers = c.Servers
	if len(v.held) == 0 && !now.Before(until) {
		return nil
	}
	known := map[netip.AddrPort]bool{}
	for _, o := range t.Services {
		for _, a := range o.Servers {
			known[a.Address] = true
		}
	}
	var hs []held
	for _, h := range v.held {
		if now.Before(h.until) && !known[h.Address] {
			hs = append(hs, h)
		}
	}
	if v.table != t.Revision && now.Before(until) {
		for _, a := range before {
			if !known[a.Address] && !a.Leaving {
				hs = append(hs, held{Server: a, until: until, connections: c.Connections})
			}
		}
	}
	if len(hs) != len(v.held) {
		_ = level.Info(s.Logger).Log("msg", "Servers are missing since the platform was away.", "service", c.Name,
			"kept", len(hs), "entered", len(c.Servers), "for", until.Sub(now), "table", t.Revision)
	}
	return hs
}

// choice returns the server as it is to be chosen. The table may name its data
// centre no more where no other server stands there, which does not put it out.
func (h held) choice(t *table.Table, l list) choice.Server {
	c, ok := t.DataCentre(h.DataCentre)
	v := l.server(h.Server, ok && c.State != table.CentreIn)
	v.ColdFor, v.Missing = 0, true
	return v
}

// due tells whether a held server is to be dropped.
func (v *service) due(now time.Time) bool {
	for _, h := range v.held {
		if !now.Before(h.until) {
			return true
		}
	}
	return false
}
