package roster

import (
	"net/netip"
	"slices"
	"time"
)

// Times and sizes of the visits.
const (
	// visitEvery is the time between visits: parts of a fleet that lost each
	// other are one again after about two.
	visitEvery = time.Second
	// visitAfter is how long a visit's stream may take to open before the report
	// is sent on it.
	visitAfter = visitEvery / 2
	// visitsEvery is how many VMs that are no coordinators make one visit in
	// visitEvery, so that seeds of a large fleet are not called by all.
	visitsEvery = 16
)

// visit is a report to a VM that this one does not report to otherwise. Visits
// join parts of a fleet that lost each other.
type visit struct {
	to    netip.AddrPort
	began time.Time
	// made says that the report went out.
	made bool
	// turn counts the visits.
	turn int
}

// strangers returns the VMs beside the coordinators to report to now: all seeds
// while nobody was heard, else the one visited, once.
func (r *Roster) strangers(now time.Time) []netip.AddrPort {
	if len(r.vms) == 0 {
		return slices.DeleteFunc(slices.Clone(r.Seeds), func(a netip.AddrPort) bool { return a == r.Self.Address })
	}
	v := &r.visit
	if v.made || !v.to.IsValid() || now.Sub(v.began) < visitAfter || slices.Contains(r.coordinators, v.to) {
		return nil
	}
	v.made = true
	return []netip.AddrPort{v.to}
}

// plan begins the next visit when it is due: to a silent VM and to a seed in
// turn, or to the one that there is.
func (r *Roster) plan(now time.Time) {
	v := &r.visit
	every := visitEvery
	if !r.Coordinates() {
		every *= time.Duration(max(1, len(r.vms)/visitsEvery))
	}
	if len(r.vms) == 0 || now.Sub(v.began) < every {
		return
	}
	v.began, v.made, v.to = now, false, netip.AddrPort{}
	ways := [][]netip.AddrPort{r.lost(now), r.Seeds}
	for i := range ways {
		as := slices.DeleteFunc(slices.Clone(ways[(v.turn+i)%len(ways)]), func(a netip.AddrPort) bool {
			return a == r.Self.Address || slices.Contains(r.coordinators, a)
		})
		if len(as) > 0 {
			v.to = as[v.turn/len(ways)%len(as)]
			break
		}
	}
	v.turn++
}

// visiting returns the VM to keep a stream with for a visit.
func (r *Roster) visiting(now time.Time) (netip.AddrPort, bool) {
	v := &r.visit
	return v.to, v.to.IsValid() && now.Sub(v.began) < visitEvery
}

// lost returns the silent VMs that would be coordinators if they were heard.
func (r *Roster) lost(now time.Time) []netip.AddrPort {
	var vs []*vm
	for _, v := range r.vms {
		if v.ended.IsZero() && !r.live(now, v) {
			vs = append(vs, v)
		}
	}
	var as []netip.AddrPort
	for _, v := range best(vs) {
		as = append(as, v.id.Address)
	}
	return as
}

// Peers returns the VMs to keep streams with: the neighbours, the one that is
// visited, and the seeds while no VM was heard.
func (r *Roster) Peers(now time.Time) []netip.AddrPort {
	as := r.Neighbours(now)
	if a, ok := r.visiting(now); ok {
		as = append(as, a)
	}
	if !r.Joined() {
		as = append(as, r.Seeds...)
	}
	slices.SortFunc(as, netip.AddrPort.Compare)
	return slices.DeleteFunc(slices.Compact(as), func(a netip.AddrPort) bool { return a == r.Self.Address })
}
