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

// peersAhead returns the peers that announced a newer table or VM list. A table
// version already found invalid does not count.
func (r *Relay) peersAhead() []netip.AddrPort {
	v, l := r.Store.Accepted(), r.List.Revision()
	r.mu.Lock()
	defer r.mu.Unlock()
	var ps []netip.AddrPort
	for p, a := range r.announcements {
		newer := a.Table.Revision > v.Revision && a.Table != r.invalidVersion
		if newer || a.List > l {
			ps = append(ps, p)
		}
	}
	return ps
}

// dropConflicting removes the announcements of peers that have other values of
// the accepted revision, and reports whether there were any.
func (r *Relay) dropConflicting() bool {
	v := r.Store.Accepted()
	r.mu.Lock()
	defer r.mu.Unlock()
	found := false
	for p, a := range r.announcements {
		if a.Table.Revision == v.Revision && a.Table.Digest != v.Digest {
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
	ok, err := r.pullSince(ctx, p, r.Store.Accepted().Revision)
	if err != nil || ok {
		return err
	}
	if ok, err = r.pullSince(ctx, p, 0); err != nil || ok {
		return err
	}
	r.dropAnnouncement(p)
	return nil
}

// pullSince pulls the values that changed after a revision, and reports whether
// they could be applied.
func (r *Relay) pullSince(ctx context.Context, p netip.AddrPort, since uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, maxPullTime)
	defer cancel()
	q := &peerpb.PullRequest{Since: since, List: r.List.Revision(), Unpacks: true}
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
	v := store.Version{Revision: a.GetAccepted(), Digest: a.GetDigest()}
	r.recordAnnouncement(p, Announcement{Table: v, List: max(a.GetVms().GetRevision(), q.GetList())})
	ok := r.Store.ApplyPeer(since, v, vs)
	if ok && r.Store.Accepted().Revision < v.Revision {
		r.setInvalidVersion(v)
	}
	return ok, nil
}

func (r *Relay) setInvalidVersion(v store.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalidVersion = v
}
