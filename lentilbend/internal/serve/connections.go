package serve

import (
	"net/netip"
	"sync/atomic"
	"time"

	"lentilbend.example/internal/table"
)

// connectionLimits divides the connections that each backend server accepts
// equally among the entry VMs. Set the exported fields before use.
type connectionLimits struct {
	// Table returns the table in force, or nil.
	Table func() *table.Table
	// VMCount returns the number of entry VMs that use the servers, this one
	// included.
	VMCount func(now time.Time) int
	// Retained returns how many connections a retained server accepts, that is
	// one that is no longer in the table but stays in use; false for other
	// servers. It may be nil.
	Retained func(server netip.AddrPort) (int, bool)

	// cached holds the limits of the table last used.
	cached atomic.Pointer[tableConnectionLimits]
}

// tableConnectionLimits holds how many connections each server of one table
// accepts.
type tableConnectionLimits struct {
	table  *table.Table
	limits map[netip.AddrPort]int
}

// limit returns how many connections to a server this VM may have open, at least
// one for a known server. For a server of several services the lowest of their
// limits applies. An unknown server gets 0.
func (c *connectionLimits) limit(server netip.AddrPort) int {
	t := c.Table()
	if t == nil {
		return 0
	}
	k := c.cached.Load()
	if k == nil || k.table != t {
		k = newTableConnectionLimits(t)
		c.cached.Store(k)
	}
	n, ok := k.limits[server]
	if !ok && c.Retained != nil {
		n, ok = c.Retained(server)
	}
	if !ok {
		return 0
	}
	return max(1, n/max(1, c.VMCount(time.Now())))
}

func newTableConnectionLimits(t *table.Table) *tableConnectionLimits {
	k := &tableConnectionLimits{table: t, limits: map[netip.AddrPort]int{}}
	for _, s := range t.Services {
		for _, v := range s.Servers {
			n, ok := k.limits[v.Address]
			if !ok || s.Connections < n {
				k.limits[v.Address] = s.Connections
			}
		}
	}
	return k
}
