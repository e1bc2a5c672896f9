// Package limit keeps limits that hold over all entry VMs together: rates with
// a burst, and numbers of requests at once.
//
// Each VM owns a share of every limit. It uses the share itself, or lends it to
// the limit's home, a VM chosen by rendezvous hashing, which gives tokens to
// those that ask. Every part of a limit is used by one VM at a time, so that a
// token is never used twice whatever is lost, late or repeated. The package
// does no I/O; it works on limits in memory and hands out messages.
package limit

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilbend.example/internal/member"
)

// LoanMax is the longest time for which a loan or a token of a rate may be
// used after the lender's share changed.
const LoanMax = 5 * time.Second

// Kind tells what a limit counts.
type Kind int

// Kinds of limits. Rate, Probe and Cold count tokens that come back with time,
// Running counts units that are returned.
const (
	Rate Kind = iota + 1
	Running
	Probe
	Cold
)

// Key names a limit.
type Key struct {
	Kind      Kind
	Service   string
	Workspace string
	Server    netip.AddrPort
}

// Spec is what the table says of a limit. Kinds that come back with time use
// Rate (tokens a second) and Burst (tokens), the others Units.
type Spec struct {
	Key   Key
	Rate  float64
	Burst float64
	Units int
	// Longest is the longest time that a unit of a Running limit is held; 0
	// stands for Fleet.RunMax.
	Longest time.Duration
}

// Answer is Granted or Refused.
type Answer interface {
	answer()
}

// Granted says that the token or unit may be used at once. A unit goes back
// with it.
type Granted struct {
	// lot says that the unit came from the home.
	lot bool
}

// Refused says that the limit has none to give.
type Refused struct {
	// RetryAfter is when one may be there; 0 when that is not known.
	RetryAfter time.Duration
	// Unready says that no VM could be asked that has a part of the limit, so
	// that nothing is known of the caller's use of it.
	Unready bool
}

func (Granted) answer() {}
func (Refused) answer() {}

// counted reports whether units of the kind are returned.
func (k Kind) counted() bool {
	return k == Running
}

// always reports whether shares of the kind are lent without demand, so that
// the first request finds its tokens at the home.
func (k Kind) always() bool {
	return k == Rate || k == Running || k == Probe
}

// id returns the name of the limit in messages.
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

// score ranks a VM as the home of a limit. It does not depend on the
// incarnation, so that a VM that restarts keeps its limits.
func score(limit uint32, a netip.AddrPort) uint64 {
	var b [22]byte
	binary.LittleEndian.PutUint32(b[:], limit)
	p := a.Addr().As16()
	copy(b[4:], p[:])
	binary.LittleEndian.PutUint16(b[20:], a.Port())
	return xxhash.Sum64(b[:])
}

// home returns the candidate with the highest score.
func home(limit uint32, candidates []member.ID) (member.ID, bool) {
	var best member.ID
	var top uint64
	for i, c := range candidates {
		if s := score(limit, c.Address); i == 0 || s > top {
			best, top = c, s
		}
	}
	return best, len(candidates) > 0
}
