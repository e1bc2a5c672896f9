package exchange

import (
	"math/rand/v2"
	"time"
)

// Bounds of Retry-After where callers retry only if they can wait.
const (
	// maxRetryAfterPart is the part of the time left that a caller waits before it
	// retries; with a longer Retry-After it gives up.
	maxRetryAfterPart = 1.0 / 3
	// callerRoundTrip is subtracted from the time left, which the caller counts
	// from sending the request until it reads the refusal. The callers are up to
	// 8 ms away.
	callerRoundTrip = 20 * time.Millisecond
	// retryAfterSpread is the fraction by which a shortened Retry-After varies, so
	// that callers do not retry all at the same time.
	retryAfterSpread = 0.25
)

// callerRetryAfter returns d, or less if the caller of x would otherwise not retry.
// It returns 0 if no time is left to wait. It applies where the table sets
// priorities and callers accept fractions of a second.
func (x *Exchange) callerRetryAfter(now time.Time, d time.Duration) time.Duration {
	if d <= 0 || x.Table == nil || !x.Table.SetsPriorities() || !x.EffectiveDialect().FractionalRetryAfter || x.Deadline.IsZero() {
		return d
	}
	limit := time.Duration(maxRetryAfterPart * float64(x.Deadline.Sub(now)-callerRoundTrip))
	if d <= limit {
		return d
	}
	return max(0, time.Duration(float64(limit)*(1-retryAfterSpread*rand.Float64())))
}
