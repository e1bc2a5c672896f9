package backend

import (
	"time"

	"lentilbend.example/lentilbend/internal/exchange"
)

// RoomForecaster is a Chooser that knows when a service is expected to have free
// capacity.
type RoomForecaster interface {
	Chooser
	// RetryAfter returns the time until the service of a refused request is expected
	// to have free capacity, or false if it is not known.
	RetryAfter(now time.Time, x *exchange.Exchange) (time.Duration, bool)
}

// retryAfter returns the time until free capacity is expected, or d if that is not
// known.
func (f *forwarding) retryAfter(d time.Duration) time.Duration {
	if v, ok := f.forwarder.Chooser.(RoomForecaster); ok {
		if r, ok := v.RetryAfter(f.forwarder.now(), f.exchange); ok {
			return r
		}
	}
	return d
}

// shedShortage returns what a request lacked that no server started: a retry, unless no
// further server could be chosen or the request must not be repeated.
func (f *forwarding) shedShortage() exchange.Shortage {
	if f.noFurtherServer || len(f.tried) >= f.maxAttempts() || f.callerAttempt != firstAttempt || !f.body.replayable() {
		return exchange.NoRoom
	}
	return exchange.RetryBudget
}

// noServerShortage returns what a request lacked for which no server could be chosen.
func noServerShortage(r result) exchange.Shortage {
	if n, ok := r.(noServer); ok && n.coldRate {
		return exchange.ColdRate
	}
	return exchange.NoRoom
}
