package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/timer"

	"lentilbend.example/lentilbend/internal/store"
)

// pullLoop runs catchUp after announcements until ctx ends.
func (r *Relay) pullLoop(ctx context.Context) {
	r.mu.Lock()
	w := r.wakeChannel()
	r.mu.Unlock()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-w:
		}
		r.catchUp(ctx)
	}
}

// maxConcurrentPulls is how many peers are pulled from at the same time.
const maxConcurrentPulls = 3

// catchUp pulls from random peers until none is known to have a newer version or
// VM list. If a peer has other values of the same revision, it first calls
// Resync. A pull that takes longer than PullHedgeDelay goes on beside one from another
// peer, since the peer may have stopped or this VM's link may be slow. If too many run,
// the oldest one is given up for another peer.
func (r *Relay) catchUp(ctx context.Context) {
	if r.dropConflicting() && r.Resync != nil {
		r.Resync(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running []runningPull
	ended := make(chan netip.AddrPort)
	for len(r.peersAhead()) > 0 {
		if !timer.Sleep(ctx, r.pullDelay()) {
			return
		}
		ps := slices.DeleteFunc(r.peersAhead(), func(p netip.AddrPort) bool {
			return slices.ContainsFunc(running, func(u runningPull) bool { return u.peer == p })
		})
		if len(ps) > 0 {
			if len(running) == maxConcurrentPulls {
				running[0].cancel()
				r.dropAnnouncement(running[0].peer)
				running = running[1:]
			}
			running = append(running, r.startPull(ctx, ps[rand.IntN(len(ps))], ended))
		}
		if len(running) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case p := <-ended:
			running = slices.DeleteFunc(running, func(u runningPull) bool { return u.peer == p })
		case <-time.After(r.pullHedgeDelay()):
		}
	}
}

// runningPull is a pull from a peer in progress.
type runningPull struct {
	peer   netip.AddrPort
	cancel context.CancelFunc
}

// startPull starts a pull from a peer and sends the peer to ended when it has ended,
// unless ctx ends before.
func (r *Relay) startPull(ctx context.Context, p netip.AddrPort, ended chan<- netip.AddrPort) runningPull {
	pullCtx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		r.pullOrDrop(pullCtx, p)
		if pullCtx.Err() != nil {
			return
		}
		select {
		case ended <- p:
		case <-ctx.Done():
		}
	}()
	return runningPull{peer: p, cancel: cancel}
}

// pullHedgeDelay returns PullHedgeDelay, or its default.
func (r *Relay) pullHedgeDelay() time.Duration {
	if r.PullHedgeDelay == 0 {
		return maxPullTime
	}
	return r.PullHedgeDelay
}

// pullDelay returns the random delay before a pull. It is 0 while there is no
// table, since all requests are refused until then.
func (r *Relay) pullDelay() time.Duration {
	if r.Store.Table() == nil {
		return 0
	}
	return rand.N(maxPullDelay)
}

// peersAhead returns the peers that announced a newer table or VM list, or that may
// carry over values that this VM does not have. A table version already found invalid
// does not count.
func (r *Relay) peersAhead() []netip.AddrPort {
	v, l, lacks := r.Store.Accepted(), r.List.Revision(), r.Store.LacksCarried()
	r.mu.Lock()
	defer r.mu.Unlock()
	var ps []netip.AddrPort
	for p, a := range r.announcements {
		newer := a.Table.Compare(v) > 0 && a.Table != r.invalidVersion
		carries := v.Era > 0 && (lacks && a.Table.Era == v.Era || a.Table.IsSameRevision(v) && a.Table.Digest != v.Digest)
		if newer || carries || a.List > l {
			ps = append(ps, p)
		}
	}
	return ps
}

// dropConflicting removes the announcements of peers that have other values of
// the accepted revision, and reports whether there were any. If the platform counts
// eras, such a peer carries over other values, which are pulled instead.
func (r *Relay) dropConflicting() bool {
	v := r.Store.Accepted()
	r.mu.Lock()
	defer r.mu.Unlock()
	found := false
	for p, a := range r.announcements {
		if v.Era == 0 && a.Table.IsSameRevision(v) && a.Table.Digest != v.Digest {
			delete(r.announcements, p)
			found = true
		}
	}
	return found
}

func (r *Relay) dropAnnouncement(p netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.announcements, p)
}

// pullOrDrop pulls from a peer, and drops its announcement if that fails.
func (r *Relay) pullOrDrop(ctx context.Context, p netip.AddrPort) {
	err := r.pull(ctx, p)
	if err == nil || ctx.Err() != nil {
		return
	}
	_ = level.Warn(r.Logger).Log("msg", "Pulling values and VM list from a peer failed.", "peer", p, "err", err)
	r.dropAnnouncement(p)
}

// pull pulls newer values and a newer VM list from a peer and applies them. If
// the changed values cannot be applied to those held here, it pulls all values;
// if these cannot be applied either, it drops the peer's announcement.
func (r *Relay) pull(ctx context.Context, p netip.AddrPort) error {
	v := r.Store.Accepted()
	if r.Store.LacksCarried() {
		v.Revision = 0
	}
	ok, err := r.pullSince(ctx, p, v)
	if err != nil || ok {
		return err
	}
	if ok, err = r.pullSince(ctx, p, store.Version{Era: v.Era}); err != nil || ok {
		return err
	}
	r.dropAnnouncement(p)
	return nil
}

// pullSince pulls the values that changed after a version, and reports whether
// they could be applied. All values come if the peer has another era.
func (r *Relay) pullSince(ctx context.Context, p netip.AddrPort, since store.Version) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, maxPullTime)
	defer cancel()
	q := &peerpb.PullRequest{Era: since.Era, Since: since.Revision, List: r.List.Revision(), Unpacks: true}
	a, err := r.Peers.Pull(ctx, p, q)
	if err != nil {
		return false, err
	}
	vs, err := unpackValues(a)
	if err != nil {
		return false, err
	}
	if a.GetVms() != nil {
		r.List.Apply(a.GetVms())
	}
	carried := decodeCarried(a.GetCarried())
	v := store.Version{Era: a.GetEra(), Revision: a.GetAccepted(), Digest: a.GetDigest()}
	announced := v
	announced.Digest = store.AnnouncedDigest(v.Digest, carried)
	complete := answersCarried(since, v)
	if since.Era != v.Era {
		since.Revision = 0
	}
	ok := r.Store.ApplyPeer(since.Revision, v, vs, carried)
	accepted := r.Store.Accepted()
	if ok && !complete && v.Era > 0 && accepted.IsSameRevision(v) {
		// What the peer carries over was not sent; its next announcement tells.
		announced = accepted
	}
	r.recordAnnouncement(p, Announcement{Table: announced, List: max(a.GetVms().GetRevision(), q.GetList())})
	if ok && accepted.Compare(v) < 0 {
		r.setInvalidVersion(announced)
	}
	if ok && accepted.IsSameRevision(v) && accepted.Digest != announced.Digest && v.Era > 0 {
		// What this VM carries over is newer; the peer pulls it in turn.
		r.dropAnnouncement(p)
		r.announce(p)
	}
	return ok, nil
}

func (r *Relay) setInvalidVersion(v store.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalidVersion = v
}
