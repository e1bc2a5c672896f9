// Package retry bounds the retries of each service over all entry VMs together: in any
// window, retries are at most a ratio of the requests plus a slack.
//
// Each request adds a fraction of a retry to its VM's balance. The bound holds if the
// unused retries of all VMs never exceed the slack, so each VM may save only its share
// of it. A VM gives what it does not need to a coordinator, which grants it to VMs that
// lack retries. A retry is deducted before it is sent, and it expires within
// poolLifetime at the coordinator and grantLifetime at the VM that got it. Until both
// have passed, it counts against the share of the VM that earned it. The bound thus
// needs no agreement on who is a coordinator, and no message to arrive.
//
// Budget has no I/O and takes the time as an argument.
package retry

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/member"
)

// unit is one retry; balances and messages count thousandths.
const unit = 1000

// Parameters of the shares.
const (
	// sharedRatio is the fraction of the slack that the known VMs share; the rest
	// covers VMs that do not know of each other yet.
	sharedRatio = 0.8
	// wholeRatio replaces sharedRatio where each VM can then save one retry. Killed VMs
	// count for a while, and the others should not lose their last retry by that.
	wholeRatio = 0.9
	// pooledRatio is the greatest fraction of its share of the balances that a VM
	// may have given to coordinators.
	pooledRatio = 0.4
	// fullShare is the share, in thousandths, up to which all of it is for the
	// balance. Of a larger share, up to half refills over the window.
	fullShare = 3 * unit
)

// Lifetimes of retries that left the VM that earned them.
const (
	// poolLifetime is how long a retry exists after it was deducted from a balance
	// until it is granted. It is three report intervals: one to learn that the VM was
	// answered, and two in which every VM that lacks retries reports.
	poolLifetime = 750 * time.Millisecond
	// grantLifetime is how long it exists after it was granted: two report intervals.
	grantLifetime = 500 * time.Millisecond
	// lifetime is how long a retry counts against the share of its VM.
	lifetime = poolLifetime + grantLifetime
)

// scarcityTime is how long after a denial a VM gives no retries away, and requests of
// low cost leave a reserve. It is several times the interval between requests of a VM
// with 3 requests per second.
const scarcityTime = 2 * time.Second

// Budget holds one VM's retry budgets, and the retries of other VMs that it holds as a
// coordinator. Set the exported fields before use. Its methods are safe for concurrent
// use.
type Budget struct {
	// Ratio is how many retries each request of a service adds.
	Ratio float64
	// Slack is how many retries of a service may be unused over all VMs. With 0 there
	// is no bound over all VMs, and each may save one.
	Slack float64
	// Window is the time over which Slack may be spent once; 0 for no refill.
	Window time.Duration

	mu      sync.Mutex
	started time.Time
	fleet   Fleet
	// settled says that Fleet.Settled was true once.
	settled  bool
	balances map[string]*balance
	// short says that a retry was denied since the last report.
	short bool
	// coordinators are the processes that granted retries to this VM.
	coordinators map[member.ID]*grantor
	// reporters and pools are the state of a coordinator.
	reporters map[member.ID]*reporter
	pools     map[uint64]*pool
}

// Fleet is what a budget needs to know of the fleet.
type Fleet struct {
	// VMs is the number of VMs that share the slack, this one included.
	VMs int
	// Settled says that VMs is reliable.
	Settled bool
	// Leaving says that this VM no longer counts as one of VMs.
	Leaving bool
	// Coordinates says that this VM is a coordinator.
	Coordinates bool
}

// Start sets the time at which the process started.
func (b *Budget) Start(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = now
	b.balances = map[string]*balance{}
	b.coordinators = map[member.ID]*grantor{}
	b.reporters = map[member.ID]*reporter{}
	b.pools = map[uint64]*pool{}
}

// SetFleet updates what is known of the fleet. What a balance holds beyond the new share
// is dropped, and so are the pools of a VM that is no longer a coordinator.
func (b *Budget) SetFleet(now time.Time, f Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = f
	b.settled = b.settled || f.Settled
	s := b.share(now)
	for _, v := range b.balances {
		v.settle(now, s)
	}
	if !f.Coordinates {
		for _, p := range b.pools {
			p.held = nil
		}
	}
	b.dropSilent(now)
}

// AddRequest credits one request of a service.
func (b *Budget) AddRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, v := b.share(now), b.balance(now, service)
	v.own += int64(b.Ratio * unit)
	v.settle(now, s)
}

// Take spends one retry of a service on r; it returns false if none is left for r.
func (b *Budget) Take(now time.Time, service string, r Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, v := b.share(now), b.balance(now, service)
	v.settle(now, s)
	if v.spend(now, s, r) {
		return true
	}
	b.short = b.short || !r.Hedge
	return false
}

// IsShort reports whether a retry was denied since the last report, so that the next one
// is due early.
func (b *Budget) IsShort() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.short
}

// balance returns the balance of a service.
func (b *Budget) balance(now time.Time, service string) *balance {
	v := b.balances[service]
	if v == nil {
		if b.balances == nil {
			b.balances = map[string]*balance{}
		}
		v = &balance{hash: ServiceHash(service), refilled: now, returned: map[netip.AddrPort]uint64{}}
		b.balances[service] = v
	}
	return v
}

// ServiceHash returns the hash that identifies a service in messages.
func ServiceHash(service string) uint64 {
	return xxhash.Sum64String(service)
}

// share is what one VM may save of the slack, in thousandths of a retry.
type share struct {
	// limit bounds what the VM has, together with what it gave away.
	limit int64
	// keep is what the VM does not give away, and pooled the most that it may have
	// given away.
	keep, pooled int64
	// refill is added per second.
	refill float64
}

// share returns the share of this VM. A process has none until the fleet has settled and
// once it leaves, since the other VMs may not count it. During its first lifetime, what
// an earlier process on this VM gave away may still exist. The new one then gets what
// the earlier one could not give away, and the part of the slack that is not shared.
func (b *Budget) share(now time.Time) share {
	if b.fleet.Leaving || !b.settled {
		return share{}
	}
	if b.Slack <= 0 {
		return share{limit: unit, keep: unit}
	}
	n := float64(max(1, b.fleet.VMs))
	all := unit * sharedRatio * b.Slack / n
	if all < unit && wholeRatio*b.Slack >= n {
		all = unit
	}
	saved := min(all, max(fullShare, all/2))
	s := share{limit: int64(saved)}
	if b.Window > 0 {
		s.refill = (all - saved) / b.Window.Seconds()
	}
	if now.Sub(b.started) < lifetime {
		s.limit = min(s.limit, int64((1-pooledRatio)*saved+unit*(1-sharedRatio)*b.Slack/n))
		s.keep = s.limit
		return s
	}
	s.keep = int64((1 - pooledRatio) * saved)
	if s.limit >= unit {
		// A VM whose share allows it keeps one retry, so that it does not depend on
		// the coordinator for the first one.
		s.keep = max(s.keep, unit)
	}
	s.pooled = s.limit - s.keep
	return s
}
