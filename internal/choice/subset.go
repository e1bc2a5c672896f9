package choice

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Parameters of the subset of servers that a VM uses while it probes in turn.
const (
	// subsetSize is the number of servers in a subset that has not grown. If a
	// quarter of all servers is slow, all of 8 hardly ever are. In simulations, 6
	// served about 0.005 of the requests less in time.
	subsetSize = 8
	// subsetGrowRatio is the expected time at the best server of the subset,
	// relative to that at the best other one, from which the subset grows.
	subsetGrowRatio = 1.25
	subsetGrowStep  = 2
	// subsetShrinkInterval is the time after which a grown subset loses one server.
	subsetShrinkInterval = 2 * time.Second
)

// subset is the part of a service's servers that this VM uses.
type subset struct {
	order     []int // indexes of the servers, the preferred ones first
	base      int   // number of servers without growth
	extra     int   // number of servers added by growth
	changedAt time.Time
	grown     uint64
}

// update selects the servers among which self chooses, and the order in which others
// are added. One half are those with the greatest rendezvous weights for self, of its
// own data centre if that has enough of them: answers from others cost more. The
// other half are those for which self has one of the greatest weights of all VMs, so
// that each server is in the subsets of equally many VMs at least. A server or VM that
// joins or leaves changes few subsets, by one server each.
func (b *subset) update(self netip.AddrPort, dataCentre string, vms []netip.AddrPort, servers []*server) {
	own, near := make([]uint64, len(servers)), 0
	b.order = make([]int, len(servers))
	for i, v := range servers {
		own[i] = rendezvousWeight(self, v.address)
		b.order[i] = i
		if v.dataCentre != nil && v.dataCentre.name == dataCentre {
			near++
		}
	}
	slices.SortFunc(b.order, func(x, y int) int { return cmp.Compare(own[y], own[x]) })
	b.base = subsetSize
	if len(servers) <= 2*subsetSize {
		b.base = len(servers)
		return
	}
	if !slices.Contains(vms, self) {
		return
	}
	if near >= subsetSize {
		isFar := func(i int) bool { return servers[i].dataCentre.name != dataCentre }
		slices.SortStableFunc(b.order, func(x, y int) int { return compareBool(isFar(x), isFar(y)) })
	}
	perServer := (subsetSize/2*len(vms) + len(servers) - 1) / len(servers)
	first, rest := b.order[:subsetSize/2:subsetSize/2], []int(nil)
	for _, i := range b.order[subsetSize/2:] {
		if isAmongGreatest(self, vms, servers[i].address, perServer) {
			first = append(first, i)
		} else {
			rest = append(rest, i)
		}
	}
	b.order = append(first, rest...)
	b.base = min(max(subsetSize, len(first)), len(servers))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// size returns the number of servers in the subset.
func (b *subset) size() int {
	return min(b.base+b.extra, len(b.order))
}

// limitToSubset sets the scores of the servers outside the subset to infinite. The
// subset consists of the first servers in its order that have a score, so that others
// take the place of servers that are out of service, cold or ejected. It grows if a
// server outside is expected to answer sooner, which is the case if all its servers are
// busy or slow.
func (s *Set) limitToSubset() {
	b := &s.subset
	in, out := s.splitBySubset()
	switch {
	case in > subsetGrowRatio*out:
		b.extra = min(b.extra+subsetGrowStep, max(0, len(b.order)-b.base))
		b.changedAt = s.now
		b.grown++
	case b.extra > 0 && s.now.Sub(b.changedAt) > subsetShrinkInterval:
		b.extra--
		b.changedAt = s.now
	}
	n := b.size()
	for _, i := range b.order {
		if n > 0 && !math.IsInf(s.scores[i], 1) {
			n--
		} else {
			s.scores[i] = math.Inf(1)
		}
	}
}

// splitBySubset returns the least score within the subset and that outside it.
func (s *Set) splitBySubset() (in, out float64) {
	in, out = math.Inf(1), math.Inf(1)
	n := s.subset.size()
	for _, i := range s.subset.order {
		c := s.scores[i]
		switch {
		case math.IsInf(c, 1):
		case n > 0:
			n--
			in = min(in, c)
		default:
			out = min(out, c)
		}
	}
	return in, out
}
