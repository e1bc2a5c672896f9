package roster

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Parameters of the distributed rate limits.
const (
	// answerTTL is how long a coordinator's answer stays valid, and maxAnswerAge how
	// old the report that it answers may become meanwhile.
	answerTTL    = silentTimeout
	maxAnswerAge = 2 * silentTimeout
	// demandWeight is the EWMA weight of the latest report interval.
	demandWeight = 0.4
	// poissonDeviations is the number of standard deviations by which a Poisson
	// count rarely exceeds its mean.
	poissonDeviations = 2
	// A workspace's requests since the last report make the next report due
	// early when they exceed both minSurgeRequests and surgeFactor times the
	// mean per report.
	minSurgeRequests = 4.0
	surgeFactor      = 2.0
	// localCapShares is how many equal shares of a rate one VM may grant, and
	// localCapExtraBurst how many requests at once beyond its share of the
	// burst: callers are spread unevenly over the VMs.
	localCapShares     = 2.0
	localCapExtraBurst = 4.0
	// levelCorrectionTime is the time over which a coordinator spreads the
	// surplus or deficit of a token bucket.
	levelCorrectionTime = time.Second
	// coordinatorWarmup is how long the answers of a new coordinator are
	// ignored: it knows the demand on the fleet only after two reports.
	coordinatorWarmup = 2 * reportInterval
	// recentStartUptime is the uptime below which all that a process did before
	// its first report counts as recent. A process has received messages of most
	// others within two seconds of its start.
	recentStartUptime = 3 * time.Second
	// minUnsettledFleetSize is the least assumed number of VMs while the fleet
	// is not settled.
	minUnsettledFleetSize = 8
	// startupPeriod is how long after its start a process uses startupShares
	// equal shares: callers are spread unevenly while other processes start
	// too, and the limits were unused while all were down.
	startupPeriod = time.Second
	startupShares = 2
	// maxStartupTokens is the most tokens of a workspace that a process starts
	// with.
	maxStartupTokens = 3
	// permille is the unit of pass ratios in messages; all requests pass at
	// 1000.
	permille = 1000
)

// Limit is a workspace's rate limit over all VMs.
type Limit struct {
	// Rate is in requests per second, 0 for no limit; Burst is in requests.
	Rate, Burst float64
}

// Limits enforces the workspaces' limits over the fleet. Set the exported
// fields before use. Its methods are safe for concurrent use.
type Limits struct {
	// Overage is the fraction by which a limit may be exceeded, since it is not
	// known for certain which VMs are alive.
	Overage float64
	// Tolerance is how many requests of a workspace may pass beyond that within
	// a few seconds.
	Tolerance float64
	// FleetSize returns the number of VMs, this one included, and whether it has
	// settled since the process started.
	FleetSize func() (int, bool)
	// Rand is the source of random numbers; nil uses the global one.
	Rand *rand.Rand

	mu      sync.Mutex
	started time.Time
	// coordinatorSince is when this VM last became a coordinator, or when the
	// process started.
	coordinatorSince time.Time
	// takeoverDebtSeconds is what other coordinators may have granted beyond a
	// limit just before this VM became one, in seconds of the limit's rate.
	takeoverDebtSeconds float64
	// surgePending says that the requests of a workspace have surged since the
	// last report.
	surgePending bool
	// scale is the factor that limitScale returned last; 1 at first.
	scale  float64
	limits map[uint64]Limit
	// usage is this VM's own use of the limits, by workspace hash.
	usage map[uint64]*usage
	// answers hold the newest answer of each coordinator.
	answers map[netip.AddrPort]*coordinatorAnswer
	// totals are the fleet's totals that this VM keeps as a coordinator.
	totals map[uint64]*total
	// reported are the latest counts that each process reported to this VM.
	reported map[member.ID]map[uint64]counts
}

// usage is what a workspace used of its limit on this VM.
type usage struct {
	counts
	// credit accumulates the coordinator's pass ratio for each request; a
	// request passes when it reaches 1.
	credit float64
	// tokens are those of an equal share of the limit, which applies while no
	// coordinator answers.
	tokens   float64
	refilled time.Time
	// capTokens are the requests that may still pass on this VM whatever the
	// coordinators answer.
	capTokens   float64
	capRefilled time.Time
	// reported is the value of wanted at the last report, and meanPerReport the
	// EWMA of its increase from report to report.
	reported      uint64
	meanPerReport float64
	// changedIn is the number of the last report before which the counts changed.
	changedIn uint64
}

// surging reports whether the requests since the last report exceed the mean
// per report by far.
func (u *usage) surging() bool {
	return float64(u.wanted-u.reported) > max(minSurgeRequests, surgeFactor*u.meanPerReport)
}

// counts are the requests of a workspace since a process started: all of them,
// and those that were granted.
type counts struct {
	wanted, granted uint64
}

// coordinatorAnswer is the latest answer of a coordinator.
type coordinatorAnswer struct {
	received time.Time
	// reported is when the report that it answers was sent.
	reported time.Time
	// reporting is how many VMs report to the coordinator.
	reporting uint32
	// tenure is how long the coordinator has been one.
	tenure time.Duration
	// passRatios are in thousandths, by workspace hash; all requests of a
	// workspace that is missing may pass.
	passRatios map[uint64]uint32
}

// WorkspaceHash returns the hash that identifies a workspace in messages.
func WorkspaceHash(workspace string) uint64 {
	return xxhash.Sum64String(workspace)
}

// Set replaces the limits, which are keyed by WorkspaceHash.
func (l *Limits) Set(limits map[uint64]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	if l.usage == nil {
		l.usage = map[uint64]*usage{}
		l.answers = map[netip.AddrPort]*coordinatorAnswer{}
		l.totals = map[uint64]*total{}
		l.reported = map[member.ID]map[uint64]counts{}
	}
}

// Decision says whether a request may pass, and why.
type Decision struct {
	Granted bool
	// AllowedRatio is the fraction of requests that the coordinator lets pass.
	// Without a valid answer, or when the request exceeds the local cap, it is
	// the fraction of the limit that this VM may use.
	AllowedRatio float64
	// AnswerAge is the age of the coordinator's answer.
	AnswerAge time.Duration
	// NoCoordinator says that no coordinator's answer is valid, so that an equal
	// share of the limit applied.
	NoCoordinator bool
}

// Take counts one request of a workspace and decides whether it may pass.
func (l *Limits) Take(now time.Time, workspace uint64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.limits[workspace]
	if !ok || m.Rate <= 0 {
		return Decision{Granted: true, AllowedRatio: 1}
	}
	u := l.usage[workspace]
	if u == nil {
		// Random initial credit keeps many VMs from each granting one request
		// at the same time.
		u = &usage{tokens: l.randFloat64(), refilled: now, credit: l.randFloat64()}
		if now.Sub(l.started) < startupPeriod {
			u.tokens = l.startupTokens(m)
		}
		l.usage[workspace] = u
	}
	u.wanted++
	if u.surging() {
		l.surgePending = true
	}
	v := l.decide(now, workspace, m, u)
	if v.Granted {
		u.granted++
		u.capTokens--
	}
	return v
}

// startupTokens returns the tokens that a workspace has on a process that has
// just started: startupShares equal shares of the tokens that accumulate while
// the whole fleet is down. A share below one token is rounded up to one with the
// share as the probability.
func (l *Limits) startupTokens(m Limit) float64 {
	n, settled := l.FleetSize()
	if !settled {
		n = max(n, minUnsettledFleetSize)
	}
	share := startupShares * (m.Burst + l.Tolerance*grantedToleranceRatio) / float64(n)
	if share < 1 && l.randFloat64() < share {
		return 1
	}
	return min(share, maxStartupTokens)
}

// randFloat64 returns a random number in [0, 1).
func (l *Limits) randFloat64() float64 {
	if l.Rand == nil {
		return rand.Float64()
	}
	return l.Rand.Float64()
}

// decide applies the local cap, then the pass ratio of the best coordinator, or
// an equal share of the limit while no coordinator's answer is valid.
func (l *Limits) decide(now time.Time, workspace uint64, m Limit, u *usage) Decision {
	n, settled := l.FleetSize()
	switch {
	case !settled:
		n = max(n, minUnsettledFleetSize)
	case now.Sub(l.started) < startupPeriod:
		n = (n + startupShares - 1) / startupShares
	}
	u.refill(now, m, n, l.Tolerance*grantedToleranceRatio)
	if !u.withinLocalCap(now, m, n) {
		return Decision{AllowedRatio: localCapShares / float64(n)}
	}
	a := l.bestAnswer(now)
	if a == nil {
		if u.tokens < 1 {
			return Decision{NoCoordinator: true, AllowedRatio: 1 / float64(n)}
		}
		u.tokens--
		return Decision{Granted: true, NoCoordinator: true, AllowedRatio: 1 / float64(n)}
	}
	v := Decision{AllowedRatio: 1, AnswerAge: now.Sub(a.received)}
	if x, ok := a.passRatios[workspace]; ok {
		v.AllowedRatio = float64(x) / permille
	}
	u.credit = min(u.credit+v.AllowedRatio, 1+v.AllowedRatio)
	if u.credit >= 1 {
		u.credit--
		u.tokens = max(0, u.tokens-1)
		v.Granted = true
	}
	return v
}

// withinLocalCap refills the local cap and reports whether it lets a request
// pass. The cap is a few equal shares of the limit, whatever the coordinators
// answer, and bounds a rise in demand that they do not know yet. It refills by
// at least 2 requests per second.
func (u *usage) withinLocalCap(now time.Time, m Limit, n int) bool {
	share := m.Rate / float64(n)
	maxTokens := localCapExtraBurst + grantedBurstRatio*m.Burst/float64(n)
	if u.capRefilled.IsZero() {
		u.capTokens = maxTokens
	}
	u.capTokens = min(maxTokens, u.capTokens+now.Sub(u.capRefilled).Seconds()*max(2, localCapShares*share))
	u.capRefilled = now
	return u.capTokens >= 1
}

// refill adds the tokens of an equal share among n VMs. The bucket holds an
// equal share of the burst plus extraBurst, at least one token.
func (u *usage) refill(now time.Time, m Limit, n int, extraBurst float64) {
	d := now.Sub(u.refilled).Seconds()
	u.refilled = now
	maxTokens := max(1, (m.Burst+extraBurst)/float64(n))
	u.tokens = min(maxTokens, u.tokens+d*m.Rate/float64(n))
}

// hasSurge reports whether a surge in requests makes a report due early.
func (l *Limits) hasSurge() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.surgePending
}

// betterThan reports whether a takes precedence over b: over 10% more VMs report
// to its coordinator, or about as many do and it has been a coordinator for
// longer, so that it knows more of what was granted before.
func (a *coordinatorAnswer) betterThan(b *coordinatorAnswer) bool {
	switch {
	case a.reporting*10 > b.reporting*11:
		return true
	case b.reporting*10 > a.reporting*11:
		return false
	}
	return a.tenure > b.tenure
}

// bestAnswer returns the best answer that is still valid, or nil.
func (l *Limits) bestAnswer(now time.Time) *coordinatorAnswer {
	var b *coordinatorAnswer
	for _, a := range l.answers {
		// The ratios of a coordinator that receives no other VM's reports are no
		// better than an equal share.
		if now.Sub(a.received) >= answerTTL || now.Sub(a.reported) >= maxAnswerAge || a.reporting < 2 {
			continue
		}
		if b == nil || a.betterThan(b) {
			b = a
		}
	}
	return b
}

// beginReport prepares the report of a number: it notes which counts changed since
// the report before it.
func (l *Limits) beginReport(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.surgePending = false
	for _, u := range l.usage {
		u.meanPerReport += demandWeight * (float64(u.wanted-u.reported) - u.meanPerReport)
		if u.wanted != u.reported {
			u.changedIn = number
		}
		u.reported = u.wanted
	}
}

// usageSince returns this VM's counts that changed after the report of a number; 0
// means all.
func (l *Limits) usageSince(base uint64) []*peerpb.WorkspaceUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var us []*peerpb.WorkspaceUse
	for w, u := range l.usage {
		if base == 0 || u.changedIn > base {
			us = append(us, &peerpb.WorkspaceUse{Workspace: w, Wanted: u.wanted, Granted: u.granted})
		}
	}
	return us
}

// SetOverage replaces the overage and the tolerance.
func (l *Limits) SetOverage(overage, tolerance float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Overage, l.Tolerance = overage, tolerance
}

// start sets the time at which the process started.
func (l *Limits) start(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started, l.coordinatorSince = now, now
	l.scale = 1
}

// receiveAnswer stores a coordinator's answer to the report that was sent at reported,
// unless that coordinator is still in its warm-up, and drops old answers.
func (l *Limits) receiveAnswer(now, reported time.Time, from netip.AddrPort, a *peerpb.FleetAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answers == nil || time.Duration(a.GetSinceMillis())*time.Millisecond < coordinatorWarmup {
		return
	}
	tenure := time.Duration(a.GetSinceMillis()) * time.Millisecond
	c := &coordinatorAnswer{received: now, reported: reported, reporting: a.GetReporting(), tenure: tenure, passRatios: map[uint64]uint32{}}
	for _, g := range a.GetGrants() {
		c.passRatios[g.GetWorkspace()] = g.GetPart()
	}
	l.answers[from] = c
	for from, o := range l.answers {
		if now.Sub(o.received) > silentRetention {
			delete(l.answers, from)
		}
	}
}

// forgetProcess drops the counts that a process reported.
func (l *Limits) forgetProcess(id member.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reported, id)
}
