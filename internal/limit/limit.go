// Package limit enforces limits that hold over all entry VMs together: token
// buckets and limits on concurrent requests.
//
// Each VM has a share of every limit. It uses the share itself or delegates
// pieces of it to the limit's owner, a VM chosen by rendezvous hashing, which
// grants tokens to VMs that request them. Each piece of a limit is usable by
// only one VM at a time, so no token is spent twice when messages are lost,
// delayed or duplicated. The package does no I/O: it keeps its state in memory
// and passes outgoing messages to a callback.
package limit

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/member"
)

// MaxDelegationTime is the longest time for which a delegation, or a token of a
// rate, remains usable after the delegator's share changed.
const MaxDelegationTime = 5 * time.Second

// Kind tells what a limit counts.
type Kind int

// Kinds of limits. Rate, Probe and Cold are token buckets that refill over time:
// for requests, for probes of a service and for requests to a cold server.
// Running limits concurrent requests, whose permits are returned.
const (
	Rate Kind = iota + 1
	Running
	Probe
	Cold
)

// Key identifies a limit.
type Key struct {
	Kind      Kind
	Service   string
	Workspace string
	Server    netip.AddrPort
}

// Spec is the configuration of a limit in the table. Token buckets use Rate
// (tokens per second) and Burst (tokens); Running limits use Permits.
type Spec struct {
	Key     Key
	Rate    float64
	Burst   float64
	Permits int
	// MaxHoldTime is the longest time that a permit of a Running limit is held;
	// 0 means Fleet.MaxRunTime.
	MaxHoldTime time.Duration
}

// Answer is Granted or Refused.
type Answer interface {
	answer()
}

// Granted means that the token or permit may be used at once. A permit is
// returned with Fleet.Return, which takes this value.
type Granted struct {
	// fromOwner is set for a permit that the limit's owner granted.
	fromOwner bool
}

// Refused means that no token or permit is available.
type Refused struct {
	// RetryAfter is the time until one may be available; 0 if unknown.
	RetryAfter time.Duration
	// Unready is set if no VM with a usable share of the limit was reachable, so
	// the refusal does not mean that the caller exceeded its limit.
	Unready bool
}

func (Granted) answer() {}
func (Refused) answer() {}

// limitsConcurrency reports whether the kind limits concurrent requests, whose
// permits are returned, rather than a rate.
func (k Kind) limitsConcurrency() bool {
	return k == Running
}

// delegatedWithoutDemand reports whether shares of the kind are delegated even
// while the limit is unused, so that the first request finds tokens at the owner.
func (k Kind) delegatedWithoutDemand() bool {
	return k == Rate || k == Running || k == Probe
}

// id returns the hash that identifies the limit in messages.
func (k Key) id() uint32 {
	h := xxhash.New()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(k.Kind))
	_, _ = h.Write(b[:])
	for _, s := range []string{k.Service, k.Workspace, k.Server.String()} {
		binary.LittleEndian.PutUint64(b[:], uint64(len(s)))
		_, _ = h.Write(b[:])
		_, _ = h.WriteString(s)
	}
	return uint32(h.Sum64())
}

// ownerScore returns the rendezvous hash of a VM for a limit. It does not depend
// on the incarnation, so that a VM that restarts owns the same limits.
func ownerScore(limit uint32, a netip.AddrPort) uint64 {
	var b [22]byte
	binary.LittleEndian.PutUint32(b[:], limit)
	p := a.Addr().As16()
	copy(b[4:], p[:])
	binary.LittleEndian.PutUint16(b[20:], a.Port())
	return xxhash.Sum64(b[:])
}

// pickOwner returns the candidate with the highest score.
func pickOwner(limit uint32, candidates []member.ID) (member.ID, bool) {
	var best member.ID
	var top uint64
	for i, c := range candidates {
		if s := ownerScore(limit, c.Address); i == 0 || s > top {
			best, top = c, s
		}
	}
	return best, len(candidates) > 0
}
