package fair

import (
	"slices"
	"time"
)

// costWeight is the weight of the latest request in a workspace's cost.
const costWeight = 0.05

// share is what one workspace has had of the service. A workspace's tag grows
// by the cost of its requests over its weight (start-time fair queueing).
type share struct {
	name    string
	weight  float64
	tag     float64
	cost    float64 // seconds that a request of it runs
	queue   []*Ticket
	running int

	arrived  uint64
	admitted uint64
	refused  uint64
}

// share returns the state of a workspace, whose weight may have changed.
func (g *Gate) share(name string, weight float64) *share {
	if g.shares == nil {
		g.shares = map[string]*share{}
	}
	s := g.shares[name]
	if s == nil {
		s = &share{name: name, cost: max(g.limit.base.Seconds(), costLeast)}
		g.shares[name] = s
	}
	s.weight = max(weight, weightLeast)
	return s
}

// Least values that keep tags finite and growing.
const (
	costLeast   = 1e-4
	weightLeast = 1e-6
)

// creditRequests is how many requests a workspace that had less than its share
// may be ahead of the others.
const creditRequests = 16

// arrive lets a workspace that had nothing waiting start level with the others,
// or a little ahead of them when it had less than its share.
func (s *share) arrive(virtual float64) {
	s.arrived++
	if len(s.queue) == 0 {
		s.tag = max(s.tag, virtual-creditRequests*s.cost/s.weight)
	}
}

func (s *share) start() float64 {
	return s.tag
}

func (s *share) charge() {
	s.tag += s.cost / s.weight
}

// spend takes how long a request of the workspace ran.
func (s *share) spend(d time.Duration) {
	s.cost = max(s.cost+costWeight*(d.Seconds()-s.cost), costLeast)
}

func (s *share) pop() *Ticket {
	t := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	return t
}

// over is what the workspace will have had by its weight when all that waits
// has run.
func (s *share) over() float64 {
	return s.tag + float64(len(s.queue))*s.cost/s.weight
}

// queue lets t wait. When too many wait, the workspace that is most over its
// share loses its latest request; false says that this is t.
func (g *Gate) queue(t *Ticket) bool {
	t.share.queue = append(t.share.queue, t)
	g.waiting++
	if g.waiting <= max(waitingLeast, waitingFactor*g.limit.whole()) {
		return true
	}
	s := g.most()
	last := len(s.queue) - 1
	v := s.queue[last]
	s.queue[last] = nil
	s.queue = s.queue[:last]
	g.waiting--
	if v == t {
		return false
	}
	g.refuse(v)
	return true
}

// remove takes back a request that waits.
func (g *Gate) remove(t *Ticket) {
	i := slices.Index(t.share.queue, t)
	if i < 0 {
		return
	}
	t.share.queue = slices.Delete(t.share.queue, i, i+1)
	g.waiting--
}

// least returns the waiting workspace that had least by its weight.
func (g *Gate) least() *share {
	var l *share
	for _, s := range g.shares {
		if len(s.queue) == 0 {
			continue
		}
		if l == nil || s.tag < l.tag || s.tag == l.tag && s.name < l.name {
			l = s
		}
	}
	return l
}

// most returns the waiting workspace that is most over its share.
func (g *Gate) most() *share {
	var m *share
	for _, s := range g.shares {
		if len(s.queue) == 0 {
			continue
		}
		if m == nil || s.over() > m.over() || s.over() == m.over() && s.name < m.name {
			m = s
		}
	}
	return m
}

// drop forgets a workspace that has nothing here and no debt, so that the
// workspaces kept are bounded by those of late.
func (g *Gate) drop(s *share) {
	if len(s.queue) == 0 && s.running == 0 && s.tag <= g.virtual && len(g.shares) > sharesKept {
		delete(g.shares, s.name)
	}
}

// sharesKept is how many idle workspaces are remembered for the dump.
const sharesKept = 64
