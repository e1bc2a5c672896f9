package member

import (
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/peerpb"
)

// Defaults of Node's settings.
const (
	DefaultPromise    = 20 * time.Second
	DefaultListAge    = 10 * time.Second
	DefaultLoanMax    = 2 * time.Second
	DefaultRunningMax = time.Minute
	DefaultOutage     = time.Hour
	DefaultDrift      = 0.01
)

// retry is the time between requests to a VM that does not answer.
const retry = time.Second

// Share is the part of every fleet-wide limit that this VM may use by itself.
type Share struct {
	// Count is the number of VMs counted: the own part of a rate is 1/Count.
	Count int
	// RunningCount is the same for limits on requests running at once. It is
	// at least Count, since a VM is forgotten later for these.
	RunningCount int
	// Usable says that the own part of rates may be used before Until.
	Usable bool
	// RunningUsable says the same of limits on requests running at once.
	RunningUsable bool
	Until         time.Time
	// Epoch grows whenever Count or RunningCount changes.
	Epoch uint64
}

// Member is a VM that is counted.
type Member struct {
	ID         ID
	DataCentre string
	// Answering says that its promise to this VM runs.
	Answering bool
	// Leaving says that it began a planned stop.
	Leaving bool
}

// VM is an entry VM in the platform's list.
type VM struct {
	Address    netip.AddrPort
	DataCentre string
	Leaving    bool
}

// Send is a message to a VM. The incarnation is 0 while it is unknown.
type Send struct {
	To      ID
	Message *peerpb.MemberMessage
}

// Node is this VM's part in the membership. Set the exported fields before
// use. It is not safe for concurrent use.
type Node struct {
	Self       ID
	DataCentre string
	// Promise is how long a promise to count a VM runs.
	Promise time.Duration
	// ListAge is the age above which an answer of the platform's list is
	// taken to be impossible. Where it is wrong, see docs/design/membership.md.
	ListAge time.Duration
	// LoanMax is the longest validity of a loan or token of a share.
	LoanMax time.Duration
	// RunningMax is the longest deadline of a request.
	RunningMax time.Duration
	// Outage is how long most of the fleet goes on without a readable list
	// when a VM does not answer.
	Outage time.Duration
	// Drift bounds how much a clock's rate is off, as a part of 1.
	Drift float64
	// RunningUntil returns the latest deadline of the work running here.
	RunningUntil func(now time.Time) time.Time

	started  time.Time
	last     time.Time
	sequence uint64
	peers    map[netip.AddrPort]*peer
	// order holds the same peers in the order of addresses.
	order []*peer
	// gone holds processes that released their share or were replaced, and
	// until when to remember that.
	gone map[ID]time.Time
	// ghosts holds processes counted for running requests only, and until when.
	ghosts map[ID]time.Time
	// missed holds processes that were forgotten without a majority, and until
	// when a majority still counts them.
	missed map[ID]time.Time
	list   list

	// standing says that this VM is known to all that use a share. It is kept
	// without a gap and regained only with a promise of every counted VM.
	standing bool
	until    time.Time
	lostAt   time.Time
	// stood says that this VM once had standing; forgot that it has forgotten
	// a VM since it lost it.
	stood, forgot bool
	// useFrom and runningFrom are from when the own part may be used, as far
	// as ended processes matter.
	useFrom, runningFrom time.Time
	used                 time.Time
	leaving              bool
	released             time.Time
	share                Share
	selfHash             uint64
	digest               uint64
	outrun               uint64
}

// list is the last own read of the platform's list.
type list struct {
	sent     time.Time
	revision uint64
	vms      map[netip.AddrPort]VM
	self     bool
	// lower is since when all answers had a lower revision.
	lower time.Time
}

// peer is what is known of another VM.
type peer struct {
	id ID
	// hash is the ID's part of a digest.
	hash    uint64
	centre  string
	leaving bool
	// counted says that the VM is counted until there is evidence that it
	// ended; derived that it is counted as long as others do.
	counted, derived bool
	// loanFree and runningFree are when all loans and all requests of the time
	// before this VM was counted have ended.
	loanFree, runningFree time.Time
	// granted is when the promise to the VM ends; zero when none was given.
	granted time.Time
	// held is when the VM's promise ends; needless is until when none is
	// needed, because the VM cannot have a share yet.
	held, needless time.Time
	// probed is until when the VM counts as answering a probe.
	probed time.Time
	// told says that the VM knows that this one is listed, or knows nothing of
	// that; untold is the last request that said that it is not.
	told   bool
	untold uint64
	// asked and listed are the Request and the Listed of its newest request.
	asked, listed uint64
	// useFrom and runningFrom are from when the VM's promise lets this VM use
	// its own part.
	useFrom, runningFrom time.Time
	standing             bool
	known, heard         time.Time
	// absent is since when own reads did not show the VM.
	absent time.Time
	// dropAt and runningUntil are set when the VM releases its share.
	dropAt, runningUntil time.Time
	seen                 uint64
	view                 []ID
	pending              []request
	next                 time.Time
}

// request is a request for a promise that may still be answered.
type request struct {
	sequence uint64
	sent     time.Time
	digest   uint64
	listed   bool
	probe    bool
}

// pendingLimit is how many requests to one VM may still be answered.
const pendingLimit = 4

// foundingWait is how long after its start a VM waits for others that count
// it, before it takes the list's word that nobody has a share.
const foundingWait = 2 * time.Second

// keep is how long after the sending of an own read that shows this VM it goes
// on without the promises of VMs that do not answer.
func (n *Node) keep() time.Duration {
	return n.Promise / 2
}

// begin fills in what is unset.
func (n *Node) begin(now time.Time) {
	if !n.started.IsZero() {
		return
	}
	n.started = now
	n.peers = map[netip.AddrPort]*peer{}
	n.gone = map[ID]time.Time{}
	n.ghosts = map[ID]time.Time{}
	n.missed = map[ID]time.Time{}
	n.selfHash = hash(n.Self)
	n.digest = n.selfHash
}

// longer returns d as this VM must wait it so that no VM's clock sees less.
func (n *Node) longer(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + n.Drift))
}

// shorter returns d as this VM must stop so that no VM's clock sees more.
func (n *Node) shorter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - n.Drift))
}

// Tick ends what has run out, and returns the requests that are due.
func (n *Node) Tick(now time.Time) []Send {
	n.begin(now)
	n.settle(now)
	return n.due(now)
}

// Pause puts every promise in doubt: the process did not run for a while, and
// its clock may have stood still.
func (n *Node) Pause(now time.Time) {
	n.begin(now)
	for _, p := range n.order {
		p.held, p.needless, p.probed, p.next = time.Time{}, time.Time{}, time.Time{}, time.Time{}
		p.pending = nil
	}
	n.lose(now)
	n.settle(now)
}

// Leave releases the own share for good, and returns the messages that say so.
func (n *Node) Leave(now time.Time) []Send {
	n.begin(now)
	n.lose(now)
	if !n.leaving {
		n.leaving = true
		n.released = now
		for _, p := range n.order {
			p.next = now
		}
	}
	n.settle(now)
	return n.due(now)
}

// Share returns the own share.
func (n *Node) Share(now time.Time) Share {
	n.begin(now)
	n.settle(now)
	return n.share
}

// Latest returns the own share as of the last call.
func (n *Node) Latest() Share {
	return n.share
}

// lose ends the standing.
func (n *Node) lose(now time.Time) {
	if n.standing {
		n.standing = false
		n.forgot = false
		n.lostAt = now
	}
}

// add makes a process known, in the place of one before at its address.
func (n *Node) add(p *peer) {
	p.hash, p.told = hash(p.id), true
	o := n.peers[p.id.Address]
	n.peers[p.id.Address] = p
	if o != nil {
		n.order[slices.Index(n.order, o)] = p
		return
	}
	i, _ := slices.BinarySearchFunc(n.order, p, comparePeers)
	n.order = slices.Insert(slices.Clone(n.order), i, p)
}

// remove ends knowing a process.
func (n *Node) remove(p *peer) {
	delete(n.peers, p.id.Address)
	i := slices.Index(n.order, p)
	n.order = slices.Delete(slices.Clone(n.order), i, i+1)
}

func comparePeers(a, b *peer) int {
	return a.id.Address.Compare(b.id.Address)
}
