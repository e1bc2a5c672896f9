// Package relay distributes the accepted configuration values, which make up the
// table, and the VM list among entry VMs by gossip, so that a VM that cannot
// reach the platform still receives them within seconds.
package relay

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/timer"

	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/store"
)

// Times of the relay.
const (
	// gossipInterval is the mean time between announcements to a random peer.
	gossipInterval = 2 * time.Second
	// queryInterval is the time between the announcements to members whose versions
	// are not known, until the table is confirmed.
	queryInterval = 50 * time.Millisecond
	// maxPullDelay bounds the random delay before a pull. The delay spreads the
	// pulls over all VMs that have the version by then.
	maxPullDelay = 200 * time.Millisecond
	// maxReadAge caps the announced age of the last read of the platform. The age
	// is sent in milliseconds plus 1, since 0 means that no read is known.
	maxReadAge = time.Hour
	// minReplyInterval is the minimum time between two answers to the announcements of a
	// peer that may not know eras.
	minReplyInterval = 500 * time.Millisecond
	// maxPullTime is the timeout of one pull.
	maxPullTime = 3 * time.Second
)

// Peers sends messages to other entry VMs and pulls from them.
type Peers interface {
	Send(to netip.AddrPort, f *peerpb.Frame) bool
	Pull(ctx context.Context, to netip.AddrPort, r *peerpb.PullRequest) (*peerpb.PullAnswer, error)
}

// Relay announces the versions of this VM to its peers and pulls newer ones from
// them. Set the exported fields before Run.
type Relay struct {
	Store  *store.Store
	List   *platform.ListStore
	Bus    *event.Bus
	Peers  Peers
	Logger log.Logger
	// Members returns the entry VMs that currently answer.
	Members func() []netip.AddrPort
	// ReadAge returns how long ago this VM last read the platform up to its newest
	// revision; false if this VM does not read it. ReadAge may be nil.
	ReadAge func(now time.Time) (time.Duration, bool)
	// PullHedgeDelay is the time after which a version is also pulled from another VM;
	// 0 means 3 s. The VM that announced it may have stopped since.
	PullHedgeDelay time.Duration
	// ForwardsReads reports whether this VM announces to its members that a peer
	// has read the platform; coordinators that do not read it themselves do. It may
	// be nil.
	ForwardsReads func() bool
	// IsTableConfirmed reports whether this VM serves by the accepted table. A VM
	// that just started first learns the versions of its peers; until then it
	// announces none of its own, so that each peer answers with its version. nil
	// means that the table is always confirmed.
	IsTableConfirmed func() bool
	// Resync is called when a peer has other values of the accepted revision. It
	// may be nil.
	Resync func(ctx context.Context)

	mu sync.Mutex
	// announcements holds the last announcement of each peer.
	announcements map[netip.AddrPort]Announcement
	// repliedAt is when an announcement of an earlier era was last answered, by peer.
	repliedAt map[netip.AddrPort]time.Time
	// invalidVersion is the last pulled version that this VM found invalid. It is
	// not pulled again. A peer may have accepted it if it runs another software
	// release.
	invalidVersion store.Version
	// wake signals a new announcement to pullLoop.
	wake chan struct{}
	// peerReadAt is when a peer last read the platform up to a revision that is
	// accepted here, or earlier.
	peerReadAt time.Time
	// pausedAt is when the last pause of this VM was noticed.
	pausedAt time.Time
	// forwardedReadAt is the time of the newest read that was forwarded.
	forwardedReadAt time.Time
	packer          packer
}

// Announcement holds the versions that a peer last announced.
type Announcement struct {
	// Table is the accepted version, and List the revision of the VM list.
	Table store.Version
	List  uint64
	// Reads says that the peer announced a read of the platform, its own or a
	// forwarded one. Read is when that was at the earliest; zero if unknown.
	Reads bool
	Read  time.Time
}

// Run announces versions to peers and pulls from them until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	if err := event.Subscribe(ctx, r.Bus, func(event.TableAccepted) { r.announceAccepted() }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, r.Bus, func(event.ListRead) { r.announceAll() }); err != nil {
		return err
	}
	if err := event.Subscribe(ctx, r.Bus, func(event.Pause) { r.discardReads() }); err != nil {
		return err
	}
	var g sync.WaitGroup
	g.Go(func() { r.gossipLoop(ctx) })
	g.Go(func() { r.queryLoop(ctx) })
	g.Go(func() { r.pullLoop(ctx) })
	g.Wait()
	return nil
}

// Receive records the announcements of a peer. A peer with an older table or VM
// list gets an announcement in return, so that it pulls from this VM, and so does one
// that knows of no read of the platform if this VM does, so that it need not read it.
// The announcements were sent after sentAfter, zero if unknown.
func (r *Relay) Receive(sentAfter time.Time, from netip.AddrPort, ms []*peerpb.ConfigMessage) {
	for _, m := range ms {
		a := Announcement{
			Table: store.Version{Era: m.GetEra(), Revision: m.GetAccepted(), Digest: m.GetDigest()},
			List:  m.GetList(),
		}
		if n := m.GetReadAge(); n > 0 {
			a.Reads, a.Read = true, r.earliestReadTime(sentAfter, time.Duration(n-1)*time.Millisecond)
		}
		r.recordAnnouncement(from, a)
		if a.Reads {
			r.forwardRead()
		}
		older := a.Table.Compare(r.Store.Accepted()) < 0
		if (older || a.List < r.List.Revision() || !a.Reads && r.knowsRead()) && r.mayReply(from, a) {
			r.announce(from)
		}
	}
}

// mayReply reports whether to answer an announcement. A peer of an earlier era that has a
// greater revision may run a software release that does not know eras: it takes this VM's
// version for the older one and answers in turn, so that such replies are limited.
func (r *Relay) mayReply(to netip.AddrPort, a Announcement) bool {
	v := r.Store.Accepted()
	if a.Table.Era >= v.Era || a.Table.Revision <= v.Revision {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.repliedAt[to]) < minReplyInterval {
		return false
	}
	if r.repliedAt == nil {
		r.repliedAt = map[netip.AddrPort]time.Time{}
	}
	r.repliedAt[to] = now
	return true
}

// earliestReadTime returns the time at or after which a read was that had the given
// age in a message sent after sentAfter. It is zero if that is unknown, or if this VM
// was paused since sentAfter: its clock may not have counted the pause.
func (r *Relay) earliestReadTime(sentAfter time.Time, age time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sentAfter.IsZero() || !sentAfter.After(r.pausedAt) {
		return time.Time{}
	}
	return sentAfter.Add(-age)
}

// discardReads forgets the known reads of peers after a pause of this VM.
func (r *Relay) discardReads() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausedAt, r.peerReadAt = time.Now(), time.Time{}
	for p, a := range r.announcements {
		a.Reads, a.Read = false, time.Time{}
		r.announcements[p] = a
	}
}

// knowsRead reports whether this VM knows of a read of the platform.
func (r *Relay) knowsRead() bool {
	_, ok := r.LastReadAge()
	return ok
}

func (r *Relay) recordAnnouncement(from netip.AddrPort, a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announcements == nil {
		r.announcements = map[netip.AddrPort]Announcement{}
	}
	r.announcements[from] = a
	select {
	case r.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel that wakes pullLoop. r.mu must be held.
func (r *Relay) wakeChannel() chan struct{} {
	if r.wake == nil {
		r.wake = make(chan struct{}, 1)
	}
	return r.wake
}

// AnswerPull returns the values and the VM list that are newer than the
// revisions in a peer's pull request, and the values that this VM carries over.
func (r *Relay) AnswerPull(q *peerpb.PullRequest) *peerpb.PullAnswer {
	since := store.Version{Era: q.GetEra(), Revision: q.GetSince()}
	v, vs, carried := r.Store.ValuesSince(since)
	if !answersCarried(since, v) {
		carried = nil
	}
	if since.Era != v.Era {
		since = store.Version{}
	}
	a := &peerpb.PullAnswer{
		Era:      v.Era,
		Carried:  encodeCarried(carried),
		Accepted: v.Revision,
		Digest:   v.Digest,
		Values:   vs,
		Vms:      r.List.AnswerNewerThan(q.GetList()),
	}
	if !q.GetUnpacks() {
		return a
	}
	b, err := r.packer.pack(v, since.Revision, vs)
	if err != nil {
		_ = level.Warn(r.Logger).Log("msg", "Compressing values failed; sending them uncompressed.", "revision", v.Revision, "err", err)
		return a
	}
	if b != nil {
		a.Values, a.Packed = nil, b
	}
	return a
}

// CaughtUp reports whether there are answering members, all of them have announced
// their versions, and no peer is known to have a newer table or VM list.
func (r *Relay) CaughtUp() bool {
	ms := r.Members()
	return len(ms) > 0 && len(r.unannounced(ms)) == 0 && len(r.peersAhead()) == 0
}

// unannounced returns the members that have not announced their versions.
func (r *Relay) unannounced(members []netip.AddrPort) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var as []netip.AddrPort
	for _, m := range members {
		if _, ok := r.announcements[m]; !ok {
			as = append(as, m)
		}
	}
	return as
}

func (r *Relay) isTableConfirmed() bool {
	return r.IsTableConfirmed == nil || r.IsTableConfirmed()
}

func (r *Relay) announce(to netip.AddrPort) {
	r.Peers.Send(to, &peerpb.Frame{Config: []*peerpb.ConfigMessage{r.NewAnnouncement()}})
}

// NewAnnouncement returns the versions of this VM and the age of the newest read of
// the platform that it knows.
func (r *Relay) NewAnnouncement() *peerpb.ConfigMessage {
	var v store.Version
	if r.isTableConfirmed() {
		v = r.Store.Accepted()
	}
	m := &peerpb.ConfigMessage{Era: v.Era, Accepted: v.Revision, Digest: v.Digest, List: r.List.Revision()}
	if d, ok := r.LastReadAge(); ok {
		m.ReadAge = uint32(min(d.Milliseconds(), maxReadAge.Milliseconds())) + 1
	}
	return m
}

func (r *Relay) announceAll() {
	for _, m := range r.Members() {
		r.announce(m)
	}
}

// announceAccepted announces the accepted version to the members that have not announced
// the same one. Most VMs of an open fleet learn of a version from their coordinators,
// which would otherwise get it back from all of them.
func (r *Relay) announceAccepted() {
	v := r.Store.Accepted()
	for _, m := range r.Members() {
		if !r.hasAnnounced(m, v) {
			r.announce(m)
		}
	}
}

// hasAnnounced reports whether the last announcement of a peer was of the version v.
func (r *Relay) hasAnnounced(peer netip.AddrPort, v store.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.announcements[peer]
	return ok && a.Table == v
}

// PeerReadAge returns how long ago a peer last read the platform up to a
// revision that is accepted here; false if no such read is known. A read of an earlier
// era says nothing of the platform as it is now.
func (r *Relay) PeerReadAge() (time.Duration, bool) {
	v := r.Store.Accepted()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.announcements {
		if a.Reads && confirms(a.Table, v) && a.Read.After(r.peerReadAt) {
			r.peerReadAt = a.Read
		}
	}
	return time.Since(r.peerReadAt), !r.peerReadAt.IsZero()
}

// confirms reports whether a read by a VM with the version read is one up to the version
// v at the latest. A peer without a table may have no era yet.
func confirms(read, v store.Version) bool {
	return read.Compare(v) <= 0 && (read.Era == v.Era || read.Revision == 0)
}

// LastReadAge returns how long ago this VM or a peer last read the platform up
// to a revision that is accepted here; false if no such read is known or ReadAge
// is nil.
func (r *Relay) LastReadAge() (time.Duration, bool) {
	if r.ReadAge == nil {
		return 0, false
	}
	d, ok := r.ReadAge(time.Now())
	p, known := r.PeerReadAge()
	if known && (!ok || p < d) {
		return p, true
	}
	return d, ok
}

// minForwardInterval is the minimum time between two reads that are forwarded.
const minForwardInterval = 500 * time.Millisecond

// forwardRead announces the newest known read of a peer to all members, if
// ForwardsReads says so. The members of a coordinator may not be connected to
// the VM that reads the platform.
func (r *Relay) forwardRead() {
	if r.ForwardsReads == nil || !r.ForwardsReads() {
		return
	}
	d, ok := r.PeerReadAge()
	read := time.Now().Add(-d)
	r.mu.Lock()
	due := ok && read.Sub(r.forwardedReadAt) >= minForwardInterval
	if due {
		r.forwardedReadAt = read
	}
	r.mu.Unlock()
	if due {
		r.announceAll()
	}
}

// AnnounceRead announces to all members that this VM has read the platform.
func (r *Relay) AnnounceRead() {
	r.announceAll()
}

// queryLoop announces to members whose versions are not known, so that they answer
// with them, until the table is confirmed. A member may begin to answer, or its
// announcement may be lost, at any time after the start.
func (r *Relay) queryLoop(ctx context.Context) {
	for !r.isTableConfirmed() {
		for _, m := range r.unannounced(r.Members()) {
			r.announce(m)
		}
		if !timer.Sleep(ctx, queryInterval) {
			return
		}
	}
}

// gossipLoop periodically announces to a random member, in case an earlier
// announcement was lost, and drops the announcements of former members.
func (r *Relay) gossipLoop(ctx context.Context) {
	for timer.Sleep(ctx, gossipInterval/2+rand.N(gossipInterval)) {
		ms := r.Members()
		r.dropNonMembers(ms)
		if len(ms) > 0 {
			r.announce(ms[rand.IntN(len(ms))])
		}
	}
}

// dropNonMembers removes the announcements of peers that are not members.
func (r *Relay) dropNonMembers(members []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.announcements {
		if !slices.Contains(members, p) {
			delete(r.announcements, p)
			delete(r.repliedAt, p)
		}
	}
}

// Register adds the relay's metrics.
func (r *Relay) Register(m prometheus.Registerer) {
	m.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lentilbend_platform_read_age_seconds",
		Help: "Time since this VM or a peer last read the platform up to an accepted revision; NaN if unknown.",
	}, func() float64 {
		d, ok := r.LastReadAge()
		if !ok {
			return math.NaN()
		}
		return d.Seconds()
	}))
}

// Dump returns the last announcement of each peer.
func (r *Relay) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := map[string]Announcement{}
	for p, a := range r.announcements {
		d[p.String()] = a
	}
	return d
}
