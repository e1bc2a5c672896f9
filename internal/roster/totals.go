package roster

import (
	"math"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// What a coordinator grants of a limit, and what it holds back.
const (
	// grantedBurstRatio is the fraction of a burst that a coordinator grants: a
	// coordinator on the other side of a network partition may grant as much
	// unnoticed.
	grantedBurstRatio = 0.4
	// grantedToleranceRatio is the fraction of the tolerance that a coordinator
	// grants, for the same reason.
	grantedToleranceRatio = 0.4
	// lateReportReserve is the fraction of a limit that is held back from the
	// overage to make up for late reports.
	lateReportReserve = 0.1
	// largeSilentRatio is the fraction of silent VMs from which on they may be
	// the larger side of a network partition.
	largeSilentRatio = 0.45
	// demandLagSeconds is about how long a rise in demand is granted before the
	// coordinators know of it.
	demandLagSeconds = 1.0
)

// total is what all VMs used of a workspace's limit, as a coordinator knows it.
type total struct {
	// level is the tokens in the bucket, below 0 when too many were granted.
	level    float64
	refilled time.Time
	// demand is the EWMA of the requests per second.
	demand float64
	// wanted is the number of requests since measured, when demand was last
	// updated.
	wanted   float64
	measured time.Time
}

// receiveReport adds what the counts of a VM rose by since its last report;
// uptime is that of the VM's process. It returns false if the report lists only
// changes and no earlier counts of the process are known.
func (l *Limits) receiveReport(now time.Time, from member.ID, uptime time.Duration, q *peerpb.FleetReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.reported[from]
	if !known {
		if q.GetBase() != 0 {
			return false
		}
		s = map[uint64]counts{}
		if l.reported != nil {
			l.reported[from] = s
		}
	}
	for _, u := range q.GetUses() {
		o := s[u.GetWorkspace()]
		n := counts{wanted: max(o.wanted, u.GetWanted()), granted: max(o.granted, u.GetGranted())}
		s[u.GetWorkspace()] = n
		switch {
		case known:
			l.addRequests(now, u.GetWorkspace(), float64(n.wanted-o.wanted), float64(n.granted-o.granted))
		case uptime < recentStartUptime:
			l.addFirstReport(now, u.GetWorkspace(), n, uptime)
		}
		// The counts of a VM that has been up for longer are too old to add; they
		// only serve as the base for its next report.
	}
	return true
}

// addFirstReport adds what a recently started process did before its first
// report to this VM. Its requests are assumed to be spread evenly over its
// uptime, and those of one report interval count as demand. Its share of the
// limit for the uptime before this VM became a coordinator is added to the
// bucket.
func (l *Limits) addFirstReport(now time.Time, workspace uint64, c counts, uptime time.Duration) {
	ratio := min(1, reportInterval.Seconds()/max(reportInterval, uptime).Seconds())
	l.addRequests(now, workspace, float64(c.wanted)*ratio, float64(c.granted))
	n, _ := l.FleetSize()
	if t := l.totals[workspace]; t != nil {
		t.level += max(0, uptime-now.Sub(l.coordinatorSince)).Seconds() * l.limits[workspace].Rate / float64(max(1, n))
	}
}

// addRequests adds requests to the total of a workspace.
func (l *Limits) addRequests(now time.Time, workspace uint64, wanted, granted float64) {
	m, ok := l.limits[workspace]
	if !ok || m.Rate <= 0 {
		return
	}
	t := l.totals[workspace]
	if t == nil {
		// The bucket starts at a deficit, which stands for what other
		// coordinators granted just before this VM became one.
		t = &total{refilled: l.coordinatorSince, measured: now, level: -l.takeoverDebtSeconds * m.Rate}
		l.totals[workspace] = t
	}
	t.refill(now, m, l)
	t.level -= granted
	t.wanted += wanted
}

// becomeCoordinator drops the totals and reported counts of the last time that
// this VM was a coordinator, and sets the takeover debt.
func (l *Limits) becomeCoordinator(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coordinatorSince, l.takeoverDebtSeconds = now, demandLagSeconds
	clear(l.totals)
	clear(l.reported)
}

// refill adds the tokens that accumulated at the scaled rate since the last
// call.
func (t *total) refill(now time.Time, m Limit, l *Limits) {
	maxTokens := (m.Burst*grantedBurstRatio + l.Tolerance*grantedToleranceRatio) * min(1, l.scale)
	t.level = min(maxTokens, t.level+now.Sub(t.refilled).Seconds()*m.Rate*l.scale)
	t.refilled = now
}

// updateDemand updates the demand once per report interval.
func (t *total) updateDemand(now time.Time) {
	d := now.Sub(t.measured)
	if d < reportInterval {
		return
	}
	x := t.wanted / d.Seconds()
	t.demand += demandWeight * (x - t.demand)
	// A rise that is too large for chance counts at once, not smoothed.
	minDemand := (t.wanted - poissonDeviations*math.Sqrt(t.wanted)) / d.Seconds()
	t.demand = max(t.demand, minDemand)
	t.wanted, t.measured = 0, now
}

// grants returns the pass ratios of the workspaces whose demand exceeds what the
// limit, scaled by limitScale, and the level of the token bucket allow.
func (l *Limits) grants(now time.Time, reporting, silent int) []*peerpb.WorkspaceGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scale = l.limitScale(reporting, silent)
	var gs []*peerpb.WorkspaceGrant
	for w, t := range l.totals {
		m := l.limits[w]
		if m.Rate <= 0 {
			delete(l.totals, w)
			continue
		}
		t.refill(now, m, l)
		t.updateDemand(now)
		allowed := max(0, m.Rate*l.scale+t.level/levelCorrectionTime.Seconds())
		if t.demand <= allowed {
			continue
		}
		gs = append(gs, &peerpb.WorkspaceGrant{Workspace: w, Part: uint32(permille * allowed / t.demand)})
	}
	return gs
}

// limitScale returns the factor for the limits while some VMs are silent: they
// may still run behind a network partition and use an equal share each. The
// overage covers some of these shares, and the factor takes off the rest. The
// smaller side of a partition uses no more than its own shares.
func (l *Limits) limitScale(reporting, silent int) float64 {
	silentRatio := float64(silent) / float64(max(1, reporting+silent))
	if silentRatio >= largeSilentRatio {
		return 1 - silentRatio
	}
	return min(1, 1+l.Overage-lateReportReserve-silentRatio)
}
