// Package relay spreads accepted values and the VM list between entry VMs, so
// that a VM that cannot reach the platform still learns them within seconds.
package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/timer"

	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/store"
)

// Times of the relay.
const (
	// gossipEvery is the time between announcements to a random peer.
	gossipEvery = 2 * time.Second
	// spread is the longest wait before a pull, so that pulls spread over
	// all VMs that have the version by then.
	spread = 200 * time.Millisecond
	// maxReadAge bounds the age of a read that is told.
	maxReadAge = time.Hour
	// pullTimeout bounds one pull where Relay.PullTimeout does not.
	pullTimeout = 3 * time.Second
)

// Peers sends to the other entry VMs.
type Peers interface {
	Send(to netip.AddrPort, f *peerpb.Frame) bool
	Pull(ctx context.Context, to netip.AddrPort, r *peerpb.PullRequest) (*peerpb.PullAnswer, error)
}

// Relay announces what this VM has and pulls what others have. Set the
// exported fields before Run.
type Relay struct {
	Store  *store.Store
	List   *platform.ListStore
	Bus    *event.Bus
	Peers  Peers
	Logger log.Logger
	// Members returns the entry VMs that answer.
	Members func() []netip.AddrPort
	// ReadAge returns how long ago this VM last read the platform to its newest
	// revision; false when it does not read. It may be nil.
	ReadAge func(now time.Time) (time.Duration, bool)
	// PullTimeout bounds one pull; 0 for three seconds. A VM that announced a
	// version may be gone, and others have it too.
	PullTimeout time.Duration
	// Forwards tells whether this VM is to tell others of reads that it did
	// not make: the coordinators do. It may be nil.
	Forwards func() bool
	// Resync is called when a peer holds other values of the same revision.
	Resync func(ctx context.Context)

	mu    sync.Mutex
	heard map[netip.AddrPort]Announced
	// invalid is the newest version of a peer that was found invalid here,
	// as a peer that runs another release may have it. It is not pulled again.
	invalid store.Version
	wake    chan struct{}
	// covered is when a peer last read the platform to a revision in force
	// here.
	covered time.Time
	// forwarded is the time of the newest read that was told on.
	forwarded time.Time
	packer    packer
}

// Announced is what a peer last announced.
type Announced struct {
	Table store.Version
	List  uint64
	// Reads says that the peer reads the platform, and Read when it last did.
	Reads bool
	Read  time.Time
}

// Run announces and pulls until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	if err := event.Subscribe(ctx, r.Bus, func(event.TableAccepted) { r.announceAll() }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, r.Bus, func(event.ListRead) { r.announceAll() }); err != nil {
		return err
	}
	var g sync.WaitGroup
	g.Go(func() { r.gossip(ctx) })
	g.Go(func() { r.pulls(ctx) })
	g.Wait()
	return nil
}

// Receive takes the announcements of a peer.
func (r *Relay) Receive(from netip.AddrPort, ms []*peerpb.ConfigMessage) {
	for _, m := range ms {
		a := Announced{
			Table: store.Version{Revision: m.GetAccepted(), Digest: m.GetDigest()},
			List:  m.GetList(),
		}
		if n := m.GetReadAge(); n > 0 {
			a.Reads, a.Read = true, time.Now().Add(-time.Duration(n-1)*time.Millisecond)
		}
		r.note(from, a)
		if a.Reads {
			r.forward()
		}
		if a.Table.Revision < r.Store.Accepted().Revision || a.List < r.List.Revision() {
			r.announce(from)
		}
	}
}

func (r *Relay) note(from netip.AddrPort, a Announced) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard == nil {
		r.heard = map[netip.AddrPort]Announced{}
	}
	r.heard[from] = a
	select {
	case r.wakeup() <- struct{}{}:
	default:
	}
}

// wakeup returns the channel that wakes the pulls; mu is held.
func (r *Relay) wakeup() chan struct{} {
	if r.wake == nil {
		r.wake = make(chan struct{}, 1)
	}
	return r.wake
}

// Answer answers a peer's pull.
func (r *Relay) Answer(q *peerpb.PullRequest) *peerpb.PullAnswer {
	v, vs := r.Store.ValuesSince(q.GetSince())
	a := &peerpb.PullAnswer{
		Accepted: v.Revision,
		Digest:   v.Digest,
		Values:   vs,
		Vms:      r.List.AnswerNewerThan(q.GetList()),
	}
	if !q.GetUnpacks() {
		return a
	}
	b, err := r.packer.pack(v, q.GetSince(), vs)
	if err != nil {
		_ = level.Warn(r.Logger).Log("msg", "Values were not packed.", "revision", v.Revision, "err", err)
		return a
	}
	if b != nil {
		a.Values, a.Packed = nil, b
	}
	return a
}

// CaughtUp tells whether a member that answers has announced its version and
// none is known to have a newer one.
func (r *Relay) CaughtUp() bool {
	return r.heardAny(r.Members()) && len(r.ahead()) == 0
}

func (r *Relay) heardAny(members []netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		if _, ok := r.heard[m]; ok {
			return true
		}
	}
	return false
}

func (r *Relay) announce(to netip.AddrPort) {
	v := r.Store.Accepted()
	m := &peerpb.ConfigMessage{Accepted: v.Revision, Digest: v.Digest, List: r.List.Revision()}
	if d, ok := r.Age(); ok {
		m.ReadAge = uint32(min(d.Milliseconds(), maxReadAge.Milliseconds())) + 1
	}
	r.Peers.Send(to, &peerpb.Frame{Config: []*peerpb.ConfigMessage{m}})
}

func (r *Relay) announceAll() {
	for _, m := range r.Members() {
		r.announce(m)
	}
}

// Covered returns how long ago a peer last read the platform to a revision that
// is in force here; false when no peer reads.
func (r *Relay) Covered() (time.Duration, bool) {
	v := r.Store.Accepted().Revision
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.heard {
		if a.Reads && a.Table.Revision <= v && a.Read.After(r.covered) {
			r.covered = a.Read
		}
	}
	return time.Since(r.covered), !r.covered.IsZero()
}

// Age returns how long ago this VM, or another that it learned from, last
// read the platform to a revision that is in force here.
func (r *Relay) Age() (time.Duration, bool) {
	if r.ReadAge == nil {
		return 0, false
	}
	d, ok := r.ReadAge(time.Now())
	c, covered := r.Covered()
	if covered && (!ok || c < d) {
		return c, true
	}
	return d, ok
}

// forwardEvery is the least time between two tellings that another VM reads.
const forwardEvery = 500 * time.Millisecond

// forward tells the neighbours of a coordinator that a VM which only it may hear
// reads the platform.
func (r *Relay) forward() {
	if r.Forwards == nil || !r.Forwards() {
		return
	}
	d, ok := r.Covered()
	read := time.Now().Add(-d)
	r.mu.Lock()
	due := ok && read.Sub(r.forwarded) >= forwardEvery
	if due {
		r.forwarded = read
	}
	r.mu.Unlock()
	if due {
		r.announceAll()
	}
}

// Beat tells the peers that this VM has read the platform.
func (r *Relay) Beat() {
	r.announceAll()
}

// gossip announces to a random peer at intervals, so that a lost announcement
// is made good.
func (r *Relay) gossip(ctx context.Context) {
	for timer.Sleep(ctx, gossipEvery/2+rand.N(gossipEvery)) {
		ms := r.Members()
		r.keep(ms)
		if len(ms) > 0 {
			r.announce(ms[rand.IntN(len(ms))])
		}
	}
}

// keep forgets the peers that are no members.
func (r *Relay) keep(members []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.heard {
		if !slices.Contains(members, p) {
			delete(r.heard, p)
		}
	}
}

// Dump returns what the peers announced.
func (r *Relay) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := map[string]Announced{}
	for p, a := range r.heard {
		d[p.String()] = a
	}
	return d
}
