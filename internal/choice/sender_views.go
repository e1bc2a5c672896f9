package choice

import (
	"net/netip"
	"slices"
	"time"
)

// Parameters of the rate of cold servers while Count is set. The VMs of the greater
// part of a partitioned network send at most the rate and sharedSenders times
// sharedBurst requests in a second; those of the smaller part send a quarter of the
// rate and one request. The sum stays within 1.5 times the rate and 8 requests.
const (
	sharedSenders = 4
	sharedBurst   = 1.75
	// viewHoldOff is the time after a change of the VMs in which only those send
	// that may send before and after it. It covers the time in which VMs learn of
	// the change.
	viewHoldOff = 2 * time.Second
)

// vmViews are the VMs that this VM knows now and those that it knew before.
type vmViews struct {
	current []netip.AddrPort
	earlier []earlierView
}

// earlierView is a former list of VMs that counts until the given time.
type earlierView struct {
	vms   []netip.AddrPort
	until time.Time
}

// Observe records the known VMs, this one included. It must be called several times a
// second while Count is set.
func (s *PermittedSenders) Observe(now time.Time, vms []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &s.views
	w.earlier = slices.DeleteFunc(w.earlier, func(e earlierView) bool { return !now.Before(e.until) })
	if slices.Equal(w.current, vms) {
		return
	}
	w.earlier = append(w.earlier, earlierView{vms: w.current, until: now.Add(viewHoldOff)})
	w.current = slices.Clone(vms)
}

// grantByViews returns what this VM may send to a server by all lists of VMs that count.
func (s *PermittedSenders) grantByViews(now time.Time, server netip.AddrPort) (senderGrant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &s.views
	n, burst := min(sharedSenders, len(w.current)), sharedBurst
	rate := s.Rate(server) / float64(max(1, n))
	if 2*len(w.current) <= s.Count() {
		n, burst, rate = 1, 1, s.Rate(server)/sharedSenders
	}
	permitted := func(vms []netip.AddrPort) bool {
		return slices.Contains(vms, s.Self) && isAmongGreatest(s.Self, vms, server, n)
	}
	for _, e := range w.earlier {
		if now.Before(e.until) && !permitted(e.vms) {
			return senderGrant{}, false
		}
	}
	return senderGrant{rate: rate, burst: burst}, permitted(w.current)
}
