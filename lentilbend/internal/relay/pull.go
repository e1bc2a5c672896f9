package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/timer"

	"lentilbend.example/lentilbend/internal/store"
)

func (r *Relay) pulls(ctx context.Context) {
	r.mu.Lock()
	w := r.wakeup()
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

// catchUp pulls until no peer is known to have more.
func (r *Relay) catchUp(ctx context.Context) {
	if r.conflict() && r.Resync != nil {
		r.Resync(ctx)
	}
	for len(r.ahead()) > 0 && timer.Sleep(ctx, r.wait()) {
		ps := r.ahead()
		if len(ps) == 0 {
			return
		}
		p := ps[rand.IntN(len(ps))]
		if err := r.pull(ctx, p); err != nil {
			_ = level.Warn(r.Logger).Log("msg", "Pull failed.", "peer", p, "err", err)
			r.forget(p)
		}
	}
}

// wait returns how long to wait before a pull: not at all while callers are
// turned away for want of a table.
func (r *Relay) wait() time.Duration {
	if r.Store.Table() == nil {
		return 0
	}
	return rand.N(spread)
}

// ahead returns the peers that have a newer table or list.
func (r *Relay) ahead() []netip.AddrPort {
	v, l := r.Store.Accepted(), r.List.Revision()
	r.mu.Lock()
	defer r.mu.Unlock()
	var ps []netip.AddrPort
	for p, a := range r.heard {
		newer := a.Table.Revision > v.Revision && a.Table != r.invalid
		if newer || a.List > l {
			ps = append(ps, p)
		}
	}
	return ps
}

// conflict tells whether a peer holds other values of the revision held here,
// and forgets what that peer announced.
func (r *Relay) conflict() bool {
	v := r.Store.Accepted()
	r.mu.Lock()
	defer r.mu.Unlock()
	found := false
	for p, a := range r.heard {
		if a.Table.Revision == v.Revision && a.Table.Digest != v.Digest {
			delete(r.heard, p)
			found = true
		}
	}
	return found
}

func (r *Relay) forget(p netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.heard, p)
}

// pull takes what the peer has newer. Values that do not fit are asked for
// whole.
func (r *Relay) pull(ctx context.Context, p netip.AddrPort) error {
	ok, err := r.pullSince(ctx, p, r.Store.Accepted().Revision)
	if err != nil || ok {
		return err
	}
	if ok, err = r.pullSince(ctx, p, 0); err != nil || ok {
		return err
	}
	r.forget(p)
	return nil
}

func (r *Relay) pullSince(ctx context.Context, p netip.AddrPort, since uint64) (bool, error) {
	t := r.PullTimeout
	if t == 0 {
		t = pullTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, t)
	defer cancel()
	q := &peerpb.PullRequest{Since: since, List: r.List.Revision(), Unpacks: true}
	a, err := r.Peers.Pull(ctx, p, q)
	if err != nil {
		return false, err
	}
	vs, err := values(a)
	if err != nil {
		return false, err
	}
	if a.GetVms() != nil {
		r.List.Apply(a.GetVms())
	}
	v := store.Version{Revision: a.GetAccepted(), Digest: a.GetDigest()}
	r.note(p, Announced{Table: v, List: max(a.GetVms().GetRevision(), q.GetList())})
	ok := r.Store.ApplyPeer(since, v, vs)
	if ok && r.Store.Accepted().Revision < v.Revision {
		r.setInvalid(v)
	}
	return ok, nil
}

func (r *Relay) setInvalid(v store.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalid = v
}
