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

// Parameters of the limits.
const (
	// answerFresh is how long a coordinator's answer counts.
	answerFresh = silentAfter
	// demandWeight is the weight of the latest report in a workspace's demand.
	demandWeight = 0.4
	// rareDeviations is how many standard deviations of a count are rarely
	// passed by chance.
	rareDeviations = 2
	// surgeLeast and surgeFactor say how many requests beyond the usual make a
	// report due early.
	surgeLeast  = 4.0
	surgeFactor = 2.0
	// capRate is how many equal shares one VM may let pass, and capLeast how
	// many requests at once beside its share of the burst: callers are spread
	// unevenly over the VMs.
	capRate  = 2.0
	capLeast = 4.0
	// settleIn is the time in which a bucket's excess or debt is evened out.
	settleIn = time.Second
	// youngFor is how long a process does not know yet what is asked of the
	// fleet: two reports.
	youngFor = 2 * reportEvery
	// newFor is how long what a process did counts as of late: it hears most others
	// within two seconds of its start.
	newFor = 3 * time.Second
	// unknownVMs stands for the size of a fleet of which nothing is heard yet.
	unknownVMs = 8
	// startFor is how long a process takes startShare equal shares: callers
	// come unevenly while others start too, and nothing passed while all were
	// down.
	startFor   = time.Second
	startShare = 2
	// firstMost is how many requests a process that just began lets pass at most.
	firstMost = 3
	// whole is the part that lets everything pass, in thousandths.
	whole = 1000
)

// Limit is what a workspace may take over all VMs.
type Limit struct {
	// Rate is in requests a second; 0 is no limit.
	Rate, Burst float64
}

// Limits shares out the workspaces' limits. Set the exported fields before
// use. Its methods may be called at once.
type Limits struct {
	// Overage is the part of a limit that may pass beyond it, which pays for
	// not knowing which VMs are alive.
	Overage float64
	// Tolerance is how many requests of a workspace may pass beyond that in a
	// few seconds.
	Tolerance float64
	// Count returns how many VMs there are, this one included, and whether
	// that has settled since the process began.
	Count func() (int, bool)
	// Rand is the source of chance; nil for a random one.
	Rand *rand.Rand

	mu    sync.Mutex
	began time.Time
	// since is when this VM became a coordinator.
	since time.Time
	// debt is what other coordinators may have granted too much just before
	// this VM became one, in seconds of a rate.
	debt float64
	// surges says that a workspace wants more than usual.
	surges bool
	// scale is by how much the limits are scaled at present.
	scale  float64
	limits map[uint64]Limit
	own    map[uint64]*use
	// parts hold the newest answer of each coordinator.
	parts map[netip.AddrPort]*parts
	// totals are what this VM as a coordinator knows.
	totals map[uint64]*total
	seen   map[member.ID]map[uint64]counts
}

// use is what a workspace did here.
type use struct {
	counts
	// credit is the part of a request that may pass beyond those that did.
	credit float64
	// tokens are those of the equal share, for when no coordinator is heard.
	tokens float64
	filled time.Time
	// cap is what may still pass here whatever the coordinators say.
	cap    float64
	capped time.Time
	// told is what of wanted was reported, and usual how much a report tells.
	told  uint64
	usual float64
}

// surge tells whether more is wanted since the last report than usual.
func (u *use) surge() bool {
	return float64(u.wanted-u.told) > max(surgeLeast, surgeFactor*u.usual)
}

type counts struct {
	wanted, granted uint64
}

// parts is a coordinator's answer.
type parts struct {
	at        time.Time
	reporting uint32
	// since is how long the coordinator has been one.
	since time.Duration
	of    map[uint64]uint32
}

// Hash returns how a workspace is named in messages.
func Hash(workspace string) uint64 {
	return xxhash.Sum64String(workspace)
}

// Set puts limits in force, by the hash of the workspace.
func (l *Limits) Set(limits map[uint64]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	if l.own == nil {
		l.own = map[uint64]*use{}
		l.parts = map[netip.AddrPort]*parts{}
		l.totals = map[uint64]*total{}
		l.seen = map[member.ID]map[uint64]counts{}
	}
}

// Verdict tells why a request passed or not.
type Verdict struct {
	Granted bool
	// Part is the part of the requests that may pass, and Age the age of the
	// coordinator's answer; Alone says that there was none.
	Part  float64
	Age   time.Duration
	Alone bool
}

// Take asks for one request of a workspace.
func (l *Limits) Take(now time.Time, workspace uint64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.limits[workspace]
	if !ok || m.Rate <= 0 {
		return Verdict{Granted: true, Part: 1}
	}
	u := l.own[workspace]
	if u == nil {
		// Credit by chance keeps many VMs from letting one request each pass
		// at once.
		u = &use{tokens: l.chance(), filled: now, credit: l.chance()}
		if now.Sub(l.began) < startFor {
			u.tokens = l.first(m)
		}
		l.own[workspace] = u
	}
	u.wanted++
	if u.surge() {
		l.surges = true
	}
	v := l.decide(now, workspace, m, u)
	if v.Granted {
		u.granted++
		u.cap--
	}
	return v
}

// first returns the tokens of a process that just began: its share of what
// gathers while a fleet is down, and a whole one by chance where that is less.
func (l *Limits) first(m Limit) float64 {
	n, settled := l.Count()
	if !settled {
		n = max(n, unknownVMs)
	}
	share := startShare * (m.Burst + l.Tolerance*toleranceGranted) / float64(n)
	if share < 1 && l.chance() < share {
		return 1
	}
	return min(share, firstMost)
}

// chance returns a number of at least 0 and below 1.
func (l *Limits) chance() float64 {
	if l.Rand == nil {
		return rand.Float64()
	}
	return l.Rand.Float64()
}

func (l *Limits) decide(now time.Time, workspace uint64, m Limit, u *use) Verdict {
	n, settled := l.Count()
	switch {
	case !settled:
		n = max(n, unknownVMs)
	case now.Sub(l.began) < startFor:
		n = (n + startShare - 1) / startShare
	}
	u.fill(now, m, n, l.Tolerance*toleranceGranted)
	if !u.within(now, m, n) {
		return Verdict{Part: capRate / float64(n)}
	}
	p := l.best(now)
	if p == nil {
		if u.tokens < 1 {
			return Verdict{Alone: true, Part: 1 / float64(n)}
		}
		u.tokens--
		return Verdict{Granted: true, Alone: true, Part: 1 / float64(n)}
	}
	v := Verdict{Part: 1, Age: now.Sub(p.at)}
	if x, ok := p.of[workspace]; ok {
		v.Part = float64(x) / whole
	}
	u.credit = min(u.credit+v.Part, 1+v.Part)
	if u.credit >= 1 {
		u.credit--
		u.tokens = max(0, u.tokens-1)
		v.Granted = true
	}
	return v
}

// within tells whether this VM is within the most that it lets pass whatever the
// coordinators say: some equal shares, so that a rise that they do not know yet
// is bounded.
func (u *use) within(now time.Time, m Limit, n int) bool {
	share := m.Rate / float64(n)
	most := capLeast + burstGranted*m.Burst/float64(n)
	if u.capped.IsZero() {
		u.cap = most
	}
	u.cap = min(most, u.cap+now.Sub(u.capped).Seconds()*max(2, capRate*share))
	u.capped = now
	return u.cap >= 1
}

// fill adds the tokens of an equal share of n VMs. Spare is what may be kept
// beyond the burst.
func (u *use) fill(now time.Time, m Limit, n int, spare float64) {
	d := now.Sub(u.filled).Seconds()
	u.filled = now
	most := max(1, (m.Burst+spare)/float64(n))
	u.tokens = min(most, u.tokens+d*m.Rate/float64(n))
}

// surging tells whether a report is due early.
func (l *Limits) surging() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.surges
}

// better tells whether p goes before b: it comes from a coordinator that hears
// more VMs, or about as many and has been one for longer, so that it knows of
// what was granted before.
func (p *parts) better(b *parts) bool {
	switch {
	case p.reporting*10 > b.reporting*11:
		return true
	case b.reporting*10 > p.reporting*11:
		return false
	}
	return p.since > b.since
}

// best returns the fresh answer of the best coordinator.
func (l *Limits) best(now time.Time) *parts {
	var b *parts
	for _, p := range l.parts {
		// One that hears only itself knows no more than the equal share.
		if now.Sub(p.at) >= answerFresh || p.reporting < 2 {
			continue
		}
		if b == nil || p.better(b) {
			b = p
		}
	}
	return b
}

// uses returns the counts of this VM.
func (l *Limits) uses() []*peerpb.WorkspaceUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	us := make([]*peerpb.WorkspaceUse, 0, len(l.own))
	l.surges = false
	for w, u := range l.own {
		u.usual += demandWeight * (float64(u.wanted-u.told) - u.usual)
		u.told = u.wanted
		us = append(us, &peerpb.WorkspaceUse{Workspace: w, Wanted: u.wanted, Granted: u.granted})
	}
	return us
}

// SetOverage replaces the overage and the tolerance.
func (l *Limits) SetOverage(overage, tolerance float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Overage, l.Tolerance = overage, tolerance
}

// start sets the time at which the process began.
func (l *Limits) start(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.began, l.since = now, now
	l.scale = 1
}

// answered takes a coordinator's answer.
func (l *Limits) answered(now time.Time, from netip.AddrPort, a *peerpb.FleetAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.parts == nil || time.Duration(a.GetSinceMillis())*time.Millisecond < youngFor {
		return
	}
	since := time.Duration(a.GetSinceMillis()) * time.Millisecond
	p := &parts{at: now, reporting: a.GetReporting(), since: since, of: map[uint64]uint32{}}
	for _, g := range a.GetGrants() {
		p.of[g.GetWorkspace()] = g.GetPart()
	}
	l.parts[from] = p
	for a, o := range l.parts {
		if now.Sub(o.at) > forgetAfter {
			delete(l.parts, a)
		}
	}
}

// ended forgets the counts of a process that is gone.
func (l *Limits) ended(id member.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.seen, id)
}
