package roster

import (
	"math"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// What a coordinator keeps back of a limit.
const (
	// burstGranted is the part of a burst that a coordinator grants: one more may do
	// so unseen when the fleet is cut.
	burstGranted = 0.4
	// toleranceGranted is the part of the tolerance that a coordinator grants, for the
	// same reason.
	toleranceGranted = 0.4
	// overageKept is the part of the limits that is left unused for reports that
	// are late.
	overageKept = 0.1
	// minority is the part of the VMs from which on the silent ones may be the
	// larger side of a cut.
	minority = 0.45
	// unseenGrants is for how many seconds a rise in demand passes before the
	// coordinators know it, about.
	unseenGrants = 1.0
)

// total is what all VMs did of one workspace, as a coordinator knows it.
type total struct {
	level  float64
	filled time.Time
	// demand is in requests a second.
	demand float64
	wanted float64
	marked time.Time
}

// report takes the counts of a VM that has been up for uptime.
func (l *Limits) report(now time.Time, from member.ID, uptime time.Duration, us []*peerpb.WorkspaceUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.seen[from]
	if !known {
		s = map[uint64]counts{}
		if l.seen != nil {
			l.seen[from] = s
		}
	}
	for _, u := range us {
		o := s[u.GetWorkspace()]
		n := counts{wanted: max(o.wanted, u.GetWanted()), granted: max(o.granted, u.GetGranted())}
		s[u.GetWorkspace()] = n
		switch {
		case known:
			l.add(now, u.GetWorkspace(), float64(n.wanted-o.wanted), float64(n.granted-o.granted))
		case uptime < newFor:
			l.addFirst(now, u.GetWorkspace(), n, uptime)
		}
		// Else what the VM did before lies in the past.
	}
}

// addFirst counts what a process that began of late did before its first report
// here. What it wanted came over its uptime, and its share of the limit gathered
// meanwhile, also before this VM became a coordinator.
func (l *Limits) addFirst(now time.Time, workspace uint64, c counts, uptime time.Duration) {
	part := min(1, reportEvery.Seconds()/max(reportEvery, uptime).Seconds())
	l.add(now, workspace, float64(c.wanted)*part, float64(c.granted))
	n, _ := l.Count()
	if t := l.totals[workspace]; t != nil {
		t.level += max(0, uptime-now.Sub(l.since)).Seconds() * l.limits[workspace].Rate / float64(max(1, n))
	}
}

// add counts requests of a workspace.
func (l *Limits) add(now time.Time, workspace uint64, wanted, granted float64) {
	m, ok := l.limits[workspace]
	if !ok || m.Rate <= 0 {
		return
	}
	t := l.totals[workspace]
	if t == nil {
		// What others granted just before this VM became a coordinator counts
		// too, so that a bucket starts empty then.
		t = &total{filled: l.since, marked: now, level: -l.debt * m.Rate}
		l.totals[workspace] = t
	}
	t.refill(now, m, l)
	t.level -= granted
	t.wanted += wanted
}

// coordinate forgets what this VM knew when it was last a coordinator.
func (l *Limits) coordinate(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since, l.debt = now, unseenGrants
	clear(l.totals)
	clear(l.seen)
}

// refill adds what the limit, scaled, gave since the last time.
func (t *total) refill(now time.Time, m Limit, l *Limits) {
	most := (m.Burst*burstGranted + l.Tolerance*toleranceGranted) * min(1, l.scale)
	t.level = min(most, t.level+now.Sub(t.filled).Seconds()*m.Rate*l.scale)
	t.filled = now
}

// measure brings the demand up to date.
func (t *total) measure(now time.Time) {
	d := now.Sub(t.marked)
	if d < reportEvery {
		return
	}
	x := t.wanted / d.Seconds()
	t.demand += demandWeight * (x - t.demand)
	// A rise that is no chance counts at once.
	sure := (t.wanted - rareDeviations*math.Sqrt(t.wanted)) / d.Seconds()
	t.demand = max(t.demand, sure)
	t.wanted, t.marked = 0, now
}

// grants returns the workspaces of which not everything may pass. Silent VMs
// are taken to use an equal share, as far as the overage does not pay for it.
func (l *Limits) grants(now time.Time, reporting, silent int) []*peerpb.WorkspaceGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scale = l.factor(reporting, silent)
	var gs []*peerpb.WorkspaceGrant
	for w, t := range l.totals {
		m := l.limits[w]
		if m.Rate <= 0 {
			delete(l.totals, w)
			continue
		}
		t.refill(now, m, l)
		t.measure(now)
		may := max(0, m.Rate*l.scale+t.level/settleIn.Seconds())
		if t.demand <= may {
			continue
		}
		gs = append(gs, &peerpb.WorkspaceGrant{Workspace: w, Part: uint32(whole * may / t.demand)})
	}
	return gs
}

// factor returns by how much the limits are to be scaled while some VMs are
// silent: those may live on, cut off, with an equal share each. The smaller side
// of a cut takes no more than its own shares.
func (l *Limits) factor(reporting, silent int) float64 {
	kept := float64(silent) / float64(max(1, reporting+silent))
	if kept >= minority {
		return 1 - kept
	}
	return min(1, 1+l.Overage-overageKept-kept)
}
