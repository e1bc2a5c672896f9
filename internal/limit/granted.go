package limit

import (
	"time"

	"lentilbend.example/internal/peerpb"
)

// applyGrant applies the answer to the pending token request and serves the
// waiting requests.
func (b *bucket) applyGrant(f *Fleet, now time.Time, from *peer, g *peerpb.LimitGrant) []reply {
	c := &b.client
	if !c.pending || c.owner != from || g.GetNumber() != c.requestNumber {
		return nil
	}
	b.refill(now)
	c.pending, c.grantNumber = false, g.GetNumber()
	c.updateRoundTrip(now.Sub(c.sentAt))
	got := int(g.GetTokens())
	b.addBatch(c.sentAt.Add(f.shortenForDrift(c.validity)), got)
	b.addBatch(c.sentAt.Add(f.shortenForDrift(time.Duration(g.GetAheadMs())*time.Millisecond)), int(g.GetAhead()))
	c.scarce, c.unready = g.GetAhead() == 0, g.GetUnready()
	short := got < c.requested
	b.delayNextRequest(now, g, short)
	return b.serveWaiting(f, now, short)
}

// updateRoundTrip adds a sample to the moving average of the round trip time.
func (c *ownerClient) updateRoundTrip(d time.Duration) {
	if c.roundTrip == 0 {
		c.roundTrip = d
	}
	c.roundTrip += (d - c.roundTrip) / 8
}

// addBatch adds n tokens, keeping the batches sorted by expiry.
func (b *bucket) addBatch(until time.Time, n int) {
	if n == 0 {
		return
	}
	c := &b.client
	i := len(c.batches)
	for i > 0 && until.Before(c.batches[i-1].until) {
		i--
	}
	c.batches = append(c.batches, tokenBatch{})
	copy(c.batches[i+1:], c.batches[i:])
	c.batches[i] = tokenBatch{tokens: n, until: until}
}

// delayNextRequest delays the next token request after a grant that was too
// small. The delay is 0 after the first such grant and grows by shortGrantBackoff
// with each further one, up to shortGrantBackoff for permits, and for a rate up to
// a second or the time in which an eighth of the burst refills, if that is shorter.
// It is never shorter than the owner asks.
func (b *bucket) delayNextRequest(now time.Time, g *peerpb.LimitGrant, short bool) {
	c := &b.client
	if !short {
		c.shortGrants = max(0, c.shortGrants-1)
		return
	}
	c.shortGrants++
	w := shortGrantBackoff
	if !b.kind.limitsConcurrency() && b.spec.Rate > 0 {
		w = time.Duration(b.spec.Burst / b.spec.Rate / 8 * float64(time.Second))
	}
	w = min(w, time.Duration(c.shortGrants-1)*shortGrantBackoff, time.Second)
	c.nextRequest = now.Add(max(w, time.Duration(g.GetRetryMs())*time.Millisecond))
}

// serveWaiting answers the waiting requests as far as there are tokens. The rest
// are refused if the grant was short; otherwise more tokens are requested.
func (b *bucket) serveWaiting(f *Fleet, now time.Time, short bool) []reply {
	c := &b.client
	var rs []reply
	for len(c.waiting) > 0 {
		w := c.waiting[0]
		switch {
		case !now.Before(w.deadline):
			rs = append(rs, reply{done: w.done, answer: Refused{}})
		case b.useBatch(now):
			b.extendRunningUntil(w.deadline)
			rs = append(rs, reply{done: w.done, answer: Granted{fromOwner: true}})
		case short:
			rs = append(rs, reply{done: w.done, answer: Refused{RetryAfter: c.nextRequest.Sub(now), Unready: c.unready}})
		default:
			b.requestTokens(f, now, 0)
			return rs
		}
		c.waiting = c.waiting[1:]
	}
	c.waiting = nil
	return rs
}
