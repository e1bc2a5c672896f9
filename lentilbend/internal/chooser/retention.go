package chooser

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/table"
)

// Retention of backend servers that the table lacks after a platform outage.
const (
	// platformOutageAge is the age of the newest read beyond which the platform
	// counts as unreachable. A VM that hears late of the reads of its peers has read
	// the platform itself by then: that takes up to 1.25 s until it begins, a random
	// delay of 0.3 s and the timeout of a read. Entries expire later, after three
	// heartbeat intervals.
	platformOutageAge = 2200 * time.Millisecond
	// RetainTime is how long a missing server stays in use after an outage. The
	// platform promises that entries which expired during an outage are
	// restored within two seconds.
	RetainTime = 2 * time.Second
)

// retainedServer is a server that the table no longer contains and that stays
// in use until a given time.
type retainedServer struct {
	table.Server
	until time.Time
	// connections is the most connections that the server accepts.
	connections int
}

// RetainedConnectionLimit returns the most connections that a retained server
// accepts, or false if the server is not retained. If several services retain
// it, the lowest limit counts.
func (s *Services) RetainedConnectionLimit(server netip.AddrPort) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := 0, false
	s.each(func(_ string, v *service) {
		for _, r := range v.retained {
			if r.Address == server && (!ok || r.connections < n) {
				n, ok = r.connections, true
			}
		}
	})
	return n, ok
}

// checkPlatform records the time if the platform is unreachable.
func (s *Services) checkPlatform(now time.Time) {
	if s.ReadAge == nil {
		return
	}
	if d, ok := s.ReadAge(); ok && d > platformOutageAge {
		s.lastOutage = now
	}
}

// retainServers returns the servers of a service that are missing from the
// table t but stay in use for a while, since the platform was recently
// unreachable. A server that announced that it leaves is not retained, nor one
// whose address the table gives to any service. It also stores the servers of c
// for the next call.
func (s *Services) retainServers(now time.Time, v *service, t *table.Table, c *table.Service) []retainedServer {
	until := s.lastOutage.Add(RetainTime)
	previous := v.servers
	v.servers = c.Servers
	if len(v.retained) == 0 && !now.Before(until) {
		return nil
	}
	known := map[netip.AddrPort]bool{}
	for _, o := range t.Services {
		for _, a := range o.Servers {
			known[a.Address] = true
		}
	}
	var retained []retainedServer
	for _, r := range v.retained {
		if now.Before(r.until) && !known[r.Address] {
			retained = append(retained, r)
		}
	}
	if v.table != t && now.Before(until) {
		for _, a := range previous {
			if !known[a.Address] && !a.Leaving {
				retained = append(retained, retainedServer{Server: a, until: until, connections: c.Connections})
			}
		}
	}
	if len(retained) != len(v.retained) {
		_ = level.Info(s.Logger).Log("msg", "Number of servers retained after a platform outage changed.", "service", c.Name,
			"kept", len(retained), "entered", len(c.Servers), "for", until.Sub(now), "table", t.Revision)
	}
	return retained
}

// choiceServer returns the server for the choice set, marked as missing and
// without a stated cold start. A data centre that the table no longer names does
// not count as out, since the table may omit a data centre without servers.
func (r retainedServer) choiceServer(t *table.Table, l vmList) choice.Server {
	c, ok := t.DataCentre(r.DataCentre)
	v := l.server(r.Server, ok && c.State != table.CentreIn)
	v.ColdFor, v.Missing = 0, true
	return v
}

// retentionExpired reports whether the retention of a server has ended.
func (v *service) retentionExpired(now time.Time) bool {
	for _, r := range v.retained {
		if !now.Before(r.until) {
			return true
		}
	}
	return false
}
