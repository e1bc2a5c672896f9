package member

import (
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/peerpb"
)

// Defaults of Node's settings.
const (
	DefaultLeaseDuration     = 20 * time.Second
	DefaultMaxListAge        = 10 * time.Second
	DefaultMaxDelegationTime = 2 * time.Second
	DefaultMaxRequestTime    = time.Minute
	DefaultMaxListOutage     = time.Hour
	DefaultMaxClockDrift     = 0.01
)

// retryInterval is the time between requests to a VM that does not answer.
const retryInterval = time.Second

// Share is the part of every fleet-wide limit that this VM may use itself.
type Share struct {
	// Count is the number of counted VMs, this one included. The share of a
	// rate limit is 1/Count.
	Count int
	// RunningCount is the same for limits on running requests. It is at
	// least Count, since it includes tombstones.
	RunningCount int
	// Usable reports whether the share of rate limits may be used before Until.
	Usable bool
	// RunningUsable is the same for limits on running requests.
	RunningUsable bool
	Until         time.Time
	// Epoch increases whenever Count or RunningCount changes.
	Epoch uint64
}

// Member is a counted VM.
type Member struct {
	ID         ID
	DataCentre string
	// Answering reports whether this VM holds a valid lease from it.
	Answering bool
	// Leaving reports whether it began a graceful shutdown.
	Leaving bool
}

// VM is an entry VM in the platform's list.
type VM struct {
	Address    netip.AddrPort
	DataCentre string
	Leaving    bool
}

// Envelope is a message with its receiver, whose incarnation is 0 while
// unknown.
type Envelope struct {
	To      ID
	Message *peerpb.MemberMessage
}

// Node runs the membership protocol for this VM. Set the exported fields before
// use. It is not safe for concurrent use.
type Node struct {
	Self       ID
	DataCentre string
	// LeaseDuration is how long a lease is valid.
	LeaseDuration time.Duration
	// MaxListAge is the age that an answer of the platform's list is assumed
	// never to exceed. docs/design/membership.md says what happens if it does.
	MaxListAge time.Duration
	// MaxDelegationTime is the longest validity of a delegated share or a
	// granted token.
	MaxDelegationTime time.Duration
	// MaxRequestTime bounds how long after a VM's end a request may run under
	// its share: the longest time from a request's start to its deadline, plus
	// MaxDelegationTime where that share is delegated.
	MaxRequestTime time.Duration
	// MaxListOutage is how long a majority of the fleet stays active without a
	// readable list while a VM does not answer.
	MaxListOutage time.Duration
	// MaxClockDrift is the greatest rate error of a clock, as a fraction.
	MaxClockDrift float64
	// LatestDeadline returns the latest time until which requests may run under
	// this VM's share. It may be nil if there are none to wait for.
	LatestDeadline func(now time.Time) time.Time

	started    time.Time
	lastUpdate time.Time
	// sequence is the number of the last request sent.
	sequence uint64
	peers    map[netip.AddrPort]*peer
	// order holds the same peers ordered by address.
	order []*peer
	// ended holds processes that released their share or were replaced, and
	// until when to remember that.
	ended map[ID]time.Time
	// tombstones holds the ended processes that still count for limits on
	// running requests, and until when.
	tombstones map[ID]time.Time
	// unconfirmedDrops holds processes that may have been dropped without the
	// agreement of a majority, and until when majorityUntil counts them as
	// members that give no lease.
	unconfirmedDrops map[ID]time.Time
	list             listRead

	// active reports whether all VMs that use a share count this one. It holds
	// until activeUntil, which renewed leases move forward. To become active
	// again, this VM needs a valid lease from every counted VM.
	active        bool
	activeUntil   time.Time
	inactiveSince time.Time
	// wasActive reports whether this VM has ever been active;
	// droppedWhileInactive whether it has dropped a VM since it last was.
	wasActive, droppedWhileInactive bool
	// rateUsableFrom and runningUsableFrom are the earliest times at which the
	// share may be used as far as ended processes matter.
	rateUsableFrom, runningUsableFrom time.Time
	lastUsable                        time.Time
	leaving                           bool
	releasedAt                        time.Time
	share                             Share
	selfHash                          uint64
	digest                            uint64
	// newerIncarnation is a greater incarnation that other VMs know at this
	// address, or 0.
	newerIncarnation uint64
}

// listRead is the last accepted read of the platform's list by this VM.
type listRead struct {
	sentAt   time.Time
	revision uint64
	vms      map[netip.AddrPort]VM
	hasSelf  bool
	// lowerSince is the time since which all answers had a lower revision.
	lowerSince time.Time
}

// peer is the state kept about another VM.
type peer struct {
	id ID
	// hash is the hash of id, which is part of this VM's digest while the peer is
	// counted.
	hash       uint64
	dataCentre string
	leaving    bool
	// counted means that the VM is counted until there is evidence that it
	// ended; provisional that updateProvisional counted it. While this VM is
	// inactive, provisional is determined anew at each update.
	counted, provisional bool
	// rateClearAt and runningClearAt are the times by which all delegations
	// and all requests have ended that began before this VM counted the peer,
	// when this VM's share was larger.
	rateClearAt, runningClearAt time.Time
	// grantedUntil is the expiry of the lease that this VM gave the peer; zero
	// if it gave none.
	grantedUntil time.Time
	// heldUntil is the expiry of the lease that the peer gave this VM. Until
	// exemptUntil none is needed, because the peer cannot have a share yet.
	heldUntil, exemptUntil time.Time
	// probeValidUntil is until when the peer counts as answering because it
	// answered a probe.
	probeValidUntil time.Time
	// knowsListed is true at first, although the peer knows nothing yet. It is
	// false once the peer may know from a request that the list does not contain
	// this VM: the peer may then drop this VM as soon as the lease has expired.
	// The answer to a later request that says the contrary makes it true again.
	// lastUnlistedRequest is the number of the last request that said that the
	// list does not contain this VM.
	knowsListed         bool
	lastUnlistedRequest uint64
	// lastRequest and listedRevision are Request and Listed of the newest
	// message by which the peer requested a lease. listedRevision is 1 more
	// than the list's revision; 0 if the peer is not listed.
	lastRequest, listedRevision uint64
	// rateUsableFrom and runningUsableFrom are the earliest times at which the
	// peer's lease lets this VM use its share.
	rateUsableFrom, runningUsableFrom time.Time
	active                            bool
	// knownAt is when the peer was added or last seeded; lastContact when its
	// last message arrived or a stream to it opened.
	knownAt, lastContact time.Time
	// absentSince is the time since which this VM's reads of the list have not
	// contained the peer.
	absentSince time.Time
	// dropAt and runningUntil are set when the peer releases its share or
	// another VM says that it ended: when to stop counting it, and when its last
	// request ends.
	dropAt, runningUntil time.Time
	// view holds the VMs that the peer counts; viewDigest is its digest.
	viewDigest    uint64
	view          []ID
	pending       []request
	nextRequestAt time.Time
}

// request is a sent request for a lease, or a probe, that may still be answered.
type request struct {
	sequence uint64
	sentAt   time.Time
	// digest is this VM's digest in the request; listed whether the request
	// said that the list contains this VM.
	digest uint64
	listed bool
	probe  bool
}

// maxPendingRequests is the number of requests to one VM that may await an
// answer.
const maxPendingRequests = 4

// bootstrapDelay is how long after its start a VM waits for others that count
// it, before it concludes from the list that no VM has a share.
const bootstrapDelay = 2 * time.Second

// listGrace is how long this VM stays active without the leases of VMs that do
// not answer, from the time at which it sent a read of the list that contains it.
func (n *Node) listGrace() time.Duration {
	return n.LeaseDuration / 2
}

// initialize sets up the state at the first call.
func (n *Node) initialize(now time.Time) {
	if !n.started.IsZero() {
		return
	}
	n.started = now
	n.peers = map[netip.AddrPort]*peer{}
	n.ended = map[ID]time.Time{}
	n.tombstones = map[ID]time.Time{}
	n.unconfirmedDrops = map[ID]time.Time{}
	n.selfHash = hashID(n.Self)
	n.digest = n.selfHash
}

// extendForDrift returns the time to wait by this VM's clock so that at least d
// passes on every VM's clock.
func (n *Node) extendForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + n.MaxClockDrift))
}

// shortenForDrift returns the time after which this VM must stop by its own
// clock so that at most d passes on any VM's clock.
func (n *Node) shortenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - n.MaxClockDrift))
}

// Tick expires what is due at now, and returns the messages to send.
func (n *Node) Tick(now time.Time) []Envelope {
	n.initialize(now)
	n.update(now)
	return n.dueMessages(now)
}

// HandlePause discards all leases held, since the process did not run for a
// while and its clock may have stood still.
func (n *Node) HandlePause(now time.Time) {
	n.initialize(now)
	for _, p := range n.order {
		p.heldUntil, p.exemptUntil, p.probeValidUntil, p.nextRequestAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
		p.pending = nil
	}
	n.deactivate(now)
	n.update(now)
}

// Leave releases this VM's share for good, and returns the messages that
// announce it.
func (n *Node) Leave(now time.Time) []Envelope {
	n.initialize(now)
	n.deactivate(now)
	if !n.leaving {
		n.leaving = true
		n.releasedAt = now
		for _, p := range n.order {
			p.nextRequestAt = now
		}
	}
	n.update(now)
	return n.dueMessages(now)
}

// Share returns this VM's share at now.
func (n *Node) Share(now time.Time) Share {
	n.initialize(now)
	n.update(now)
	return n.share
}

// LastShare returns this VM's share as of the last call of another method.
func (n *Node) LastShare() Share {
	return n.share
}

// deactivate makes this VM inactive.
func (n *Node) deactivate(now time.Time) {
	if n.active {
		n.active = false
		n.droppedWhileInactive = false
		n.inactiveSince = now
	}
}

// addPeer adds a process, in place of an earlier one at the same address.
func (n *Node) addPeer(p *peer) {
	p.hash, p.knowsListed = hashID(p.id), true
	o := n.peers[p.id.Address]
	n.peers[p.id.Address] = p
	if o != nil {
		n.order[slices.Index(n.order, o)] = p
		return
	}
	i, _ := slices.BinarySearchFunc(n.order, p, comparePeers)
	n.order = slices.Insert(slices.Clone(n.order), i, p)
}

// removePeer deletes the state kept about a process.
func (n *Node) removePeer(p *peer) {
	delete(n.peers, p.id.Address)
	i := slices.Index(n.order, p)
	n.order = slices.Delete(slices.Clone(n.order), i, i+1)
}

func comparePeers(a, b *peer) int {
	return a.id.Address.Compare(b.id.Address)
}
