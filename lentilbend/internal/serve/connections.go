package serve

import (
	"net/netip"
	"sync/atomic"
	"time"

	"lentilbend.example/internal/table"
)

// connections shares out the connections that a backend server accepts over
// the entry VMs. Set the exported fields before use.
type connections struct {
	// Table returns the table in force, or nil.
	Table func() *table.Table
	// VMs returns how many entry VMs use the servers, this one included.
	VMs func(now time.Time) int
	// Held returns how many connections a server accepts that left the table
	// but stays in use; nil where there are none.
	Held func(server netip.AddrPort) (int, bool)

	known atomic.Pointer[serverConnections]
}

// serverConnections holds what each server of one table accepts.
type serverConnections struct {
	table  *table.Table
	accept map[netip.AddrPort]int
}

// allowance returns how many connections to a server this VM may have open. A
// server that stands in several services accepts the least that one states.
// One that left the table gets none, unless it stays in use.
func (c *connections) allowance(server netip.AddrPort) int {
	t := c.Table()
	if t == nil {
		return 0
	}
	k := c.known.Load()
	if k == nil || k.table != t {
		k = newServerConnections(t)
		c.known.Store(k)
	}
	n, ok := k.accept[server]
	if !ok && c.Held != nil {
		n, ok = c.Held(server)
	}
	if !ok {
		return 0
	}
	return max(1, n/max(1, c.VMs(time.Now())))
}

func newServerConnections(t *table.Table) *serverConnections {
	k := &serverConnections{table: t, accept: map[netip.AddrPort]int{}}
	for _, s := range t.Services {
		for _, v := range s.Servers {
			n, ok := k.accept[v.Address]
			if !ok || s.Connections < n {
				k.accept[v.Address] = s.Connections
			}
		}
	}
	return k
}
