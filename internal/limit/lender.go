package limit

import (
	"math"
	"time"

	"lentilbend.example/internal/member"
)

// Thresholds of delegation. Pieces are sixteenths of a share.
const (
	// largeShareTokens and largeSharePermits are the sizes from which a VM uses
	// its share itself and delegates only pieces that it does not need. Of a
	// smaller share it delegates a number of pieces that depends on the size alone.
	largeShareTokens  = 64
	largeSharePermits = 8
	// tinyShareTokens is the size below which a share is delegated whole;
	// smallSharePieces are delegated of shares between tiny and large.
	tinyShareTokens  = 8
	smallSharePieces = 4
	// reserveFactor is the ratio of the rate that a VM keeps to its own demand.
	reserveFactor = 1.25
	// scarceReserveFactor is the same while the owner lacks tokens.
	scarceReserveFactor = 1.02
	// minPieceChange is the change of the number of pieces from which a
	// delegation is replaced.
	minPieceChange = 4
	// idlePermitPieces are delegated of a large share of permits that is idle.
	idlePermitPieces = 12
	// idleRate is the demand below which a share is idle, in requests per second.
	idleRate = 0.1
	// maxPiecesWithoutShortage bounds the delegation of a large share while the
	// owner has enough tokens; ownerShortageTTL is how long a report that the
	// owner lacks tokens counts.
	maxPiecesWithoutShortage = 8
	ownerShortageTTL         = 10 * time.Second
	// demandSettleTime is how long demand must have been measured, and how long
	// no request here may have lacked tokens, before pieces of a large share are
	// delegated.
	demandSettleTime = 5 * time.Second
	// idleTimeout is how long a limit of a kind that is delegated on demand stays
	// delegated after its last use.
	idleTimeout = time.Minute
)

// targetPieces is how many pieces of this VM's share should be delegated to the
// owner.
func (b *bucket) targetPieces(now time.Time) int {
	c := &b.client
	if c.isOwner || c.owner == nil {
		return 0
	}
	if !b.kind.delegatedWithoutDemand() && now.Sub(c.demand.lastUse()) > idleTimeout {
		return 0
	}
	own := b.share * b.capacity()
	switch {
	case b.shareIsLarge():
	case b.kind.limitsConcurrency():
		return piecesOfSmallPermitShare(own)
	default:
		return piecesOfSmallTokenShare(own)
	}
	if c.demand.since.IsZero() || now.Sub(c.demand.since) < demandSettleTime || now.Sub(c.demand.lastLocalShortage) < demandSettleTime {
		return 0
	}
	if b.kind.limitsConcurrency() {
		if c.demand.rate < idleRate && b.running == 0 {
			return idlePermitPieces
		}
		return 0
	}
	r := b.share * b.spec.Rate
	if r <= 0 {
		return 0
	}
	if now.Sub(c.demand.lastRemoteRequest) > ownerShortageTTL {
		return min(maxPiecesWithoutShortage, max(0, int(sharePieces*(1-reserveFactor*c.demand.rate/r))))
	}
	return min(sharePieces-1, max(0, int(sharePieces*(1-scarceReserveFactor*c.demand.rate/r))))
}

// delegate starts or renews the delegation of pieces of this VM's share to p. It
// returns false if nothing is delegated to p.
func (b *bucket) delegate(now time.Time, p member.ID, until time.Time) bool {
	b.refill(now)
	w := b.targetPieces(now)
	if w > 0 && b.client.owner.id != p {
		w = 0
	}
	if b.delegated.pieces > 0 {
		return b.renewDelegation(w, p, until)
	}
	if w == 0 || b.share <= 0 || !b.canGiveUp(b.share*float64(w)/sharePieces) {
		return false
	}
	b.serial++
	n := delegationOut{to: p, serial: b.serial, pieces: w, until: until}
	n.level = b.splitLevel(b.share * float64(w) / sharePieces)
	b.delegated = n
	b.recompute()
	return true
}

// renewDelegation extends a delegation whose size is still near the target of w
// pieces; otherwise the delegation to p ends.
func (b *bucket) renewDelegation(w int, p member.ID, until time.Time) bool {
	d := w - b.delegated.pieces
	if b.delegated.to != p || w == 0 || b.share <= 0 || d >= minPieceChange || -d >= minPieceChange || b.delegated.ending {
		b.delegated.ending = b.delegated.ending || b.delegated.to == p
		return false
	}
	if until.After(b.delegated.until) {
		b.delegated.until = until
		b.recompute()
	}
	return true
}

// endDelegation takes back a delegation that was returned before its expiry.
func (b *bucket) endDelegation(now time.Time, from member.ID, serial uint32, level float64) {
	b.refill(now)
	if b.delegated.pieces == 0 || b.delegated.to != from || b.delegated.serial != serial {
		return
	}
	b.delegated = delegationOut{}
	b.recompute()
	b.level += level
	b.clampLevel()
}

// shareIsLarge reports whether this VM's share is large enough to serve its
// requests by itself.
func (b *bucket) shareIsLarge() bool {
	if b.kind.limitsConcurrency() {
		return b.share*b.capacity() >= largeSharePermits
	}
	return b.share*b.capacity() >= largeShareTokens
}

// piecesOfSmallTokenShare is the number of pieces to delegate of a small share of
// own tokens. Unless the share is tiny, most of it is kept, since requests here
// use it anyway and can continue while the owner is unreachable.
func piecesOfSmallTokenShare(own float64) int {
	if own < tinyShareTokens {
		return sharePieces
	}
	return smallSharePieces
}

// piecesOfSmallPermitShare is the number of pieces to delegate of a small share of
// own permits. Half of them, rounded down, are kept so that some requests can run
// while the owner is unreachable.
func piecesOfSmallPermitShare(own float64) int {
	if own < 2 {
		return sharePieces
	}
	return int(sharePieces * (1 - math.Floor(own/2)/own))
}
